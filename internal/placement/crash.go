package placement

import (
	"fmt"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// maxCrashes is the number of server crashes after which an order is held back.
	maxCrashes = 3
	// minHold is how long an order is first held back. The time doubles with each further
	// crash, up to maxHold.
	minHold = time.Minute
	maxHold = time.Hour
)

// orderGoal is the effect that an order is to have on a server. Orders with the same goal count
// as the same order, whichever server they are sent to.
type orderGoal struct {
	verb                 Verb
	model, adapter, role string
}

func goalOf(o Order) orderGoal {
	return orderGoal{verb: o.Verb, model: o.Model, adapter: o.Adapter, role: o.Role}
}

// crashHistory records the crashes of servers while they executed the same order.
type crashHistory struct {
	count int
	// until is when the order may be given again.
	until time.Time
}

// restarted reports whether the server of an order has restarted since the order was given.
func (o *pendingOrder) restarted(s *pb.ServerState) bool {
	return s != nil && s.GetIncarnation() != o.incarnation
}

// recordCrash records that a server crashed while it executed an order.
func (p *Planner) recordCrash(now time.Time, o Order) {
	c := p.crashes[goalOf(o)]
	c.count++
	if excess := c.count - maxCrashes; excess >= 0 {
		hold := maxHold
		if doublings := min(excess, 8); minHold<<doublings < maxHold {
			hold = minHold << doublings
		}
		c.until = now.Add(hold)
	}
	p.crashes[goalOf(o)] = c
}

// holdReason returns why an order is held back, or the empty string if it isn't.
func (p *Planner) holdReason(now time.Time, o Order) string {
	c := p.crashes[goalOf(o)]
	if !now.Before(c.until) {
		return ""
	}
	return fmt.Sprintf("%d servers crashed while they executed %s %s", c.count, o.Verb, o.Model+o.Adapter+o.Role)
}
