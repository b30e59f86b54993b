package balance

import "time"

// server is what this host knows of one instance beyond its announcements.
type server struct {
	// running counts this host's requests there, pending those without their first part.
	running, pending int
	// own is the prompt tokens of this host's requests that the server has yet to read.
	own   queue
	peers peersWork
	cache cache

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

func (s *server) begin(now time.Time, r *run) {
	s.running++
	s.pending++
	s.own.add(now, float64(r.unread))
}

// firstPart takes that the prompt of a run has been read. When it was the last one that
// this host waited for, nothing of its own is left to read there, whatever the model says.
func (s *server) firstPart(now time.Time, r *run) {
	if r.first {
		return
	}
	r.first = true
	s.pending--
	if s.pending == 0 {
		s.own = queue{at: now}
	}
}

func (s *server) end(now time.Time, r *run, result Result) {
	s.firstPart(now, r)
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

// backlog is how many prompt tokens the server has yet to read, of all hosts.
func (s *server) backlog(now time.Time) float64 { return s.own.left(now) + s.peers.left(now) }

// serviceTime predicts when a plain service answers one more request.
func (s *server) serviceTime(slots int) time.Duration {
	took := max(s.took, time.Millisecond)
	over := max(s.load()+1-max(slots, 1), 0)
	return took + time.Duration(over)*took/time.Duration(max(slots, 1)) + time.Duration(s.load())*time.Millisecond
}

// peerWork is what one peer has at a server.
type peerWork struct {
	running int
	unread  queue
}

// peersWork is what the peers have at a server.
type peersWork struct {
	running int
	by      map[string]peerWork
}

func (p *peersWork) drop(host string) {
	w, ok := p.by[host]
	if !ok {
		return
	}
	delete(p.by, host)
	p.running -= w.running
}

func (p *peersWork) set(host string, w peerWork) {
	p.drop(host)
	if p.by == nil {
		p.by = make(map[string]peerWork)
	}
	p.by[host] = w
	p.running += w.running
}

func (p *peersWork) left(now time.Time) float64 {
	sum := 0.0
	for _, w := range p.by {
		sum += w.unread.left(now)
	}
	return sum
}
