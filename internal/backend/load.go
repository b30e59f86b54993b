package backend

import (
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// maxEnded bounds the ended runs remembered between two load reports of a server.
const maxEnded = 1024

// Run is one request of this host at a server.
type Run struct {
	Ticket uint64
	// Tokens of the prompt that the server has to compute.
	Tokens uint64
	start  time.Time
	first  bool
}

// load corrects a server's reported load, which is late, by what this host and
// its peers sent since the report.
//
// Symptom this prevents: between two reports every host sees the same idle server
// and sends all its work there.
type load struct {
	at       time.Time // when the server measured
	reported int       // running and waiting by the report
	own      []Run
	ended    []span
	peers    map[string]peerWork

	// Sums kept for quick decisions.
	ownAtReport  int // how many of the reported requests were this host's
	peerRequests int
	peerTokens   uint64
}

// span is an ended run of this host.
type span struct{ start, end time.Time }

// peerWork is what a peer says it has in flight since the server's last report.
type peerWork struct {
	at       time.Time
	requests int
	tokens   uint64
}

func (l *load) report(at time.Time, st *pb.ServerState) {
	if !at.After(l.at) && !l.at.IsZero() {
		return
	}
	l.at = at
	l.reported = int(st.GetRunning() + st.GetWaiting())
	l.ended = slices.DeleteFunc(l.ended, func(e span) bool { return !e.end.After(at) })
	for host, p := range l.peers {
		if !p.at.After(at) {
			delete(l.peers, host)
		}
	}
	l.countOwnAtReport()
	l.sumPeers()
}

// countOwnAtReport counts the requests of this host that were at the server when it
// measured: those still there and those that ended since. It changes with a report only.
func (l *load) countOwnAtReport() {
	n := 0
	for i := range l.own {
		if !l.own[i].start.After(l.at) {
			n++
		}
	}
	for _, e := range l.ended {
		if !e.start.After(l.at) && e.end.After(l.at) {
			n++
		}
	}
	l.ownAtReport = n
}

func (l *load) sumPeers() {
	l.peerRequests, l.peerTokens = 0, 0
	for _, p := range l.peers {
		l.peerRequests += p.requests
		l.peerTokens += p.tokens
	}
}

// Begin counts a request of this host as sent to s. prompt is in tokens to be computed.
func (s *Server) Begin(now time.Time, ticket, prompt uint64) {
	s.load.own = append(s.load.own, Run{Ticket: ticket, Tokens: prompt, start: now})
}

// Computed notes that the prompt of a run was computed: its first token came.
func (s *Server) Computed(ticket uint64) {
	for i := range s.load.own {
		if s.load.own[i].Ticket == ticket {
			s.load.own[i].first = true
		}
	}
}

// End counts a request of this host as ended; false if it was not counted.
func (s *Server) End(now time.Time, ticket uint64) bool {
	i := slices.IndexFunc(s.load.own, func(r Run) bool { return r.Ticket == ticket })
	if i < 0 {
		return false
	}
	if len(s.load.ended) < maxEnded {
		s.load.ended = append(s.load.ended, span{s.load.own[i].start, now})
	}
	s.load.own = slices.Delete(s.load.own, i, i+1)
	return true
}

// Own is this host's number of requests in flight at s.
func (s *Server) Own() int { return len(s.load.own) }

// SinceReport is by how many requests of this host s has more than when it measured
// its reported load; negative if more ended than began.
func (s *Server) SinceReport() int { return s.Own() - s.load.ownAtReport }

// Others estimates the requests of other hosts at s now.
func (s *Server) Others() int {
	return max(s.load.reported-s.load.ownAtReport, 0) + s.load.peerRequests
}

// Corrected estimates all requests at s now.
func (s *Server) Corrected() int { return s.Others() + s.Own() }

// Reported is the load as the server last reported it.
func (s *Server) Reported() int { return s.load.reported }

// LoadAge is how long ago s measured its reported load.
func (s *Server) LoadAge(now time.Time) time.Duration { return now.Sub(s.load.at) }

// PendingPrompt estimates the prompt tokens sent to s and not yet computed.
func (s *Server) PendingPrompt() uint64 {
	n := s.load.peerTokens
	for i := range s.load.own {
		if !s.load.own[i].first {
			n += s.load.own[i].Tokens
		}
	}
	return n
}

// RecentWork is what this host has in flight at each server that the server's
// last report can't contain yet; peers add it to the reported load. Tokens are
// those of prompts not yet computed.
func (r *Registry) RecentWork() []*pb.RecentWork {
	var out []*pb.RecentWork
	for addr, s := range r.servers {
		w := &pb.RecentWork{Server: addr}
		for i := range s.load.own {
			run := &s.load.own[i]
			if run.start.After(s.load.at) {
				w.Requests++
			}
			if !run.first {
				w.Tokens += run.Tokens
			}
		}
		if w.Requests > 0 || w.Tokens > 0 {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *pb.RecentWork) int {
		if a.GetServer() < b.GetServer() {
			return -1
		}
		return 1
	})
	return out
}

// MergeRecent replaces what is known of a peer's recent work.
func (r *Registry) MergeRecent(now time.Time, host string, work []*pb.RecentWork) {
	for _, s := range r.servers {
		if _, ok := s.load.peers[host]; ok {
			delete(s.load.peers, host)
			s.load.sumPeers()
		}
	}
	for _, w := range work {
		s := r.servers[w.GetServer()]
		if s == nil {
			continue
		}
		if s.load.peers == nil {
			s.load.peers = make(map[string]peerWork)
		}
		s.load.peers[host] = peerWork{at: now, requests: int(w.GetRequests()), tokens: w.GetTokens()}
		s.load.sumPeers()
	}
}
