package placement

import (
	"fmt"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// maxCrashes of servers under the same order hold it back.
	maxCrashes = 3
	// minHold is how long; it doubles with each further crash, up to longestHold.
	minHold   = time.Minute
	maxHold = time.Hour
)

// orderGoal is what an order brings a server to; orders that want the same are the same work, whatever
// server they go to.
type orderGoal struct {
	verb                 Verb
	model, adapter, role string
}

func goalOf(o Order) orderGoal {
	return orderGoal{verb: o.Verb, model: o.Model, adapter: o.Adapter, role: o.Role}
}

// crashHistory of servers while they carried out the same order.
type crashHistory struct {
	count int
	// until is when the order may be given again.
	until time.Time
}

// restarted tells whether the server of a flight has ended since the order was given.
func (f *pendingOrder) restarted(s *pb.ServerState) bool {
	return s != nil && s.GetIncarnation() != f.incarnation
}

// recordCrash notes that a server ended while it carried out an order.
func (p *Planner) recordCrash(now time.Time, o Order) {
	c := p.crashes[goalOf(o)]
	c.count++
	if over := c.count - maxCrashes; over >= 0 {
		hold := maxHold
		if doublings := min(over, 8); minHold<<doublings < maxHold {
			hold = minHold << doublings
		}
		c.until = now.Add(hold)
	}
	p.crashes[goalOf(o)] = c
}

// holdReason says why an order may not be given now; empty: it may.
func (p *Planner) holdReason(now time.Time, o Order) string {
	c := p.crashes[goalOf(o)]
	if !now.Before(c.until) {
		return ""
	}
	return fmt.Sprintf("%d servers ended while they carried out %s %s", c.count, o.Verb, o.Model+o.Adapter+o.Role)
}
