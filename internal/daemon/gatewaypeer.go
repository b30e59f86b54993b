package daemon

import (
	"context"

	routesctl "github.com/bluebellsail/bluebellsail/internal/controller/routes"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/peerservice"
)

// gatewayPeer implements the Peer service of a host that serves by a routing table. It leaves
// out the methods for in-flight records, since routed requests have none.
type gatewayPeer struct {
	peerservice.Shared
	g *gateway
}

// Heartbeat exchanges the liveness of hosts and the state of backend servers.
func (p gatewayPeer) Heartbeat(_ context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatReply, error) {
	return p.g.members.HandleHeartbeat(r), nil
}

// FetchServers returns the states of backend servers.
func (p gatewayPeer) FetchServers(_ context.Context, r *pb.FetchServersRequest) (*pb.FetchServersReply, error) {
	return p.g.members.HandleFetchServers(r), nil
}

// AskTokens transfers part of this host's grant.
func (p gatewayPeer) AskTokens(_ context.Context, r *pb.AskTokensRequest) (*pb.AskTokensReply, error) {
	manager := p.g.grants.Load()
	if manager == nil {
		return &pb.AskTokensReply{Error: &pb.Error{Kind: string(errkind.BudgetUnreachable), Message: "this host holds no grants yet"}}, nil
	}
	return manager.HandleAskTokens(r), nil
}

// ReserveTokens sets tokens aside for a request of another host.
func (p gatewayPeer) ReserveTokens(ctx context.Context, r *pb.ReserveTokensRequest) (*pb.ReserveTokensReply, error) {
	return p.g.budgets.HandleReserve(ctx, r), nil
}

// SpendTokens settles reservations of another host's requests.
func (p gatewayPeer) SpendTokens(_ context.Context, r *pb.SpendTokensRequest) (*pb.SpendTokensReply, error) {
	return p.g.budgets.HandleSpend(r), nil
}

// Assign chooses a server for a request of another host.
func (p gatewayPeer) Assign(ctx context.Context, r *pb.AssignRequest) (*pb.AssignReply, error) {
	return p.g.assigner.HandleAssign(ctx, r), nil
}

// PutOrigins keeps the origins of streams that another host serves.
func (p gatewayPeer) PutOrigins(_ context.Context, r *pb.PutOriginsRequest) (*pb.PutOriginsReply, error) {
	return p.g.origins.HandlePut(r), nil
}

// FindOrigin returns where a stream began.
func (p gatewayPeer) FindOrigin(_ context.Context, r *pb.FindOriginRequest) (*pb.FindOriginReply, error) {
	return p.g.origins.HandleFind(r), nil
}

// ShareVersions keeps the software versions that another host knows, and returns those that this host knows.
func (p gatewayPeer) ShareVersions(_ context.Context, r *pb.ShareVersionsRequest) (*pb.ShareVersionsReply, error) {
	return p.g.versions.HandleShare(r)
}

// ReportRuns receives the outcomes of another host's attempts.
func (p gatewayPeer) ReportRuns(_ context.Context, r *pb.ReportRunsRequest) (*pb.ReportRunsReply, error) {
	return p.g.assigner.HandleReportRuns(r), nil
}

// ShareParts receives what another host knows about the engines' prefix caches.
func (p gatewayPeer) ShareParts(_ context.Context, r *pb.SharePartsRequest) (*pb.SharePartsReply, error) {
	return p.g.assigner.HandleShareParts(r), nil
}

// Tunnel connects another host to a backend server.
func (p gatewayPeer) Tunnel(s pb.Peer_TunnelServer) error { return p.g.paths.Serve(s) }

// LoadView describes this host's load to another host's operators.
func (p gatewayPeer) LoadView(_ context.Context, r *pb.LoadViewRequest) (*pb.LoadViewReply, error) {
	return p.g.loadViews.Handle(r), nil
}

// FetchRoutes returns the routing table that this host has.
func (p gatewayPeer) FetchRoutes(_ context.Context, r *pb.FetchRoutesRequest) (*pb.FetchRoutesReply, error) {
	if p.g.d.replica != nil {
		return routesctl.FromReplica(p.g.d.replica, r), nil
	}
	return p.g.routes.HandleFetch(r), nil
}
