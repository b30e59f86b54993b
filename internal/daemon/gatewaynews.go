package daemon

import (
	"context"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/controller/news"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// newNews makes what tells all hosts of servers that leave and of newer routing tables.
func (g *gateway) newNews() *news.Broadcaster {
	return news.New(news.Config{
		Self: g.d.cfg.PeerAddress(), Peers: g.livePeers, Client: g.d.pool.Client,
		OnSuspects: g.suspects.HandleUpdates, OnLimits: g.limits.Merge,
		OnServers:  func(states []*pb.ServerState) { g.balancer.Merge(states, backend.TransitUnknown) },
		FetchTable: g.fetchTold, Log: g.d.tel.Log,
	})
}

// fetchTold fetches the routing table that a host told of, if this host needs it.
func (g *gateway) fetchTold(ctx context.Context, address string, revision uint64) {
	if g.servesCallers() {
		g.routes.FetchFrom(ctx, address, revision)
	}
}

// serverChanged tells the peers of a server: at once if they must not use it any more.
func (g *gateway) serverChanged(st *pb.ServerState) {
	g.members.Kick()
	if st.GetLeaving() || st.GetGone() {
		g.news.BroadcastServer(st)
	}
}
