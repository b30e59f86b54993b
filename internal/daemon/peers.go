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
	options := append(peerconn.ServerOptions(d.tls.peerCredentials(), d.tel.ServerStats()), grpc.StatsHandler(d.calls))
	p := &peerServer{address: d.cfg.Listen.Peers}
	options = append(options, peerconn.RecoverOptions(d.tel.Log)...)
	options = append(options, peerconn.Fleet(d.cfg.Fleet).ServerOptions()...)
	options = append(options, grpc.ChainUnaryInterceptor(p.requirePeer))
	p.server = grpc.NewServer(options...)
	if d.replica != nil {
		pb.RegisterControlServer(p.server, control.NewService(d.replica))
	} else {
		pb.RegisterControlServer(p.server, &controlRelay{Relay: settingsctl.NewRelay(d.settings), Pointer: control.Pointer{ControlHost: d.controlHost}})
	}
	pb.RegisterPeerServer(p.server, &deferredPeer{p: p})
	return p
}

// controlRelay is the Control service of a host without a replica. The methods of Pointer take precedence over those that Relay has
// from the generated code.
type controlRelay struct {
	*settingsctl.Relay
	control.Pointer
}

func (p *peerServer) start(t *tasks) error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	t.runUntilPanic("peer address", func(context.Context) { _ = p.server.Serve(listener) })
	t.run("stop peer address", func(ctx context.Context) {
		<-ctx.Done()
		p.server.Stop()
	})
	return nil
}

// setPeer opens the Peer service.
func (p *peerServer) setPeer(s pb.PeerServer) { p.peer.Store(&s) }

func (p *peerServer) stop() { p.server.Stop() }

// requirePeer rejects calls of the Peer service until setPeer is called. Otherwise this host
// could accept a record before the control group knows its incarnation.
func (p *peerServer) requirePeer(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if _, isDeferred := info.Server.(*deferredPeer); isDeferred && p.peer.Load() == nil {
		return nil, status.Error(codes.Unavailable, "this host has not registered yet")
	}
	return next(ctx, req)
}

// deferredPeer forwards calls to the service set by setPeer; requirePeer rejects calls that come
// earlier. It embeds the unsafe variant so that a missing method fails to compile instead of
// being answered as unimplemented.
type deferredPeer struct {
	pb.UnsafePeerServer
	p *peerServer
}

func (l *deferredPeer) service() pb.PeerServer { return *l.p.peer.Load() }

func (l *deferredPeer) PutRecords(ctx context.Context, r *pb.PutRecordsRequest) (*pb.PutRecordsReply, error) {
	return l.service().PutRecords(ctx, r)
}

func (l *deferredPeer) FindRecord(ctx context.Context, r *pb.FindRecordRequest) (*pb.FindRecordReply, error) {
	return l.service().FindRecord(ctx, r)
}

func (l *deferredPeer) Gather(ctx context.Context, r *pb.GatherRequest) (*pb.GatherReply, error) {
	return l.service().Gather(ctx, r)
}

func (l *deferredPeer) AskTokens(ctx context.Context, r *pb.AskTokensRequest) (*pb.AskTokensReply, error) {
	return l.service().AskTokens(ctx, r)
}

func (l *deferredPeer) Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatReply, error) {
	return l.service().Heartbeat(ctx, r)
}

func (l *deferredPeer) FetchServers(ctx context.Context, r *pb.FetchServersRequest) (*pb.FetchServersReply, error) {
	return l.service().FetchServers(ctx, r)
}

func (l *deferredPeer) FetchRoutes(ctx context.Context, r *pb.FetchRoutesRequest) (*pb.FetchRoutesReply, error) {
	return l.service().FetchRoutes(ctx, r)
}

func (l *deferredPeer) ReserveTokens(ctx context.Context, r *pb.ReserveTokensRequest) (*pb.ReserveTokensReply, error) {
	return l.service().ReserveTokens(ctx, r)
}

func (l *deferredPeer) SpendTokens(ctx context.Context, r *pb.SpendTokensRequest) (*pb.SpendTokensReply, error) {
	return l.service().SpendTokens(ctx, r)
}

func (l *deferredPeer) Assign(ctx context.Context, r *pb.AssignRequest) (*pb.AssignReply, error) {
	return l.service().Assign(ctx, r)
}

func (l *deferredPeer) PutOrigins(ctx context.Context, r *pb.PutOriginsRequest) (*pb.PutOriginsReply, error) {
	return l.service().PutOrigins(ctx, r)
}

func (l *deferredPeer) FindOrigin(ctx context.Context, r *pb.FindOriginRequest) (*pb.FindOriginReply, error) {
	return l.service().FindOrigin(ctx, r)
}

func (l *deferredPeer) ShareVersions(ctx context.Context, r *pb.ShareVersionsRequest) (*pb.ShareVersionsReply, error) {
	return l.service().ShareVersions(ctx, r)
}

func (l *deferredPeer) TakePermits(ctx context.Context, r *pb.TakePermitsRequest) (*pb.TakePermitsReply, error) {
	return l.service().TakePermits(ctx, r)
}

func (l *deferredPeer) Admit(ctx context.Context, r *pb.AdmitRequest) (*pb.AdmitReply, error) {
	return l.service().Admit(ctx, r)
}

func (l *deferredPeer) ReportAdmission(ctx context.Context, r *pb.ReportAdmissionRequest) (*pb.ReportAdmissionReply, error) {
	return l.service().ReportAdmission(ctx, r)
}

func (l *deferredPeer) ReportRuns(ctx context.Context, r *pb.ReportRunsRequest) (*pb.ReportRunsReply, error) {
	return l.service().ReportRuns(ctx, r)
}

func (l *deferredPeer) Tell(ctx context.Context, r *pb.TellRequest) (*pb.TellReply, error) {
	return l.service().Tell(ctx, r)
}

func (l *deferredPeer) FetchSuspects(ctx context.Context, r *pb.FetchSuspectsRequest) (*pb.FetchSuspectsReply, error) {
	return l.service().FetchSuspects(ctx, r)
}

func (l *deferredPeer) AdmitSuspect(ctx context.Context, r *pb.AdmitSuspectRequest) (*pb.AdmitSuspectReply, error) {
	return l.service().AdmitSuspect(ctx, r)
}

func (l *deferredPeer) EndSuspect(ctx context.Context, r *pb.EndSuspectRequest) (*pb.EndSuspectReply, error) {
	return l.service().EndSuspect(ctx, r)
}

func (l *deferredPeer) ShareParts(ctx context.Context, r *pb.SharePartsRequest) (*pb.SharePartsReply, error) {
	return l.service().ShareParts(ctx, r)
}

// Tunnel checks for the service itself, since requirePeer sees no streams.
func (l *deferredPeer) Tunnel(s pb.Peer_TunnelServer) error {
	if l.p.peer.Load() == nil {
		return status.Error(codes.Unavailable, "this host has not registered yet")
	}
	return l.service().Tunnel(s)
}

func (l *deferredPeer) Explain(ctx context.Context, r *pb.ExplainRequest) (*pb.ExplainReply, error) {
	return l.service().Explain(ctx, r)
}

func (l *deferredPeer) LoadView(ctx context.Context, r *pb.LoadViewRequest) (*pb.LoadViewReply, error) {
	return l.service().LoadView(ctx, r)
}
