package records

import "time"

const (
	// earlyInterval is the time between rounds of updates that don't wait for their turn, on
	// average; earlyBurst may come at once. Above that rate updates gather for the regular
	// rounds: sent one by one they cost a saturated host a third of its processor time.
	earlyInterval = 10 * time.Millisecond
	earlyBurst = 20
)

// pacer allows early rounds at a bounded rate. Its zero value has the whole burst.
type pacer struct {
	// next is when the next round is due if all came at the average rate.
	next time.Time
}

func (p *pacer) allow(now time.Time) bool {
	if p.next.Sub(now) > (earlyBurst-1)*earlyInterval {
		return false
	}
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(earlyInterval)
	return true
}
