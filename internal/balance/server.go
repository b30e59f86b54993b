package balance

import (
	"math"
	"slices"
	"time"
)

// server is what this host knows of one incarnation of a server beyond its announcements.
type server struct {
	// running counts the requests that this host dispatched there. pending lists those without the
	// first part of their answer, oldest first, and uncached is the sum of their prompt tokens to prefill.
	running  int
	pending  []*attempt
	uncached uint64
	// headSince is the earliest time at which the prefill of the oldest pending request can have begun.
	headSince time.Time
	cache     cache
	memory    engineMemory

	// work is the number of prompt tokens dispatched recently, decayed to workAt.
	work   float64
	workAt time.Time

	// lateness is how much later than predicted the first part of the latest answer arrived,
	// observed at latenessAt.
	lateness   time.Duration
	latenessAt time.Time

	slowdown slowdown
	others   others

	// answerTime is the moving average of a plain service's answer time.
	answerTime time.Duration
	// workTime is how long a plain service takes to answer if the request does not wait there and its
	// machine is not slowed down; 0: not known.
	workTime time.Duration
	reported reported

	// lastServed is the time of the last answer.
	lastServed   time.Time
	failures     int
	backoffUntil time.Time
	// failedAt is the time of the last failure, or of the last request that the server did not take.
	failedAt time.Time
	// cooldownUntil is the end of the server's cooldown for this host.
	cooldownUntil time.Time
	// remoteCooldownUntil is the end of its cooldown for another host, whose requests this host
	// assigns. The server is likely to be full for all hosts.
	remoteCooldownUntil time.Time
}

// answerTimeWeight is the weight of the newest answer in the moving average.
const answerTimeWeight = 0.1

// utilizationWindow is the time over which a server's utilization is averaged.
const utilizationWindow = 3 * time.Second

// assign records prompt tokens that the server has to prefill.
func (s *server) assign(now time.Time, uncached uint64) {
	s.decayWork(now)
	s.work += float64(uncached)
}

func (s *server) decayWork(now time.Time) {
	if !s.workAt.IsZero() {
		s.work *= math.Exp(-float64(now.Sub(s.workAt)) / float64(utilizationWindow))
	}
	s.workAt = now
}

// utilization returns rho/(1-rho), the mean number of requests in a queue at that load.
func (s *server) utilization(now time.Time) float64 {
	s.decayWork(now)
	rho := min(s.work/prefilledIn(utilizationWindow), 0.9)
	return rho / (1 - rho)
}

func newServer() *server { return &server{cache: newCache(), memory: newEngineMemory()} }

func (s *server) begin(now time.Time, r *attempt) {
	s.running++
	s.reported.since++
	if len(s.pending) == 0 {
		s.headSince = now
	}
	s.pending = append(s.pending, r)
	s.uncached += r.uncached
	s.assign(now, r.uncached)
}

// firstPart records that the prompt of an attempt has been prefilled.
func (s *server) firstPart(now time.Time, r *attempt) {
	if !s.removePending(now, r) || !r.engine {
		return
	}
	s.lateness, s.latenessAt = now.Sub(r.started)-r.predicted, now
}

// removePending removes an attempt from the pending ones and reports whether it was pending.
func (s *server) removePending(now time.Time, r *attempt) bool {
	if r.firstSeen {
		return false
	}
	r.firstSeen = true
	i := slices.Index(s.pending, r)
	s.pending = slices.Delete(s.pending, i, i+1)
	s.uncached -= r.uncached
	s.headSince = now
	return true
}

// backlog returns the number of prompt tokens of the pending requests that are not prefilled yet.
// Engines prefill prompts one after the other, so only the oldest one can be partly prefilled; the
// others count in full however long they have waited.
func (s *server) backlog(now time.Time) float64 {
	if len(s.pending) == 0 {
		return 0
	}
	prefilled := min(prefilledIn(now.Sub(s.headSince)), float64(s.pending[0].uncached))
	return float64(s.uncached) - prefilled
}

// latenessDecay is the time in which an observed lateness decays to a third.
const latenessDecay = time.Second

// residualLateness returns the decayed lateness of the server's answers against their predictions.
// It stands for work of other hosts that this host does not know of.
func (s *server) residualLateness(now time.Time) time.Duration {
	if s.lateness <= 0 {
		return 0
	}
	return time.Duration(float64(s.lateness) * math.Exp(-float64(now.Sub(s.latenessAt))/float64(latenessDecay)))
}

func (s *server) end(now time.Time, r *attempt, result Result) {
	s.removePending(now, r)
	s.running--
	if r.started.After(s.reported.at) {
		s.reported.since = max(s.reported.since-1, 0)
	}
	switch result {
	case Served:
		s.failures, s.backoffUntil, s.lastServed = 0, time.Time{}, now
		s.answerTime += time.Duration(answerTimeWeight * float64(now.Sub(r.started)-s.answerTime))
		if s.reported.unended > 0 {
			s.reported.unended-- // how long a failure takes says nothing of the work
		} else {
			s.recordWork(now, now.Sub(r.started))
		}
	case Shed:
		s.failedAt, s.backoffUntil = now, now.Add(firstBackoff)
	case Unreachable, Broken:
		s.failures, s.failedAt = s.failures+1, now
		pause := min(firstBackoff<<min(s.failures-1, 8), maxBackoff)
		s.backoffUntil = now.Add(pause)
	case Abandoned:
	}
}

// probeWait returns the time until a failing server may get a request while all others of its service fail too.
func (s *server) probeWait(now time.Time) time.Duration {
	wait := max(min(s.failedAt.Add(probeInterval).Sub(now), s.backoffUntil.Sub(now)), 0)
	if wait == 0 && s.running > 0 && now.Before(s.backoffUntil) {
		return firstBackoff // until the probe in progress has ended
	}
	return wait
}

// workTimeRise is the weight of an answer that took longer than workTime, which is close to the least
// answer time for that reason.
const workTimeRise = 0.02

// recordWork records how long an answer took. The requests that wait at the server say how long this one
// has waited about.
func (s *server) recordWork(now time.Time, took time.Duration) {
	waited := float64(s.reported.last.Waiting) / float64(max(s.reported.last.Slots, 1))
	took = time.Duration(float64(took) / (1 + waited) / (1 + max(s.slowdown.current(now), 0)))
	if s.workTime == 0 || took < s.workTime {
		s.workTime = took
		return
	}
	s.workTime += time.Duration(workTimeRise * float64(took-s.workTime))
}

// serviceTime predicts the answer time of a plain service for one more request.
func (s *server) serviceTime(slots int) time.Duration {
	took := max(s.answerTime, time.Millisecond)
	over := max(s.running+1-max(slots, 1), 0)
	return took + time.Duration(over)*took/time.Duration(max(slots, 1)) + time.Duration(s.running)*time.Millisecond
}
