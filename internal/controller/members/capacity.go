package members

import (
	"expvar"

	"github.com/bluebellsail/bluebellsail/internal/capacity"
	"github.com/bluebellsail/bluebellsail/internal/membership"
)

// CapacityView is the weights of the hosts that serve callers, by what they may use. The host itself is not
// among Others.
type CapacityView struct {
	Self   membership.HostWeight
	Others []membership.HostWeight
}

// Capacities returns the weights of the hosts as this host knows them.
func (c *Controller) Capacities() CapacityView {
	c.mu.Lock()
	defer c.mu.Unlock()
	self, others := c.table.Weights()
	return CapacityView{Self: self, Others: others}
}

// capacityMetrics counts what hosts told of their capacity.
type capacityMetrics struct {
	// told counts capacities that became known or changed, incomplete those of them that lack a dimension,
	// absurd those with a dimension that was ignored.
	told, incomplete, absurd expvar.Int
}

// CapacityVars returns the metrics of capacities: the counts, this host's weight, the least and greatest weight
// of a host that serves callers, and the number of other hosts that tell no capacity at all.
func (c *Controller) CapacityVars() expvar.Var {
	vars := new(expvar.Map)
	vars.Set("told", &c.capacity.told)
	vars.Set("incomplete", &c.capacity.incomplete)
	vars.Set("absurd", &c.capacity.absurd)
	vars.Set("weights", expvar.Func(func() any { return c.Capacities().summary() }))
	return vars
}

type weightSummary struct {
	Own     float64 `json:"own"`
	Least   float64 `json:"least"`
	Most    float64 `json:"most"`
	Unknown int     `json:"unknown"`
}

func (v CapacityView) summary() weightSummary {
	s := weightSummary{Own: v.Self.Weight, Least: v.Self.Weight, Most: v.Self.Weight}
	for _, h := range v.Others {
		s.Least, s.Most = min(s.Least, h.Weight), max(s.Most, h.Weight)
		if h.Capacity.Missing() == capacity.AllDimensions {
			s.Unknown++
		}
	}
	return s
}

// countCapacity counts what a host tells of its capacity, and reports whether that is new.
func (c *Controller) countCapacity(was, now PeerInfo) bool {
	if was.Capacity == now.Capacity && was.Absurd == now.Absurd {
		return false
	}
	c.capacity.told.Add(1)
	if now.Capacity.Missing()&^now.Absurd != 0 {
		c.capacity.incomplete.Add(1)
	}
	if now.Absurd != 0 {
		c.capacity.absurd.Add(1)
	}
	return true
}

// logCapacity logs and counts what a host tells of its capacity if that is new.
func (c *Controller) logCapacity(was, now PeerInfo) {
	if !c.countCapacity(was, now) {
		return
	}
	event := c.cfg.Log.Info()
	if now.Absurd != 0 {
		event = c.cfg.Log.Warn()
	}
	event.Str("event", "peer-capacity").Str("peer", now.Host).Uint64("incarnation", now.Incarnation).
		Uint32("processor_permille", now.Capacity.ProcessorPermille).Uint32("memory_mb", now.Capacity.MemoryMB).
		Uint32("link_kbps", now.Capacity.LinkKbps).Stringer("missing", now.Capacity.Missing()&^now.Absurd).Stringer("ignored", now.Absurd).Send()
}
