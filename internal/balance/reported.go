package balance

import (
	"math"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

const (
	// reportFresh is the time in which the difference between the latest report and the mean decays to a
	// third. Requests that take some milliseconds have left the server by then, and hosts that all follow
	// the same late reports would move from server to server together.
	reportFresh = 20 * time.Millisecond
	// occupancyWindow is the time over which reports are averaged.
	occupancyWindow = time.Second
	// occupancyDecay is the time in which the mean decays to a third without a report. A server that was
	// full and is left alone gets requests again.
	occupancyDecay = 3 * time.Second
	// faultWindow is the time in which answers lose all but a third of their weight in the part of the
	// answers that are server errors.
	faultWindow = 10 * time.Second
	// maxReportedSlots and maxReportedPerSlot bound the reports that are believed: the slots of a server,
	// and the running and the waiting requests per slot.
	maxReportedSlots   = 1 << 16
	maxReportedPerSlot = 1 << 10
)

// full reports whether one more request would have to wait at the server.
func (l *Load) full() bool { return l.Waiting > 0 || l.Running >= l.Slots }

// ReportLoad records the load that a server reports. It returns false if its counts can't be true; they
// are ignored then.
func (c *Core) ReportLoad(now time.Time, inc instance.Incarnation, l Load) (plausible bool) {
	s := c.server(inc)
	s.slowdown.record(now, l.Slowdown)
	if !c.cfg.Overload.Waits() {
		return true
	}
	if c.cfg.Overload.Slots {
		s.reported.addFault(now, l.Failed, s.running)
	}
	if !l.Counted {
		return true
	}
	if !l.Plausible() {
		c.implausible++
		return false
	}
	s.others.record(now, l, s.running, len(s.pending))
	if c.cfg.Overload.Memory {
		s.memory.recordUncounted(now, l.Running+l.Waiting, s.running)
	}
	if c.cfg.Overload.Slots {
		s.reported.add(now, l)
	}
	return true
}

// reported is what a plain server has reported of the requests of all hosts there.
type reported struct {
	last Load
	// at is when the last report arrived; the zero value: never.
	at time.Time
	// mean is the mean number of requests at the server, running and waiting.
	mean float64
	// evidence counts the reports, as of the time at.
	evidence evidence
	// faults counts the answers, and the server errors among them as full, as of faultsAt. unended counts
	// the server errors whose attempts have not ended.
	faults   evidence
	faultsAt time.Time
	unended  int
	// since counts the requests of this host that were dispatched after the last report and still run.
	since int
}

// add records a plausible load.
func (r *reported) add(now time.Time, l Load) {
	weight := 1.0
	if !r.at.IsZero() {
		weight = 1 - decayed(now.Sub(r.at), occupancyWindow)
	}
	r.mean += weight * (float64(l.Running+l.Waiting) - r.mean)
	r.evidence = r.evidence.after(now.Sub(r.at)).plus(l.full())
	r.last, r.at, r.since = l, now, 0
}

// addFault records whether an answer was a server error. own is the number of this host's attempts at the
// server: the answer may have been to an attempt that another host assigned, whose end is not seen here.
func (r *reported) addFault(now time.Time, failed bool, own int) {
	r.faults, r.faultsAt = r.faults.within(now.Sub(r.faultsAt), faultWindow).plus(failed), now
	if failed {
		r.unended = min(r.unended+1, own)
	}
}

// faultPart returns the part of the recent answers that were server errors.
func (r *reported) faultPart(now time.Time) float64 {
	e := r.faults.within(now.Sub(r.faultsAt), faultWindow)
	return e.full / max(e.reports, minEvidence)
}

// requests returns the estimated number of requests of all hosts at the server. The latest report says
// how many there were a moment ago; the older it is, the more the mean says.
func (r *reported) requests(now time.Time) float64 {
	if r.at.IsZero() {
		return float64(r.since)
	}
	age := now.Sub(r.at)
	n := r.mean + (float64(r.last.Running+r.last.Waiting)-r.mean)*decayed(age, reportFresh)
	return n*decayed(age, occupancyDecay) + float64(r.since)
}

// slots returns the number of requests that the server runs at once, as reported or else as announced.
func (r *reported) slots(announced int) int {
	if !r.at.IsZero() {
		return r.last.Slots
	}
	return announced
}

// decayed returns the rest of 1 after the time d, which is e to the power of -d/within.
func decayed(d, within time.Duration) float64 { return math.Exp(-float64(d) / float64(within)) }

// saturated is the utilization from which the queue of a server counts as growing.
const saturated = 0.95

// expectedWait returns how long a request is expected to wait at a server with a mean of n requests, each
// of which takes work. Below saturation it is Sakasegawa's approximation of the wait in a queue with
// several servers; beyond, the excess requests have to be worked through first.
func expectedWait(n float64, slots int, work time.Duration) time.Duration {
	c := float64(max(slots, 1))
	rho := min(n/c, saturated)
	jobs := math.Pow(rho, math.Sqrt(2*(c+1))-1) / (c * (1 - rho))
	jobs += max(n-saturated*c, 0) / c
	return time.Duration(jobs * float64(work))
}
