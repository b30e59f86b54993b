package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Address is one address that a caller may use.
type Address struct {
	Host    string
	Zone    string
	Address string
	// Until is when the caller should request addresses again.
	Until time.Time
}

// minWeight is the minimum weight of a host. A host without spare capacity keeps a small
// chance to be drawn, because load reports are late.
const minWeight = 20 // thousandths

type candidate struct {
	address Address
	class   int
	traffic uint32
	// silent reports that the host has been suspected for UnlistAfter.
	silent bool
	// capacity is the host's weight by its capacity. fullWeight is the traffic in KiB per second up to which
	// the host has its full weight in any case.
	capacity, fullWeight float64
	// key orders the candidates of one class: a random draw without replacement in which a
	// host's chance is its share of the spare capacity.
	key float64
}

// Classes of addresses, best first.
const (
	classSameZone = iota
	classOtherZone
	classSuspect
	classLeaving
)

// Addresses returns the addresses for a caller in the given availability zone: first
// the hosts of that zone, then those of other zones, each in random order weighted by
// spare capacity and by what hosts may use, so that callers spread, and suspected hosts last. Leaving, dead and
// long silent hosts are left out. If all live hosts are leaving, those are returned, because a
// refusal by one is better than no address. The result is empty only if no live host
// serves callers.
func (t *Table) Addresses(now time.Time, zone string, ttl time.Duration) []Address {
	candidates := t.candidates(zone)
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.key, b.key))
	})
	return withExpiry(candidates, now.Add(ttl))
}

func withExpiry(candidates []candidate, until time.Time) []Address {
	addresses := make([]Address, 0, len(candidates))
	for _, c := range candidates {
		c.address.Until = until
		addresses = append(addresses, c.address)
	}
	return addresses
}

// candidates returns the hosts whose addresses may be returned; leaving ones only if all
// are leaving, long silent ones only if half of the hosts or more are suspected: it is then
// more likely that this host is cut off.
func (t *Table) candidates(zone string) []candidate {
	t.weigh()
	all := make([]candidate, 0, len(t.order)+1)
	if t.cfg.Self.CallerAddress != "" {
		all = append(all, t.selfCandidate(zone))
	}
	for _, e := range t.order {
		if e.callerAddress != "" && !t.dead(e) {
			all = append(all, t.candidate(e, zone))
		}
	}
	return withoutSilent(withoutLeaving(all))
}

func withoutSilent(all []candidate) []candidate {
	suspected := 0
	for _, c := range all {
		if c.class == classSuspect {
			suspected++
		}
	}
	if 2*suspected >= len(all) {
		return all
	}
	return slices.DeleteFunc(all, func(c candidate) bool { return c.silent })
}

func withoutLeaving(all []candidate) []candidate {
	leaving := func(c candidate) bool { return c.class == classLeaving }
	staying := slices.DeleteFunc(slices.Clone(all), leaving)
	if len(staying) == 0 {
		return all
	}
	return staying
}

func (t *Table) selfCandidate(zone string) candidate {
	self := t.cfg.Self
	c := candidate{
		address: Address{Host: self.Host, Zone: self.Zone, Address: self.CallerAddress},
		class:   classOf(zone, self.Zone),
		key:     t.draw(t.spare, t.selfWeight),
		traffic: t.traffic, capacity: t.selfWeight, fullWeight: t.fullWeight(self.Capacity),
	}
	if self.Incarnation == 0 {
		c.class = classSuspect // not registered yet, so it rejects requests
	}
	if t.leaving {
		c.class = classLeaving
	}
	return c
}

func (t *Table) candidate(e *entry, zone string) candidate {
	c := candidate{
		address: Address{Host: e.host, Zone: e.zone, Address: e.callerAddress},
		class:   classOf(zone, e.zone),
		key:     t.draw(e.spare, e.weight),
		traffic: e.traffic, capacity: e.weight, fullWeight: t.fullWeight(e.capacity),
	}
	if t.health(e) == pb.HostHealth_HOST_HEALTH_SUSPECT {
		c.class, c.silent = classSuspect, t.ticksInDoubt(e) >= t.cfg.UnlistAfter
	}
	if e.leaving {
		c.class = classLeaving
	}
	return c
}

func classOf(callerZone, hostZone string) int {
	if callerZone == hostZone {
		return classSameZone
	}
	return classOtherZone
}

// draw returns an exponential variate whose rate is the spare capacity of a host of the given weight. Sorting by it draws
// without replacement by weight (Efraimidis and Spirakis, "Weighted random sampling with a
// reservoir", 2006).
func (t *Table) draw(sparePermille uint32, capacity float64) float64 {
	weight := float64(max(sparePermille, minWeight)) * capacity
	return -math.Log(1-t.rng.Float64()) / weight
}
