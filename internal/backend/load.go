package backend

import (
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// maxEnded bounds the ended requests kept between two load reports of a server.
const maxEnded = 1024

// InFlight is one request of this host at a server.
type InFlight struct {
	Ticket uint64
	// Tokens is the number of prompt tokens that the server has to prefill.
	Tokens      uint64
	start       time.Time
	prefillDone bool
}

// load corrects the reported load of a server, which is outdated, by the requests that this host and
// its peers sent since the report.
//
// Without it, between two reports every host sees the same idle server and sends all its requests
// there.
type load struct {
	at       time.Time // when the server measured the load
	reported int       // running and waiting requests in the report
	own      []InFlight
	ended    []span
	peers    map[string]peerWork

	// Sums kept for quick decisions.
	ownAtReport  int // how many of the reported requests were this host's
	peerRequests int
	peerTokens   uint64
}

// span is the duration of an ended request of this host.
type span struct{ start, end time.Time }

// peerWork is what a peer reports as in flight since the server's last report.
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

// countOwnAtReport counts the requests of this host that were at the server when it measured its
// load: those still there and those that ended since. The count changes only with a report.
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

// Begin counts a request as sent to s. prompt is the number of tokens to prefill.
func (s *Server) Begin(now time.Time, ticket, prompt uint64) {
	s.load.own = append(s.load.own, InFlight{Ticket: ticket, Tokens: prompt, start: now})
}

// PrefillDone records that the prompt of a request was prefilled, as its first token has arrived.
func (s *Server) PrefillDone(ticket uint64) {
	for i := range s.load.own {
		if s.load.own[i].Ticket == ticket {
			s.load.own[i].prefillDone = true
		}
	}
}

// End counts a request as ended. It returns false if the request was not counted.
func (s *Server) End(now time.Time, ticket uint64) bool {
	i := slices.IndexFunc(s.load.own, func(r InFlight) bool { return r.Ticket == ticket })
	if i < 0 {
		return false
	}
	if len(s.load.ended) < maxEnded {
		s.load.ended = append(s.load.ended, span{s.load.own[i].start, now})
	}
	s.load.own = slices.Delete(s.load.own, i, i+1)
	return true
}

// OwnInFlight returns the number of this host's requests in flight at s.
func (s *Server) OwnInFlight() int { return len(s.load.own) }

// OwnSinceReport returns the change in the number of this host's requests at s since s measured its
// reported load; it is negative if more requests ended than began.
func (s *Server) OwnSinceReport() int { return s.OwnInFlight() - s.load.ownAtReport }

// OthersInFlight estimates the number of other hosts' requests at s.
func (s *Server) OthersInFlight() int {
	return max(s.load.reported-s.load.ownAtReport, 0) + s.load.peerRequests
}

// CorrectedLoad estimates the number of all requests at s.
func (s *Server) CorrectedLoad() int { return s.OthersInFlight() + s.OwnInFlight() }

// ReportedLoad returns the load as last reported by the server.
func (s *Server) ReportedLoad() int { return s.load.reported }

// LoadAge returns the time since s measured its reported load.
func (s *Server) LoadAge(now time.Time) time.Duration { return now.Sub(s.load.at) }

// PendingPrompt estimates the number of prompt tokens that were sent to s and are not yet prefilled.
func (s *Server) PendingPrompt() uint64 {
	n := s.load.peerTokens
	for i := range s.load.own {
		if !s.load.own[i].prefillDone {
			n += s.load.own[i].Tokens
		}
	}
	return n
}

// RecentWork returns the requests of this host in flight at each server that the server's last
// report cannot include yet; peers add them to the reported load. Tokens are those of prompts not
// yet prefilled.
func (r *Registry) RecentWork() []*pb.RecentWork {
	var out []*pb.RecentWork
	for addr, s := range r.servers {
		w := &pb.RecentWork{Server: addr}
		for i := range s.load.own {
			req := &s.load.own[i]
			if req.start.After(s.load.at) {
				w.Requests++
			}
			if !req.prefillDone {
				w.Tokens += req.Tokens
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

// MergeRecentWork replaces the recent work of a peer.
func (r *Registry) MergeRecentWork(now time.Time, host string, work []*pb.RecentWork) {
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
