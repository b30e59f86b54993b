package sched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellsail/bluebellsail/internal/backend"
)

// preferredCount is the number of preferred servers of a prompt prefix. All hosts compute the same
// ones by rendezvous hash, so that requests with one prefix find it cached there.
const preferredCount = 2

// lentReserve determines the slots of a server that a host leaves free when it goes beyond its own
// share: 1/lentReserve of them.
//
// Without it, one busy host refills every borrowed slot the moment it ends, and a second host waits
// forever for its own share.
const lentReserve = 8

// choice is a candidate server with its predictions.
type choice struct {
	server *backend.Server
	finish time.Time
	// score is the value by which choices are compared: finish, minus the prefill time at a
	// preferred server.
	score  time.Time
	cached float64
	load   int
}

// hasRoom reports whether this host may send one more request of class to m. useReserved also
// allows the slots that are kept for higher priority classes.
func (c *Core) hasRoom(now time.Time, p *pool, m member, class Class, useReserved bool) bool {
	s := m.server
	own := s.OwnInFlight()
	depth := c.depth(m)
	share := m.share(s.Slots() + depth)
	if s.LoadAge(now) > c.cfg.MaxLoadAge {
		// The dispatches of other hosts are not known: only the host's own share is safe.
		return own < share
	}
	limit := s.Slots()
	if !useReserved || class == Urgent {
		limit = p.room(now, limit, class)
	}
	limit += depth
	if own >= share && class != Urgent && !useReserved {
		limit -= (s.Slots() + lentReserve - 1) / lentReserve
	}
	return c.loadOf(s) < limit && c.hasTurn(m, limit)
}

// depth returns how many requests beyond its slots a server may get from all hosts together: the
// work that it completes in the time QueueAhead, but at most as many as it has slots, or as raise
// each host's share to two requests. A host that has a server to itself needs none, because it sees
// the end of each request at once.
func (c *Core) depth(m member) int {
	if m.cover <= 1 {
		return 0
	}
	slots := m.server.Slots()
	return min(m.server.QueueDepth(c.cfg.QueueAhead), max(slots, 2*m.cover-slots))
}

// hasTurn splits the free slots of the last load report between the hosts that cover the server.
// The remainder goes to other hosts with each report. A host may replace the requests that it ended
// since the report.
//
// Without it, all hosts see the same three free slots in one report, each sends a request, and
// most of these wait seconds for a slot.
func (c *Core) hasTurn(m member, limit int) bool {
	if c.cfg.Ablation.NoCorrection {
		return true
	}
	s := m.server
	free := max(limit-s.ReportedLoad(), 0)
	turn := (m.position + int(s.State().GetSeq()%uint64(m.cover))) % m.cover
	return s.OwnSinceReport() < max(shareOf(free, m.cover, turn), 0)
}

// loadOf returns the load by which servers are compared.
func (c *Core) loadOf(s *backend.Server) int {
	if c.cfg.Ablation.NoCorrection {
		return s.ReportedLoad()
	}
	return s.CorrectedLoad()
}

// cachedShare returns the share of w's prompt that s is expected to have cached.
func (c *Core) cachedShare(s *backend.Server, w *Work) float64 {
	if c.cfg.Ablation.NoPrefix {
		return 0
	}
	return s.CachedShare(w.PromptHashes)
}

// eligible reports whether s may run w at all.
func (c *Core) eligible(now time.Time, s *backend.Server, w *Work) bool {
	if !c.reg.UsableServer(now, s) || s.CoolingDown(now) || slices.Contains(w.Exclude, s.Address()) {
		return false
	}
	return w.Adapter == "" || slices.Contains(s.State().GetAdapters(), w.Adapter)
}

// runTime predicts the time from the dispatch of w to s until the whole answer: round trip, queue
// wait, the prefill of pending prompts and of the uncached part of w's prompt, and its output up
// to the cap at the speed of a full batch.
func (c *Core) runTime(now time.Time, s *backend.Server, w *Work, cached float64) time.Duration {
	trip := c.roundTrip(s)
	wait := c.slotWait(now, s)
	if w.Target.Kind == backend.Service {
		return trip + wait + s.ServiceTime()
	}
	prompt := float64(w.PromptTokens) * (1 - cached)
	prefill := s.PrefillTime(float64(s.PendingPrompt()) + prompt)
	return trip + wait + prefill + time.Duration(w.OutputCap)*s.TokenTime()
}

// slotWait predicts how long a request waits at s for a slot. Without a fresh load report hosts
// keep to their own shares, so there is no wait; the estimated load would be too high then,
// because the ends of other hosts' requests are not known.
func (c *Core) slotWait(now time.Time, s *backend.Server) time.Duration {
	if s.LoadAge(now) > c.cfg.MaxLoadAge {
		return 0
	}
	over := c.loadOf(s) - s.Slots() + 1
	if over <= 0 {
		return 0
	}
	return time.Duration(over) * s.MeanRunTime() / time.Duration(s.Slots())
}

