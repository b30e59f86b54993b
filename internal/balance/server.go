package balance

import "time"

// server is what this host knows of one instance beyond its announcements.
type server struct {
	// running counts this host's requests there; unread is the prompt tokens of those
	// that have not had their first event.
	running int
	unread  uint64
	peers   peersWork
	cache   cache

	reportedAt time.Time
	report     Load

	// took is the running mean of a plain service's time to answer.
	took time.Duration

	failures  int
	suspended time.Time
}

// tookWeight is the weight of the newest answer in the mean.
const tookWeight = 0.1

func newServer() *server { return &server{cache: newCache()} }

func (s *server) begin(r *run) {
	s.running++
	s.unread += r.unread
}

func (s *server) firstPart(r *run) {
	if r.first {
		return
	}
	r.first = true
	s.unread -= r.unread
}

func (s *server) end(now time.Time, r *run, result Result) {
	s.firstPart(r)
	s.running--
	switch result {
	case Served:
		s.failures, s.suspended = 0, time.Time{}
		s.took += time.Duration(tookWeight * float64(now.Sub(r.started)-s.took))
	case Shed:
		s.suspended = now.Add(firstBackoff)
	case Unreachable, Broken:
		s.failures++
		pause := min(firstBackoff<<min(s.failures-1, 8), maxBackoff)
		s.suspended = now.Add(pause)
	case Abandoned:
	}
}

func (s *server) reported(now time.Time, l Load) { s.reportedAt, s.report = now, l }

// load estimates how many requests all hosts have at the server.
func (s *server) load() int { return s.running + s.peers.running }

// serviceTime predicts when a plain service answers one more request.
func (s *server) serviceTime(slots int) time.Duration {
	took := max(s.took, time.Millisecond)
	over := max(s.load()+1-max(slots, 1), 0)
	return took + time.Duration(over)*took/time.Duration(max(slots, 1)) + time.Duration(s.load())*time.Millisecond
}

// peerWork is what one peer has at a server.
type peerWork struct {
	running int
	unread  uint64
}

// peersWork sums up what the peers have at a server.
type peersWork struct {
	peerWork
	by map[string]peerWork
}

func (p *peersWork) drop(host string) {
	w, ok := p.by[host]
	if !ok {
		return
	}
	delete(p.by, host)
	p.running -= w.running
	p.unread -= w.unread
}

func (p *peersWork) set(host string, w peerWork) {
	p.drop(host)
	if p.by == nil {
		p.by = make(map[string]peerWork)
	}
	p.by[host] = w
	p.running += w.running
	p.unread += w.unread
}
