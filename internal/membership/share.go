package membership

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/rendezvous"
)

const (
	// sameZoneWeight is how much likelier a host of the caller's own availability zone is named
	// than one of another: round trips to these are 3 ms longer.
	sameZoneWeight = 3
	// suspectWeight is that of a host whose heartbeats stay unanswered.
	suspectWeight = 0.01
	// fullWeightShare is how many times the mean traffic a host may have at its full weight.
	fullWeightShare = 1.2
	// fullWeightTraffic is the traffic, in KiB a second, up to which a host has its full weight: a
	// fortieth of what a link of 10 Mbit/s carries.
	fullWeightTraffic = 32
	// busyExponent makes up for callers who go on with an older answer, three times as long as
	// they may.
	busyExponent = 3
	// shareEpoch is how long a caller is named the same hosts while these stay the same.
	shareEpoch = 30 * time.Second
)

// Share answers a caller with its share of the fleet: n hosts that are drawn by a hash of
// the caller's name, with more weight for those of its zone and less for busy ones. All
// hosts give a caller the same answer if they know the same of the others.
//
// What goes wrong when every caller is named all hosts: callers do not choose evenly,
// whatever the order of the answer, and many prefer the same host. One host of 70 got ten
// times the mean, its link was full, and its streams came too late while others had nothing
// to do. Of a few hosts, which are others for each caller, all get about as many callers.
func (t *Table) Share(now time.Time, zone, caller string, n int, ttl time.Duration) []Address {
	all := t.candidates(zone)
	mean := 0.0
	for _, c := range all {
		mean += float64(c.traffic) / float64(len(all))
	}
	most := max(fullWeightShare*mean, fullWeightTraffic)
	name := rendezvous.Hash(caller)
	// Callers change their shares one after the other.
	phase := time.Duration(name % uint64(shareEpoch))
	key := rendezvous.Hash(fmt.Sprint(caller, "/", now.Add(phase).UnixNano()/int64(shareEpoch)))
	for i := range all {
		all[i].key = -math.Log(unit(rendezvous.Rank(key, rendezvous.Hash(all[i].address.Host)))) / all[i].weight(most)
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.key, b.key) })
	return withExpiry(all[:min(n, len(all))], now.Add(ttl))
}

// weight of a host among those that a caller may be named. most is the traffic that a host
// may have at its full weight.
func (c candidate) weight(most float64) float64 {
	w := 1.0
	switch c.class {
	case classSameZone:
		w = sameZoneWeight
	case classSuspect:
		w = suspectWeight
	}
	return w * math.Pow(min(most/max(float64(c.traffic), 1), 1), busyExponent)
}

// unit maps a hash to a number above 0 and up to 1.
func unit(hash uint64) float64 {
	const bits = 53 // of a float64's mantissa
	return (float64(hash>>(64-bits)) + 1) / (1 << bits)
}
