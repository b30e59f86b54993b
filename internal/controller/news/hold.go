package news

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// takeoverDelay is how long a host holds another one's changes before it broadcasts them itself. It is longer than
	// releaseDelay by the pauses of both hosts.
	takeoverDelay = 500 * time.Millisecond
	// maxHeld bounds the rounds whose changes a host holds; those beyond it are broadcast at once.
	maxHeld = 4096
)

// holds are the changes that this host holds for others: the timers of their takeovers, by the names of the rounds.
type holds map[string]*time.Timer

// holdChanges has the changes of another host broadcast by this one unless they are released in time.
func (s *Broadcaster) holdChanges(req *pb.TellRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.holds[req.GetHold()]; known {
		return
	}
	delay := takeoverDelay
	if len(s.holds) >= maxHeld {
		delay = 0
	}
	s.holds[req.GetHold()] = time.AfterFunc(delay, func() { s.takeOver(req) })
}

// releaseChanges forgets changes that their sender has broadcast.
func (s *Broadcaster) releaseChanges(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		if timer, known := s.holds[name]; known {
			timer.Stop()
			delete(s.holds, name)
		}
	}
}

// takeOver broadcasts changes whose sender has not released them.
func (s *Broadcaster) takeOver(req *pb.TellRequest) {
	if !s.forgetHeld(req.GetHold()) {
		return // released meanwhile
	}
	s.metrics.takenOver.Add(1)
	s.cfg.Log.Info().Str("event", "changes-taken-over").Str("hold", req.GetHold()).Str("from", req.GetFromAddress()).
		Int("servers", len(req.GetServers())).Int("suspects", len(req.GetSuspects())).Uint64("evacuations", req.GetEvacuations().GetRevision()).Send()
	for _, st := range req.GetServers() {
		s.BroadcastServer(st)
	}
	for _, suspect := range req.GetSuspects() {
		s.BroadcastSuspect(suspect)
	}
	if req.GetEvacuations() != nil {
		s.BroadcastEvacuations(req.GetEvacuations())
	}
}

// HoldTable has this host, which has had a revision of the routing table confirmed, broadcast it unless the leader of the
// control group does so soon. It must be called with revisions that this host has.
func (s *Broadcaster) HoldTable(revision uint64) {
	time.AfterFunc(takeoverDelay, func() {
		if s.heardOfTable(revision) {
			return
		}
		s.metrics.tablesTakenOver.Add(1)
		s.cfg.Log.Info().Str("event", "table-taken-over").Uint64("revision", revision).Send()
		s.BroadcastTable(revision)
	})
}

// heardOfTable reports whether another host has broadcast a revision of the table, or a newer one.
func (s *Broadcaster) heardOfTable(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heardRevision >= revision
}

// recordTable records that another host has broadcast a revision of the table.
func (s *Broadcaster) recordTable(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardRevision = max(s.heardRevision, revision)
}

// forgetHeld forgets the changes of a round, and reports whether they were held.
func (s *Broadcaster) forgetHeld(name string) (known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known = s.holds[name]
	delete(s.holds, name)
	return known
}
