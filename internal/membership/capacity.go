package membership

import (
	"github.com/bluebellsail/bluebellsail/internal/capacity"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// setCapacity sets what a host's incarnation tells of its capacity, which is nil if its version tells
// nothing. Another host's report is taken only while the host itself has not told: the capacity stays the same
// for an incarnation, and an earlier version passes entries on without it.
func (t *Table) setCapacity(e *entry, m *pb.Capacity) {
	c, absurd := capacity.FromProto(m)
	news := c != e.capacity || absurd != e.absurd
	e.capacity, e.absurd, e.told = c, absurd, true
	if news {
		t.changed()
		t.queueUpdate(e, true)
	}
}

// toldCapacity returns the capacity of e to pass on; nil if its incarnation has told none.
func (e *entry) toldCapacity() *pb.Capacity {
	if !e.told {
		return nil
	}
	return e.capacity.Proto()
}

// weigh computes the weights of all hosts by their capacities, unless no host has changed. All hosts that
// serve callers count toward the mean, leaving and dead ones too: a host that ends then changes no weights.
func (t *Table) weigh() {
	if t.weighed == t.queued && t.selfWeight != 0 {
		return
	}
	t.weighed = t.queued
	known := make([]capacity.Capacity, 0, len(t.order)+1)
	if t.cfg.Self.CallerAddress != "" {
		known = append(known, t.cfg.Self.Capacity)
	}
	for _, e := range t.order {
		if e.callerAddress != "" {
			known = append(known, e.capacity)
		}
	}
	scale := capacity.NewScale(known)
	t.selfWeight = scale.Weight(t.cfg.Self.Capacity)
	t.uneven = t.cfg.Self.CallerAddress != "" && t.selfWeight != capacity.Neutral
	for _, e := range t.order {
		e.weight = scale.Weight(e.capacity)
		t.uneven = t.uneven || e.callerAddress != "" && e.weight != capacity.Neutral
	}
}

// HostWeight is the weight of a host by its capacity, relative to the mean of those that serve callers.
type HostWeight struct {
	Host     string
	Capacity capacity.Capacity
	Weight   float64
}

// Weights returns the weight of this host and those of the other hosts that serve callers, in a stable order.
func (t *Table) Weights() (self HostWeight, others []HostWeight) {
	t.weigh()
	for _, e := range t.order {
		if e.callerAddress != "" {
			others = append(others, HostWeight{Host: e.host, Capacity: e.capacity, Weight: e.weight})
		}
	}
	return HostWeight{Host: t.cfg.Self.Host, Capacity: t.cfg.Self.Capacity, Weight: t.selfWeight}, others
}
