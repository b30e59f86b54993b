package scheduler

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/changelog"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Announce applies an announcement of a backend server. It returns false if the announcement is
// stale.
func (s *Scheduler) Announce(st *pb.ServerState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	ok := s.reg.Announce(now, st)
	if !ok {
		s.metrics.OldAnnouncements.Add(1)
	}
	if now.Sub(s.lastExpiry) >= expireEvery {
		s.lastExpiry = now
		s.reg.Expire(now)
		s.unreadable.Forget()
	}
	s.step(now)
	return ok
}

// Merge merges the servers in a peer's heartbeat. transit is an upper bound of the
// time in transit: the round trip for the state in a reply, backend.TransitUnknown
// for a heartbeat that the peer sent on its own.
func (s *Scheduler) Merge(states []*pb.ServerState, transit time.Duration, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.reg.Merge(now, transit, states, from)
	s.step(now)
}

// ServerChanges returns the servers that have changed after a position; see backend.Registry.
func (s *Scheduler) ServerChanges(after changelog.Position, limit int, peer string, theirs changelog.Digest) ([]*pb.ServerState, changelog.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reg.ChangesSince(s.now(), after, limit, peer, theirs)
}

// OwnServerChanges returns the servers that have changed after a position and of which this host has
// learned from no peer; see backend.Registry.
func (s *Scheduler) OwnServerChanges(after changelog.Position, limit int) ([]*pb.ServerState, changelog.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reg.OwnChangesSince(s.now(), after, limit)
}

// ServerDigest returns a digest of all servers.
func (s *Scheduler) ServerDigest() changelog.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reg.Digest()
}

// DifferingServers returns the servers that a peer with a digest may lack; see backend.Registry.
func (s *Scheduler) DifferingServers(theirs changelog.Digest, limit, first int) ([]*pb.ServerState, changelog.Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reg.Differing(s.now(), theirs, limit, first)
}

// MergeRecentWork replaces the record of a peer's work that server reports can't include yet.
func (s *Scheduler) MergeRecentWork(host string, work []*pb.RecentWork) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.reg.MergeRecentWork(now, host, work)
	s.step(now)
}

// CacheEvent applies a numbered event of a server's prefix cache.
func (s *Scheduler) CacheEvent(ev backend.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reg.CacheEvent(ev)
}

// SetHosts sets the live hosts that share the servers.
func (s *Scheduler) SetHosts(hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetHosts(hosts)
	s.step(s.now())
}

// SetEvacuated replaces the set of evacuated availability zones, whose servers get no new requests.
// Waiting requests go to servers elsewhere, or are refused if there are none.
func (s *Scheduler) SetEvacuated(zones map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetEvacuated(zones)
	s.step(s.now())
}

// Servers returns the known backend servers with the age of their announcements.
func (s *Scheduler) Servers() []*pb.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reg.Snapshot(s.now())
}

// Usable reports whether the server at addr may get new work.
func (s *Scheduler) Usable(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reg.Usable(s.now(), addr)
}

// RecentWork returns this host's work that the servers' last reports can't include yet.
func (s *Scheduler) RecentWork() []*pb.RecentWork {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reg.RecentWork()
}
