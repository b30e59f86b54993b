package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/changelog"
	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/controller/scheduler"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/inflight"
	"github.com/bluebellsail/bluebellsail/internal/membership"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// registry adapts the scheduler's registry of backend servers to the heartbeats.
type registry struct{ s *scheduler.Scheduler }

func (r registry) ServerChanges(after changelog.Position, limit int, peer string, theirs changelog.Digest) ([]*pb.ServerState, changelog.Position) {
	return r.s.ServerChanges(after, limit, peer, theirs)
}
func (r registry) OwnServerChanges(after changelog.Position, limit int) ([]*pb.ServerState, changelog.Position) {
	return r.s.OwnServerChanges(after, limit)
}
func (r registry) ServerDigest() changelog.Digest { return r.s.ServerDigest() }
func (r registry) DifferingServers(theirs changelog.Digest, limit, first int) ([]*pb.ServerState, changelog.Position, bool) {
	return r.s.DifferingServers(theirs, limit, first)
}
func (r registry) Merge(servers []*pb.ServerState, transit time.Duration, from string) {
	r.s.Merge(servers, transit, from)
}

// Observe does nothing: servers announce their load to this fleet's hosts every second, and each
// announcement is passed on.
func (r registry) Observe(func(host string, incarnation uint64) bool) {}
func (r registry) RecentWork() []*pb.RecentWork                       { return r.s.RecentWork() }
func (r registry) MergeWork(from *pb.Holder, work []*pb.RecentWork) {
	r.s.MergeRecentWork(from.GetHost(), work)
}

// peers reaches the other hosts by name.
type peers struct{ e *entry }

func (p peers) find(host string) (members.PeerInfo, bool) {
	all := p.e.members.Peers()
	i := slices.IndexFunc(all, func(m members.PeerInfo) bool { return m.Host == host })
	if i < 0 || all[i].PeerAddress == "" {
		return members.PeerInfo{}, false
	}
	return all[i], true
}

// Dial implements records.Dialer.
func (p peers) Dial(host string) (pb.PeerClient, bool) {
	m, ok := p.find(host)
	if !ok {
		return nil, false
	}
	return p.e.d.pool.Client(m.PeerAddress), true
}

// AskTokens implements grants.Asker.
func (p peers) AskTokens(ctx context.Context, host string, req *pb.AskTokensRequest) (*pb.AskTokensReply, error) {
	client, ok := p.Dial(host)
	if !ok {
		return nil, errkind.New(errkind.NotFound, "no address of host %s", host)
	}
	return client.AskTokens(ctx, req)
}

// Peers implements grants.Asker. It returns the hosts that are neither suspected nor dead.
func (p peers) Peers() []string {
	var out []string
	for _, m := range p.e.members.Peers() {
		if m.Health == pb.HostHealth_HOST_HEALTH_ALIVE {
			out = append(out, m.Host)
		}
	}
	return out
}

// hosts implements filter.Hosts.
type hosts struct{ e *entry }

func (h hosts) Self() *pb.Holder { return h.e.holder() }

// Alive returns false for a holder whose host is suspected or dead, or runs under a newer
// incarnation. Suspicion is enough here: the host that takes a request over reads the
// engine's stream of the same run again, and the ledger bills an identity once, so a holder
// that was suspected wrongly costs a second reader and no second run. Waiting until the
// holder counted as dead took longer than most deadlines: callers got in_progress until they
// gave up.
func (h hosts) Alive(holder *pb.Holder) bool {
	self := h.e.holder()
	if holder.GetHost() == self.GetHost() {
		return holder.GetIncarnation() == self.GetIncarnation()
	}
	m, ok := peers(h).find(holder.GetHost())
	return ok && m.Health == pb.HostHealth_HOST_HEALTH_ALIVE && m.Incarnation <= holder.GetIncarnation()
}

// addresses implements callerapi.Addresses.
type addresses struct{ e *entry }

func (a addresses) Addresses(zone string) []membership.Address {
	return a.e.members.Addresses(zone, a.e.d.settings.Fleet().AddressTTL.Std())
}

// models implements callerapi.Models.
type models struct{ s *scheduler.Scheduler }

func (m models) Models() []string {
	var out []string
	for _, server := range m.s.Servers() {
		if m.s.Usable(server.Address) {
			out = append(out, server.Models...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// relayAddresses returns the peer addresses of the other hosts, from which the settings and the
// suspects can be fetched. It includes dead hosts, and seeds since a host that has just started
// knows no other host yet.
func (e *entry) relayAddresses() []string {
	out := e.seeds()
	for _, m := range e.members.Peers() {
		if m.PeerAddress != "" && !slices.Contains(out, m.PeerAddress) {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

// followFleet passes changes of the list of live hosts to the records and the scheduler.
func (e *entry) followFleet(ctx context.Context) {
	var last []inflight.Host
	pass := func() {
		if now := e.liveHosts(); !slices.Equal(now, last) {
			e.records.SetHosts(now)
			e.sched.SetHosts(hostNames(now))
			last = now
		}
	}
	pass()
	every(ctx, fleetEvery, pass)
}

// liveHosts returns this host and the peers that may hold copies of records.
func (e *entry) liveHosts() []inflight.Host {
	self := e.holder()
	out := []inflight.Host{{Name: self.Host, Zone: e.d.cfg.Zone, Incarnation: self.Incarnation}}
	for _, m := range e.members.Peers() {
		if m.Health == pb.HostHealth_HOST_HEALTH_ALIVE && !m.Leaving && m.Incarnation > 0 {
			out = append(out, inflight.Host{Name: m.Host, Zone: m.Zone, Incarnation: m.Incarnation})
		}
	}
	return out
}

func hostNames(list []inflight.Host) []string {
	out := make([]string, 0, len(list))
	for _, h := range list {
		out = append(out, h.Name)
	}
	return out
}
