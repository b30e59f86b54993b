package daemon

import (
	"context"
	"maps"
	"slices"

	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/controller/news"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Announce implements surface.Servers.
func (g *gateway) Announce(ctx context.Context, a instance.Announcement) (next string, err error) {
	next, own := g.announceTo(a)
	announce := g.balancer.Announce
	if !own && g.largeFleet() {
		announce = g.balancer.AnnounceRedirected
	}
	if err := announce(a); err != nil || !a.Draining {
		return next, err
	}
	return next, g.replicateLeaving(ctx, a.ID)
}

// End implements surface.Servers.
func (g *gateway) End(ctx context.Context, run instance.Incarnation) error {
	if err := g.balancer.End(run); err != nil {
		return err
	}
	return g.replicateLeaving(ctx, run.ID)
}

// EndCurrent implements surface.Servers.
func (g *gateway) EndCurrent(ctx context.Context, id string) error {
	if err := g.balancer.EndCurrent(id); err != nil {
		return err
	}
	return g.replicateLeaving(ctx, id)
}

// replicateLeaving returns once other hosts hold that a server leaves or has ended, if this host knows that.
func (g *gateway) replicateLeaving(ctx context.Context, id string) error {
	if st := g.balancer.ServerState(id); st.GetLeaving() || st.GetGone() {
		return g.news.ReplicateServer(ctx, st)
	}
	return nil
}

// holders returns the hosts that can hold a change: those that are neither suspected nor leaving. While fewer than that
// are known, as after a start, the suspected ones and the seeds are among them.
func (g *gateway) holders() news.Holders {
	h := g.view.holders.get(g.members.Peers(), newHolders)
	if len(h.Control) > 0 {
		return h
	}
	for _, seed := range *g.seeds.Load() {
		if seed != g.d.cfg.PeerAddress() {
			h.Control = append(slices.Clip(h.Control), seed)
			h.Alone = false
		}
	}
	return h
}

// newHolders returns the hosts in a view that can hold a change.
func newHolders(peers []members.PeerInfo) news.Holders {
	h := holdersOf(peers, func(m members.PeerInfo) bool { return m.Health == pb.HostHealth_HOST_HEALTH_ALIVE && !m.Leaving })
	if len(h.Control)+len(slices.Concat(h.Others...)) < news.Copies {
		h = holdersOf(peers, func(m members.PeerInfo) bool { return m.Health != pb.HostHealth_HOST_HEALTH_DEAD })
	}
	h.Alone = len(peers) == 0
	return h
}

// holdersOf returns the hosts that fit, by kind and availability zone.
func holdersOf(peers []members.PeerInfo, fit func(members.PeerInfo) bool) (h news.Holders) {
	zones := make(map[string][]string)
	for _, m := range peers {
		switch {
		case m.PeerAddress == "" || !fit(m):
		case m.Control:
			h.Control = append(h.Control, m.PeerAddress)
		default:
			zones[m.Zone] = append(zones[m.Zone], m.PeerAddress)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		h.Others = append(h.Others, zones[zone])
	}
	return h
}
