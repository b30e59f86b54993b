package serverpath

import (
	"slices"
	"time"
)

const (
	// silentAfter is how long no byte may come from any server, although requests were sent to
	// silentServers of them, until this host is suspected of being cut off by a network that accepts
	// connections and delivers nothing. Sound servers keep single requests waiting for as long, not all.
	silentAfter = 750 * time.Millisecond
	// silentServers is the number of servers that must be silent.
	silentServers = 2
)

// Silence tracks which servers have left requests on direct connections unanswered. A request that has
// ended without a byte of an answer counts as well: its caller may wait for a shorter time than
// silentAfter.
type Silence struct {
	// unanswered holds when the first request was sent to a server that has sent nothing since.
	unanswered map[string]time.Time
	// heardAt is when a byte last came from any server.
	heardAt time.Time
}

// NewSilence returns a Silence in which no server is silent.
func NewSilence() *Silence { return &Silence{unanswered: make(map[string]time.Time)} }

// Sent records that a request is sent to a server.
func (s *Silence) Sent(now time.Time, server string) {
	if _, waits := s.unanswered[server]; !waits {
		s.unanswered[server] = now
	}
}

// Heard records that a byte came from a server.
func (s *Silence) Heard(now time.Time, server string) {
	delete(s.unanswered, server)
	s.heardAt = now
}

// Suspects returns the silent servers, in order, if this host may be cut off from all servers.
func (s *Silence) Suspects(now time.Time) []string {
	if now.Sub(s.heardAt) < silentAfter {
		return nil
	}
	var out []string
	for server, since := range s.unanswered {
		switch waited := now.Sub(since); {
		case waited > memory:
			delete(s.unanswered, server) // nothing tells whether it would answer now
		case waited >= silentAfter:
			out = append(out, server)
		}
	}
	if len(out) < silentServers {
		return nil
	}
	slices.Sort(out)
	return out
}

// Waiting reports whether any server has left a request unanswered.
func (s *Silence) Waiting() bool { return len(s.unanswered) > 0 }
