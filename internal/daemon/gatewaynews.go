package daemon

import (
	"context"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/controller/news"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// newBroadcaster creates the broadcaster of updates about suspects, rate limits, servers that leave
// and newer routing tables.
func (g *gateway) newBroadcaster() *news.Broadcaster {
	return news.New(news.Config{
		Self: g.d.cfg.PeerAddress(), Peers: g.livePeers, Client: g.d.pool.Client,
		OnSuspects: g.suspects.HandleUpdates, OnLimits: g.limits.Merge,
		OnServers:     func(states []*pb.ServerState) { g.balancer.Merge(states, backend.TransitUnknown, fromBroadcast) },
		OnEvacuations: g.d.mergeEvacuations, FetchTable: g.fetchAdvertised, Holders: g.holders, Log: g.d.tel.Log,
	})
}

// fromBroadcast is the source in log lines about servers whose state was broadcast.
const fromBroadcast = "broadcast"

// fetchAdvertised fetches the routing table that another host notified this one of, if this host
// serves callers. It reports whether other hosts can fetch the table from this one.
func (g *gateway) fetchAdvertised(ctx context.Context, address string, revision uint64) bool {
	if !g.servesCallers() {
		return g.applied.Load() >= revision
	}
	g.routes.FetchFrom(ctx, address, revision)
	return g.routes.Revision() >= revision
}

// serverChanged sends a changed server state with the next heartbeats, and broadcasts it at
// once if hosts must stop using the server, or must not exceed the rate of a cold one.
func (g *gateway) serverChanged(st *pb.ServerState) {
	g.members.Kick()
	if st.GetLeaving() || st.GetGone() || st.GetWarmupLeftMs() > 0 {
		g.news.BroadcastServer(st)
	}
}
