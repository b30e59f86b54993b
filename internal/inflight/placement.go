package inflight

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Host is a host that can hold copies.
type Host struct {
	Name, Zone  string
	Incarnation uint64
}

// ring ranks the live hosts for each identity by rendezvous hash: every host that knows
// the same live hosts ranks them in the same order, and a host that joins or leaves moves
// only the identities for which it ranks first.
type ring struct {
	hosts  []Host
	hashes []uint64 // of the hosts' names
	zones  []string // the distinct zones
}

func newRing(hosts []Host) ring {
	r := ring{hosts: hosts, hashes: make([]uint64, len(hosts))}
	seen := make(map[string]bool)
	for i, h := range hosts {
		r.hashes[i] = xxhash.Sum64String(h.Name)
		if !seen[h.Zone] {
			seen[h.Zone] = true
			r.zones = append(r.zones, h.Zone)
		}
	}
	return r
}

// best returns the highest-ranked host that ok accepts.
func (r ring) best(identity uint64, ok func(Host) bool) (Host, bool) {
	var best Host
	var highest uint64
	found := false
	for i, h := range r.hosts {
		score := rank(identity, r.hashes[i])
		if found && score <= highest || !ok(h) {
			continue
		}
		best, highest, found = h, score, true
	}
	return best, found
}

func rank(identity, host uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], identity)
	binary.LittleEndian.PutUint64(b[8:], host)
	return xxhash.Sum64(b[:])
}

// copies picks n hosts for copies of the owner's record: first from availability zones other
// than the owner's and each other's, then from any zone other than the owner's, then from
// the owner's zone. Hosts for which skip returns true are skipped.
func (r ring) copies(identity, owner, zone string, n int, skip func(Host) bool) []Host {
	key := xxhash.Sum64String(identity)
	var picked []Host
	taken := func(h Host) bool {
		for _, p := range picked {
			if p.Name == h.Name {
				return true
			}
		}
		return h.Name == owner || skip(h)
	}
	rules := []func(Host) bool{
		func(h Host) bool { return h.Zone != zone && !containsZone(picked, h.Zone) },
		func(h Host) bool { return h.Zone != zone },
		func(Host) bool { return true },
	}
	for _, rule := range rules {
		for len(picked) < n {
			h, ok := r.best(key, func(h Host) bool { return rule(h) && !taken(h) })
			if !ok {
				break
			}
			picked = append(picked, h)
		}
	}
	return picked
}

// lookup returns every host that any owner would choose for n copies of the identity. Owners
// in different zones choose differently, so a retry at another host must ask them all:
// the best hosts of the first n+1 zones, one per zone, include every owner's choice.
func (r ring) lookup(identity string, n int) []Host {
	none := func(Host) bool { return false }
	if len(r.zones) > n || len(r.zones) == 1 {
		return r.copies(identity, "", "\x00", n+1, none)
	}
	var all []Host
	for _, zone := range r.zones {
		for _, h := range r.copies(identity, "", zone, n, none) {
			if !containsName(all, h.Name) {
				all = append(all, h)
			}
		}
	}
	return all
}

func containsZone(hosts []Host, zone string) bool {
	for _, h := range hosts {
		if h.Zone == zone {
			return true
		}
	}
	return false
}

func containsName(hosts []Host, name string) bool {
	for _, h := range hosts {
		if h.Name == name {
			return true
		}
	}
	return false
}
