package sched

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/fairqueue"
)

// Bounds against starvation: a class with waiting requests that could run is skipped for at most
// this many grants in a row to higher priority classes.
const (
	maxNormalSkips = 4
	maxBatchSkips  = 64
)

// urgentExtra determines by how much urgent requests may exceed a server's slots: by 1/urgentExtra
// of them. The server gives them its next free slot, which on a large server comes soon;
// this host has no other way to use the slots that other hosts hold.
const urgentExtra = 16

// batchReserve determines the slots of a server that batch requests leave free, 1/batchReserve of
// them, so that an urgent request never finds all slots held by long requests.
const batchReserve = 16

// For pressureTime after a higher priority request was refused because no server had room for it,
// batch requests leave the fraction 1/pressureReserve of a server's slots free. Otherwise hosts with
// short queues would fill, with long requests, the slots for which other hosts refuse short ones.
const (
	pressureReserve = 4
	pressureTime    = 15 * time.Second
)

// pool is the scheduling state of one target.
type pool struct {
	target  backend.Target
	classes [classes]*fairqueue.Queue[*item]
	// levels counts, per class, the grants to higher priority classes since its last own grant.
	levels  [classes]fairqueue.Level
	waiting int
	// members is this host's subset of the target's servers.
	members []member
	changes uint64
	stale   bool
	// usage is the measured share of the planned slot time that requests actually take.
	usage float64
	// nextExpiry is the earliest of the waiting requests' latest start times.
	nextExpiry time.Time
	// pressureUntil is the end of pressureTime after the last refusal of a higher priority request
	// because no server had room for it.
	pressureUntil time.Time
}

// Initial value, lower bound and averaging weight of pool.usage.
const (
	initialUsage = 1.0
	minUsage     = 0.1
	usageWeight  = 0.05
)

func (c *Core) pool(t backend.Target) *pool {
	p := c.pools[t]
	if p == nil {
		p = &pool{target: t, stale: true, usage: initialUsage}
		for k := range p.classes {
			p.classes[k] = newQueue()
		}
		p.levels[Normal].Bound, p.levels[Batch].Bound = maxNormalSkips, maxBatchSkips
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

// classOrder returns the order in which classes are offered room: a class that has reached its
// starvation bound first, then by priority.
func (p *pool) classOrder() [classes]Class {
	due, ok := fairqueue.Due(int(classes), p.level)
	switch {
	case ok && Class(due) == Batch:
		return [classes]Class{Batch, Urgent, Normal}
	case ok:
		return [classes]Class{Normal, Urgent, Batch}
	}
	return [classes]Class{Urgent, Normal, Batch}
}

// level returns the level of a class with the number of requests that wait.
func (p *pool) level(class int) *fairqueue.Level {
	p.levels[class].Waiting = p.classes[class].Len()
	return &p.levels[class]
}

// granted counts a grant against the lower priority classes that wait.
func (p *pool) granted(class Class) { fairqueue.Granted(int(classes), int(class), p.level) }

// room returns how many requests of a class a server may hold in total. On a server with few slots
// the reserves round down to zero; there only the starvation bounds and short queues help.
func (p *pool) room(now time.Time, slots int, class Class) int {
	if class == Urgent {
		return slots + slots/urgentExtra
	}
	if class == Normal {
		return slots
	}
	if now.Before(p.pressureUntil) {
		return slots - slots/pressureReserve
	}
	return slots - slots/batchReserve
}

// notePressure records that a request of the class was refused because no server had room for it.
func (p *pool) notePressure(now time.Time, class Class) {
	if class < Batch {
		p.pressureUntil = now.Add(pressureTime)
	}
}
