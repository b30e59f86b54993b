package sched

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
)

// Bounds against starvation: a class with waiting requests that could run is
// passed over by at most this many grants in a row to more pressing classes.
const (
	normalPassedBound = 4
	batchPassedBound  = 64
)

// urgentPart: urgent may go beyond a server's slots by 1 in so many. The server puts
// it first for the next slot, which on a big server comes soon; other hosts' slots
// are out of this host's reach otherwise.
const urgentPart = 16

// batchPart: batch leaves 1 slot in so many of each server free, so that an urgent
// request never finds all slots held by long jobs.
const batchPart = 16

// Under pressure, for pressureTime after a more pressing request was refused for
// want of room, batch leaves 1 slot in pressedPart free: hosts whose own queues are
// short would else fill with long jobs what other hosts refuse short ones for.
const (
	pressedPart  = 4
	pressureTime = 15 * time.Second
)

// pool is the scheduling state of one target.
type pool struct {
	target  backend.Target
	classes [classes]classQueue
	// passed counts the grants to more pressing classes since this class's last.
	passed  [classes]int
	waiting int
	// members is this host's subset of the target's servers.
	members []member
	changes uint64
	stale   bool
	// usage is the measured share of the planned slot time that runs really take.
	usage float64
	// nextExpiry is the earliest latest start of the waiting requests.
	nextExpiry time.Time
	// pressedUntil is when the pressure by refused requests ends.
	pressedUntil time.Time
}

// slotUsage bounds and weight of the measured share.
const (
	initialUsage = 1.0
	minUsage     = 0.1
	usageWeight  = 0.05
)

func (c *Core) pool(t backend.Target) *pool {
	p := c.pools[t]
	if p == nil {
		p = &pool{target: t, stale: true, usage: initialUsage}
		c.pools[t] = p
		c.order = append(c.order, p)
	}
	if p.stale || p.changes != c.reg.Changes() {
		p.members = subsetOf(c.cfg.Host, c.hosts, c.reg.Serving(t), c.cfg.Subset)
		p.changes = c.reg.Changes()
		p.stale = false
	}
	return p
}

// classOrder is the order in which classes are offered room: a class that reached
// its bound first, then by priority.
func (p *pool) classOrder() [classes]Class {
	order := [classes]Class{Urgent, Normal, Batch}
	switch {
	case p.classes[Batch].waiting > 0 && p.passed[Batch] >= batchPassedBound:
		order = [classes]Class{Batch, Urgent, Normal}
	case p.classes[Normal].waiting > 0 && p.passed[Normal] >= normalPassedBound:
		order = [classes]Class{Normal, Urgent, Batch}
	}
	return order
}

// granted counts a grant against the less pressing classes that wait.
func (p *pool) granted(class Class) {
	p.passed[class] = 0
	for k := class + 1; k < classes; k++ {
		if p.classes[k].waiting > 0 {
			p.passed[k]++
		}
	}
}

// room is how many requests of a class a server with slots may hold in all.
// A server with few slots keeps none free: there the bound by passed grants and
// short queues must do.
func (p *pool) room(now time.Time, slots int, class Class) int {
	if class == Urgent {
		return slots + slots/urgentPart
	}
	if class == Normal {
		return slots
	}
	if now.Before(p.pressedUntil) {
		return slots - slots/pressedPart
	}
	return slots - slots/batchPart
}

// pressed notes that a request of the class was refused for want of room.
func (p *pool) pressed(now time.Time, class Class) {
	if class < Batch {
		p.pressedUntil = now.Add(pressureTime)
	}
}
