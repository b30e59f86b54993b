package placement

import (
	"fmt"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// maxCrashes of servers under the same order hold it back.
	maxCrashes = 3
	// firstHold is how long; it doubles with each further crash, up to longestHold.
	firstHold   = time.Minute
	longestHold = time.Hour
)

// orderGoal is what an order brings a server to; orders that want the same are the same work, whatever
// server they go to.
type orderGoal struct {
	verb                 Verb
	model, adapter, role string
}

func wants(o Order) orderGoal {
	return orderGoal{verb: o.Verb, model: o.Model, adapter: o.Adapter, role: o.Role}
}

// crashes of servers while they carried out the same order.
type crashes struct {
	count int
	// until is when the order may be given again.
	until time.Time
}

// restarted tells whether the server of a flight has ended since the order was given.
func (f *flight) restarted(s *pb.ServerState) bool {
	return s != nil && s.GetIncarnation() != f.incarnation
}

// crashed notes that a server ended while it carried out an order.
func (p *Planner) crashed(now time.Time, o Order) {
	c := p.crashes[wants(o)]
	c.count++
	if over := c.count - maxCrashes; over >= 0 {
		hold := longestHold
		if doublings := min(over, 8); firstHold<<doublings < longestHold {
			hold = firstHold << doublings
		}
		c.until = now.Add(hold)
	}
	p.crashes[wants(o)] = c
}

// heldBack says why an order may not be given now; empty: it may.
func (p *Planner) heldBack(now time.Time, o Order) string {
	c := p.crashes[wants(o)]
	if !now.Before(c.until) {
		return ""
	}
	return fmt.Sprintf("%d servers ended while they carried out %s %s", c.count, o.Verb, o.Model+o.Adapter+o.Role)
}