// minRunTime returns the run time of w on s with no queue and no other prompt pending.
func (c *Core) minRunTime(s *backend.Server, w *Work) time.Duration {
	if w.Target.Kind == backend.Service {
		return c.roundTrip(s) + s.ServiceTime()
	}
	prompt := float64(w.PromptTokens) * (1 - c.cachedShare(s, w))
	return c.roundTrip(s) + s.PrefillTime(prompt) + time.Duration(w.OutputCap)*s.TokenTime()
}

// roundTrip returns the network round trip to s.
func (c *Core) roundTrip(s *backend.Server) time.Duration {
	if c.cfg.Ablation.NoDistance || s.State().GetZone() == c.cfg.Zone {
		return 0
	}
	return 2 * c.cfg.ZoneDelay
}

// withMargin adds the safety margin before the deadline.
func (c *Core) withMargin(d time.Duration) time.Duration {
	return d + time.Duration(c.cfg.Margin*float64(d))
}

// consider replaces best by m if m may run w in time and beats best. It returns whether m may.
func (c *Core) consider(now time.Time, p *pool, m member, w *Work, useReserved, preferred bool, best *choice) bool {
	if !c.eligible(now, m.server, w) || !c.hasRoom(now, p, m, w.Class, useReserved) {
		return false
	}
	cached := c.cachedShare(m.server, w)
	d := c.withMargin(c.runTime(now, m.server, w, cached))
	finish := now.Add(d)
	if finish.After(w.Deadline) {
		return false
	}
	if !c.permitted(now, m.server) {
		return false
	}
	load := c.loadOf(m.server)
	score := finish
	if preferred {
		// The prefix that a preferred server prefills serves the next requests with it there.
		score = score.Add(-m.server.PrefillTime(float64(w.PromptTokens) * (1 - cached)))
	}
	better := best.server == nil || score.Before(best.score) ||
		(score.Equal(best.score) && load*best.server.Slots() < best.load*m.server.Slots())
	if better {
		*best = choice{server: m.server, finish: finish, score: score, cached: cached, load: load}
	}
	return true
}

// choose picks the server for w among those with room, and returns the number of servers compared.
// The choice has no server if none with room would end w in time.
func (c *Core) choose(now time.Time, p *pool, w *Work, useReserved bool) (choice, int) {
	var best choice
	considered := 0
	if w.Prefer != "" {
		if m, ok := p.find(w.Prefer); ok && c.consider(now, p, m, w, useReserved, false, &best) {
			return best, 1
		}
	}
	for _, i := range p.preferredOf(w, c.cfg.Ablation.NoPrefix) {
		if c.consider(now, p, p.members[i], w, useReserved, true, &best) {
			considered++
		}
	}
	n := len(p.members)
	if n == 0 {
		return best, 0
	}
	// Sampling starts at a random member. It compares the first servers with room, and looks at
	// all members if few have room.
	at := c.rng.Intn(n)
	step := c.stride(n)
	sampled := 0
	for k := 0; k < n && sampled < c.cfg.Samples; k++ {
		if c.consider(now, p, p.members[at], w, useReserved, false, &best) {
			sampled++
		}
		at = (at + step) % n
	}
	return best, considered + sampled
}

// stride returns a random step that visits each of n positions once.
func (c *Core) stride(n int) int {
	for {
		step := 1 + c.rng.Intn(n)
		if gcd(step, n) == 1 {
			return step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (p *pool) find(addr string) (member, bool) {
	for _, m := range p.members {
		if m.server.Address() == addr {
			return m, true
		}
	}
	return member{}, false
}

// preferredOf returns the indexes of the members that are preferred servers of w's prefix.
func (p *pool) preferredOf(w *Work, noPrefix bool) []int {
	if noPrefix || len(w.PromptHashes) == 0 {
		return nil
	}
	var top [preferredCount]int
	var score [preferredCount]uint64
	found := 0
	for i := range p.members {
		r := rank(w.PromptHashes[0], p.members[i].hash)
		j := found
		for j > 0 && score[j-1] < r {
			j--
		}
		if j >= preferredCount {
			continue
		}
		copy(score[j+1:], score[j:preferredCount-1])
		copy(top[j+1:], top[j:preferredCount-1])
		score[j], top[j] = r, i
		found = min(found+1, preferredCount)
	}
	return top[:found]
}

// hashOf returns the hash of a server's address for rendezvous hashing.
func hashOf(addr string) uint64 { return xxhash.Sum64String(addr) }
