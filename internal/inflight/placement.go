package inflight

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Host is a host that can keep copies.
type Host struct {
	Name, Zone  string
	Incarnation uint64
}

// ring ranks the live hosts for each identity by rendezvous hash: every host that knows
// the same live hosts ranks them alike, and a host that comes or goes moves only the
// identities that it ranks first for.
type ring struct {
	hosts  []Host
	hashes []uint64 // of the names
	zones  []string // distinct
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

// best is the highest ranked host that ok accepts.
func (r ring) best(identity uint64, ok func(Host) bool) (Host, bool) {
	var found Host
	var top uint64
	any := false
	for i, h := range r.hosts {
		score := rank(identity, r.hashes[i])
		if any && score <= top || !ok(h) {
			continue
		}
		found, top, any = h, score, true
	}
	return found, any
}

func rank(identity, host uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], identity)
	binary.LittleEndian.PutUint64(b[8:], host)
	return xxhash.Sum64(b[:])
}

// copies picks n hosts for a record of the owner: first in availability zones other than
// the owner's and each other's, then in other zones at all, then in the owner's. Hosts
// that skip accepts are passed over.
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
		func(h Host) bool { return h.Zone != zone && !zoneIn(picked, h.Zone) },
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

// lookup is every host that some owner would choose for n copies of the identity. Owners
// in different zones choose differently, so a retry at another host must ask them all:
// the first n+1 zones' best hosts, one per zone, hold any owner's choice.
func (r ring) lookup(identity string, n int) []Host {
	none := func(Host) bool { return false }
	if len(r.zones) > n {
		return r.copies(identity, "", "\x00", n+1, none)
	}
	if len(r.zones) == 1 {
		return r.copies(identity, "", "\x00", n+1, none)
	}
	var all []Host
	for _, zone := range r.zones {
		for _, h := range r.copies(identity, "", zone, n, none) {
			if !nameIn(all, h.Name) {
				all = append(all, h)
			}
		}
	}
	return all
}

func zoneIn(hosts []Host, zone string) bool {
	for _, h := range hosts {
		if h.Zone == zone {
			return true
		}
	}
	return false
}

func nameIn(hosts []Host, name string) bool {
	for _, h := range hosts {
		if h.Name == name {
			return true
		}
	}
	return false
}
