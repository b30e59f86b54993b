package routing

import (
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// oracle schedules the requests of all hosts from one queue. It knows the actual load and caches
// and the length of every output. It serves as a reference, but is not an upper bound, since it
// simply orders requests by class and then by deadline.
type oracle struct {
	sim     *sim
	waiting []*job
}

func newOracle(m *sim, _ int64) router { return &oracle{sim: m} }

func (o *oracle) arrive(_ time.Duration, j *job) { o.waiting = append(o.waiting, j) }

// runTime returns the duration of j on s with a full batch.
func (o *oracle) runTime(j *job, s *server) time.Duration {
	seconds := float64(j.output) * s.tokenTime(s.slots)
	if s.model {
		prompt := float64(j.prompt - s.cache.peek(j.hashes)*blockTokens)
		for _, x := range s.active {
			prompt += x.prefillLeft
		}
		for _, x := range s.queue {
			prompt += float64(x.prompt - s.cache.peek(x.hashes)*blockTokens)
		}
		seconds += prompt / prefillRate
	}
	return time.Duration(seconds*float64(time.Second)) + o.sim.roundTrip(j, s) + 3*tick
}

func (o *oracle) tick(now time.Duration) {
	now += tick
	slices.SortStableFunc(o.waiting, func(a, b *job) int {
		if a.class != b.class {
			return int(a.class - b.class)
		}
		return int(a.deadline - b.deadline)
	})
	keep := o.waiting[:0]
	for _, j := range o.waiting {
		free := o.hasFreeSlot(j.target == modelTarget)
		if !free && now+o.outputTime(j) <= j.deadline {
			keep = append(keep, j)
			continue
		}
		if !o.dispatchOrRefuse(now, j) {
			keep = append(keep, j)
		}
	}
	o.waiting = keep
}

// hasFreeSlot reports whether a server of the given kind has a free slot.
func (o *oracle) hasFreeSlot(model bool) bool {
	for _, s := range o.sim.servers {
		if !s.dead && s.model == model && len(s.active)+len(s.queue) < s.slots {
			return true
		}
	}
	return false
}

// outputTime returns the time to generate the output of j. Model servers are assumed to have a
// full batch.
func (o *oracle) outputTime(j *job) time.Duration {
	if j.target == serviceTarget {
		return time.Duration(float64(j.output) * serviceTokenTime * float64(time.Second))
	}
	return time.Duration(float64(j.output) * fullTokenTime * float64(time.Second))
}

// dispatchOrRefuse dispatches or refuses j. It returns false if j keeps waiting.
func (o *oracle) dispatchOrRefuse(now time.Duration, j *job) bool {
	var best *server
	var bestTime, least time.Duration
	for _, s := range o.sim.servers {
		if s.dead || s.model != (j.target == modelTarget) {
			continue
		}
		d := o.runTime(j, s)
		if least == 0 || d < least {
			least = d
		}
		if len(s.active)+len(s.queue) < s.slots && (best == nil || d < bestTime) {
			best, bestTime = s, d
		}
	}
	switch {
	case best != nil && now+bestTime <= j.deadline:
		o.sim.dispatch(j, best)
		return true
	case now+least > j.deadline:
		j.result = refused
		if j.attempts > 0 {
			j.result = failed
		}
		return true
	}
	return false
}

func (o *oracle) ended(time.Duration, *job, bool)              {}
func (o *oracle) firstToken(time.Duration, *job)               {}
func (o *oracle) serverLost(now time.Duration, j *job)         { o.arrive(now, j) }
func (o *oracle) announce(time.Duration, int, *pb.ServerState) {}
func (o *oracle) heartbeat(time.Duration)                      {}
func (o *oracle) event(time.Duration, backend.CacheEvent)      {}
