package records

import "time"

const (
	// earlyInterval is the average time between early rounds of updates, which are sent
	// before the next regular round; earlyBurst of them may follow each other at once. Above
	// that rate updates wait for the regular rounds: sent one by one they cost a saturated
	// host a third of its processor time.
	earlyInterval = 10 * time.Millisecond
	earlyBurst    = 20
)

// pacer limits the rate of early rounds. Its zero value allows a whole burst.
type pacer struct {
	// next is when the next round would be due if all rounds came at the average rate.
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
