package membership

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/capacity"
	"github.com/bluebellsail/bluebellsail/internal/rendezvous"
)

const (
	// sameZoneWeight is the weight of a host in the caller's own availability zone, relative to
	// one in another zone, to which round trips are 3 ms longer.
	sameZoneWeight = 3
	// suspectWeight is the weight of a suspected host.
	suspectWeight = 0.01
	// fullWeightShare is the traffic up to which a host has its full weight, as a multiple of
	// the mean traffic, where hosts differ by capacity: of its part of all traffic by capacity.
	fullWeightShare = 1.2
	// fullWeightTraffic is the traffic in KiB per second up to which a host has its full weight
	// in any case, a fortieth of the capacity of a link of usualLinkKbps. Where hosts differ by capacity, it
	// is a fortieth of each host's own link.
	fullWeightTraffic = 32
	usualLinkKbps     = 10_000
	// busyExponent increases the effect of traffic on the weight. It compensates for callers
	// that use an answer for three times as long as it is valid.
	busyExponent = 3
	// shareEpoch is how long a caller's share stays the same while the hosts don't change.
	shareEpoch = 30 * time.Second
)

// Share returns the addresses of a caller's share of the fleet: n hosts drawn by a hash of the
// caller's name, with more weight for hosts in its zone and for those that may use more, and less for busy
// ones. All hosts with
// the same view of the fleet return the same hosts to a caller.
//
// If every caller got all hosts, the load would be uneven, because callers don't choose evenly,
// whatever the order of the addresses, and many prefer the same host. One host of 70 got ten times
// the mean traffic: its link was saturated and its streams were late while other hosts were
// idle. With a few hosts that differ by caller, all hosts get about the same number of callers.
func (t *Table) Share(now time.Time, zone, caller string, n int, ttl time.Duration, preferred ...func(zone string) bool) []Address {
	all := firstMatching(t.candidates(zone), preferred)
	mean := meanTraffic(all)
	name := rendezvous.Hash(caller)
	// The shares of different callers change at different times.
	phase := time.Duration(name % uint64(shareEpoch))
	key := rendezvous.Hash(fmt.Sprint(caller, "/", now.Add(phase).UnixNano()/int64(shareEpoch)))
	for i := range all {
		all[i].key = -math.Log(unit(rendezvous.Rank(key, rendezvous.Hash(all[i].address.Host)))) / all[i].weight(mean)
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.key, b.key) })
	return withExpiry(all[:min(n, len(all))], now.Add(ttl))
}

// firstMatching returns the candidates in the zones that the first of the conditions accepts, of those
// conditions that accept any; all candidates if there is none.
func firstMatching(all []candidate, conditions []func(zone string) bool) []candidate {
	for _, accepts := range conditions {
		matching := slices.DeleteFunc(slices.Clone(all), func(c candidate) bool { return !accepts(c.address.Zone) })
		if len(matching) > 0 {
			return matching
		}
	}
	return all
}

// meanTraffic returns the traffic of hosts for each unit of their capacity.
func meanTraffic(all []candidate) (mean float64) {
	total := 0.0
	for _, c := range all {
		total += c.capacity
	}
	for _, c := range all {
		mean += float64(c.traffic) / total
	}
	return mean
}

// fullWeight returns the traffic in KiB per second up to which a host of the given capacity has its full weight
// in any case.
func (t *Table) fullWeight(c capacity.Capacity) float64 {
	if !t.uneven || c.LinkKbps == 0 {
		return fullWeightTraffic
	}
	return fullWeightTraffic * float64(c.LinkKbps) / usualLinkKbps
}

// weight returns the weight of a host in the draw for a share. mean is the traffic for each unit of capacity.
func (c candidate) weight(mean float64) float64 {
	w := c.capacity
	switch c.class {
	case classSameZone:
		w *= sameZoneWeight
	case classSuspect:
		w *= suspectWeight
	}
	limit := max(fullWeightShare*mean*c.capacity, c.fullWeight)
	return w * math.Pow(min(limit/max(float64(c.traffic), 1), 1), busyExponent)
}

// unit maps a hash to a number above 0 and up to 1.
func unit(hash uint64) float64 {
	const bits = 53 // size of a float64's mantissa
	return (float64(hash>>(64-bits)) + 1) / (1 << bits)
}
