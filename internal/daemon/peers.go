package daemon

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bluebellsail/bluebellsail/internal/control"
	settingsctl "github.com/bluebellsail/bluebellsail/internal/controller/settings"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/peerconn"
)

// peerServer serves the peer address: the Control service, and the Peer service once
// this host has its incarnation.
type peerServer struct {
	address string
	server  *grpc.Server
	peer    atomic.Pointer[pb.PeerServer]
}

func newPeerServer(d *Daemon) *peerServer {
	options := peerconn.ServerOptions(d.tls.peerCredentials(), d.tel.ServerStats())
	p := &peerServer{address: d.cfg.Listen.Peers}
	options = append(options, peerconn.RecoverOptions(d.tel.Log)...)
	options = append(options, peerconn.Fleet(d.cfg.Fleet).ServerOptions()...)
	options = append(options, grpc.ChainUnaryInterceptor(p.waitForPeer))
	p.server = grpc.NewServer(options...)
	if d.replica != nil {
		pb.RegisterControlServer(p.server, control.NewService(d.replica))
	} else {
		pb.RegisterControlServer(p.server, settingsctl.NewRelay(d.settings))
	}
	pb.RegisterPeerServer(p.server, &latePeer{p: p})
	return p
}

func (p *peerServer) start(t *tasks) error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	t.runTrusted("peer address", func(context.Context) { _ = p.server.Serve(listener) })
	t.run("stop peer address", func(ctx context.Context) {
		<-ctx.Done()
		p.server.Stop()
	})
	return nil
}

// setPeer opens the Peer service.
func (p *peerServer) setPeer(s pb.PeerServer) { p.peer.Store(&s) }

func (p *peerServer) stop() { p.server.Stop() }

// waitForPeer rejects calls of the Peer service until setPeer is called. Otherwise this host
// could accept a record before the control group knows its incarnation.
func (p *peerServer) waitForPeer(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if _, isLate := info.Server.(*latePeer); isLate && p.peer.Load() == nil {
		return nil, status.Error(codes.Unavailable, "this host has not registered yet")
	}
	return next(ctx, req)
}

// latePeer forwards calls to the service set by setPeer; waitForPeer rejects calls that come
// earlier. It embeds the unsafe variant so that a missing method fails to compile instead of
// being answered as unimplemented.
type latePeer struct {
	pb.UnsafePeerServer
	p *peerServer
}

func (l *latePeer) service() pb.PeerServer { return *l.p.peer.Load() }

func (l *latePeer) PutRecords(ctx context.Context, r *pb.PutRecordsRequest) (*pb.PutRecordsReply, error) {
	return l.service().PutRecords(ctx, r)
}

func (l *latePeer) FindRecord(ctx context.Context, r *pb.FindRecordRequest) (*pb.FindRecordReply, error) {
	return l.service().FindRecord(ctx, r)
}

func (l *latePeer) Gather(ctx context.Context, r *pb.GatherRequest) (*pb.GatherReply, error) {
	return l.service().Gather(ctx, r)
}

func (l *latePeer) AskTokens(ctx context.Context, r *pb.AskTokensRequest) (*pb.AskTokensReply, error) {
	return l.service().AskTokens(ctx, r)
}

func (l *latePeer) Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatReply, error) {
	return l.service().Heartbeat(ctx, r)
}

func (l *latePeer) FetchRoutes(ctx context.Context, r *pb.FetchRoutesRequest) (*pb.FetchRoutesReply, error) {
	return l.service().FetchRoutes(ctx, r)
}

func (l *latePeer) ReserveTokens(ctx context.Context, r *pb.ReserveTokensRequest) (*pb.ReserveTokensReply, error) {
	return l.service().ReserveTokens(ctx, r)
}

func (l *latePeer) SpendTokens(ctx context.Context, r *pb.SpendTokensRequest) (*pb.SpendTokensReply, error) {
	return l.service().SpendTokens(ctx, r)
}

func (l *latePeer) Assign(ctx context.Context, r *pb.AssignRequest) (*pb.AssignReply, error) {
	return l.service().Assign(ctx, r)
}

func (l *latePeer) TakePermits(ctx context.Context, r *pb.TakePermitsRequest) (*pb.TakePermitsReply, error) {
	return l.service().TakePermits(ctx, r)
}

func (l *latePeer) ReportRuns(ctx context.Context, r *pb.ReportRunsRequest) (*pb.ReportRunsReply, error) {
	return l.service().ReportRuns(ctx, r)
}

func (l *latePeer) Tell(ctx context.Context, r *pb.TellRequest) (*pb.TellReply, error) {
	return l.service().Tell(ctx, r)
}

func (l *latePeer) FetchSuspects(ctx context.Context, r *pb.FetchSuspectsRequest) (*pb.FetchSuspectsReply, error) {
	return l.service().FetchSuspects(ctx, r)
}

func (l *latePeer) AdmitSuspect(ctx context.Context, r *pb.AdmitSuspectRequest) (*pb.AdmitSuspectReply, error) {
	return l.service().AdmitSuspect(ctx, r)
}

func (l *latePeer) EndSuspect(ctx context.Context, r *pb.EndSuspectRequest) (*pb.EndSuspectReply, error) {
	return l.service().EndSuspect(ctx, r)
}

func (l *latePeer) ShareParts(ctx context.Context, r *pb.SharePartsRequest) (*pb.SharePartsReply, error) {
	return l.service().ShareParts(ctx, r)
}

func (l *latePeer) Explain(ctx context.Context, r *pb.ExplainRequest) (*pb.ExplainReply, error) {
	return l.service().Explain(ctx, r)
}
