package routes

import (
	"math/rand/v2"
	"time"
)

const (
	// unregisteredPause is the mean time between two questions of a host that is not registered.
	unregisteredPause = 500 * time.Millisecond
	// toleratedFailures is the number of unanswered questions in a row after which a host asks less often:
	// some control hosts may be down while the others have time.
	toleratedFailures = 3
	// noTablePause is the mean time between two questions while a quorum confirms that there is no table. A host hears of
	// the first one by other ways.
	noTablePause = time.Second
	// maxPause bounds the mean time between two questions that are not answered.
	maxPause = 3200 * time.Millisecond
)

// pacer paces the questions of a host to the control hosts. A large fleet that starts asks a few of them, as
// its hosts know no others yet; if these have no time, further questions at the usual rate would keep the
// control group from electing a leader.
type pacer struct {
	registered bool
	failures   int
	notBefore  time.Duration
}

// mayAsk reports whether a question may be sent at a time since the start of the host.
func (p *pacer) mayAsk(now time.Duration, registered bool) bool {
	if registered && !p.registered {
		p.notBefore = 0
	}
	p.registered = registered
	if now < p.notBefore {
		return false
	}
	if !registered {
		p.wait(now, unregisteredPause)
	}
	return true
}

// ended records the end of a question.
func (p *pacer) ended(now time.Duration, a answer) {
	if a == noTable {
		p.wait(now, noTablePause)
	}
	if a != unanswered {
		p.failures = 0
		return
	}
	p.failures++
	if excess := p.failures - toleratedFailures; excess > 0 {
		p.wait(now, min(confirmEvery<<min(excess, 8), maxPause))
	}
}

// hasTable has the next question asked at once, as this host has got a table.
func (p *pacer) hasTable() { p.notBefore = 0 }

// wait defers the next question by a random time with the given mean.
func (p *pacer) wait(now, mean time.Duration) {
	p.notBefore = max(p.notBefore, now+mean/2+rand.N(mean))
}
