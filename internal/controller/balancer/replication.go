package balancer

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/changelog"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// SetIncarnation sets the incarnation that this host is registered with.
func (b *Balancer) SetIncarnation(incarnation uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reg.SetIncarnation(incarnation)
}

// ServerChanges implements members.Registry.
func (b *Balancer) ServerChanges(after changelog.Position, limit int, peer string, theirs changelog.Digest) ([]*pb.ServerState, changelog.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reg.ChangesSince(time.Now(), after, limit, peer, theirs)
}

// OwnServerChanges implements members.Registry.
func (b *Balancer) OwnServerChanges(after changelog.Position, limit int) ([]*pb.ServerState, changelog.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reg.OwnChangesSince(time.Now(), after, limit)
}

// ServerState returns a server as this host knows it, for peers.
func (b *Balancer) ServerState(id string) *pb.ServerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reg.State(time.Now(), id)
}

// ServerDigest implements members.Registry.
func (b *Balancer) ServerDigest() changelog.Digest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reg.Digest()
}

// DifferingServers implements members.Registry.
func (b *Balancer) DifferingServers(theirs changelog.Digest, limit, first int) ([]*pb.ServerState, changelog.Position, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reg.Differing(time.Now(), theirs, limit, first)
}

// ServerUpdate implements members.Summarizer.
func (b *Balancer) ServerUpdate(q instance.Query) instance.Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reg.Update(time.Now(), q)
}

// LackingServers implements members.Summarizer.
func (b *Balancer) LackingServers(summaries []changelog.Summary) []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reg.Lacking(summaries)
}

// ServerStates implements members.Summarizer.
func (b *Balancer) ServerStates(ids []uint32) []*pb.ServerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reg.StatesOf(time.Now(), ids)
}

// ServerDigestHash implements members.Summarizer.
func (b *Balancer) ServerDigestHash() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reg.DigestHash()
}

// Observe implements members.Registry.
func (b *Balancer) Observe(alive func(host string, incarnation uint64) bool) {
	for _, st := range b.observe(alive) {
		b.cfg.Log.Info().Str("event", "server-silent").Str("server", st.GetId()).Uint64("incarnation", st.GetIncarnation()).
			Str("address", st.GetAddress()).Int64("age_ms", st.GetAgeMs()).Send()
	}
}

func (b *Balancer) observe(alive func(host string, incarnation uint64) bool) (silent []*pb.ServerState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.expire(now)
	for _, i := range b.reg.Observe(now, func(r instance.Receiver) bool { return alive(r.Host, r.Incarnation) }) {
		silent = append(silent, b.reg.State(now, i.ID))
	}
	if len(silent) > 0 {
		b.step(now)
	}
	return silent
}

// Merge implements members.Registry. A state that does not describe a server is ignored; the
// others are applied.
func (b *Balancer) Merge(servers []*pb.ServerState, transit time.Duration, from string) {
	updated, ended := b.merge(servers, transit, from)
	b.logMerged(updated, from)
	for _, st := range ended {
		b.notify(st)
	}
}

// maxLoggedUpdates bounds the servers for which the changes in one message are logged one by one, unless
// they take the server out of service.
const maxLoggedUpdates = 8

// logMerged logs the changes that a message of a peer has made.
func (b *Balancer) logMerged(updated []*pb.ServerState, from string) {
	for _, st := range updated {
		if len(updated) <= maxLoggedUpdates || st.GetLeaving() || st.GetGone() {
			b.logUpdate(st, from)
		}
	}
	if len(updated) > maxLoggedUpdates {
		b.cfg.Log.Info().Str("event", "servers-heard").Str("from", from).Int("servers", len(updated)).
			Str("first", updated[0].GetId()).Str("last", updated[len(updated)-1].GetId()).Send()
	}
}

// merge returns the states that have changed at this host. Those in ended belong to servers that have
// stopped although the peer does not know it: this host observed the end before it knew the incarnation.
func (b *Balancer) merge(servers []*pb.ServerState, transit time.Duration, from string) (updated, ended []*pb.ServerState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, st := range servers {
		changed, err := b.reg.Merge(now, transit, st, from)
		b.recordWarmup(st.GetId())
		if err != nil {
			b.cfg.Log.Debug().Str("event", "server-state-refused").Str("server", st.GetId()).Err(err).Send()
		}
		if !changed {
			continue
		}
		state := b.reg.State(now, st.GetId())
		if state.GetGone() && !st.GetGone() {
			ended = append(ended, state)
		} else {
			updated = append(updated, state)
		}
	}
	if len(updated)+len(ended) > 0 {
		b.step(now)
	}
	return updated, ended
}
