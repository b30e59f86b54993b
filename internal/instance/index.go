package instance

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/rendezvous"
)

// indexParts is the number of parts, by the hash of the id, in which the index of a service holds its
// instances. It is a power of two.
const indexParts = 1024

// usability is whether an instance may get requests.
type usability uint8

const (
	unusable usability = iota
	usable
	// evacuated instances would be usable in another availability zone.
	evacuated
)

// serviceIndex holds the known instances of a service. A look-up of some of them costs the same however many
// there are, and a change of one does not rebuild it.
type serviceIndex struct {
	// ordered holds the instances by id, but those in added, which have been added since the last look-up that
	// needs the order; hashes has the hashes of the same instances as ordered.
	ordered []*Instance
	hashes  []uint64
	added   []*Instance
	parts   [indexParts][]*Instance
	counts  [evacuated + 1]int
	// versions counts the instances by software version. goneVersions has when an instance of a version that
	// is no longer held was last announced.
	versions     map[string]int
	goneVersions map[string]time.Time
}

// index returns the index of a service.
func (r *Registry) index(service string) *serviceIndex {
	x := r.byService[service]
	if x == nil {
		x = &serviceIndex{versions: make(map[string]int), goneVersions: make(map[string]time.Time)}
		r.byService[service] = x
	}
	return x
}

func compareIDs(a, b *Instance) int { return strings.Compare(a.ID, b.ID) }

func (x *serviceIndex) add(i *Instance) {
	x.added = append(x.added, i)
	part := &x.parts[i.hash%indexParts]
	*part = append(*part, i)
	i.counted = i.usability()
	x.counts[i.counted]++
	x.versions[i.Version]++
}

// order moves the added instances to their places. One pass serves all of them: a host that joins a fleet hears of
// thousands of servers before it needs their order.
func (x *serviceIndex) order() {
	if len(x.added) == 0 {
		return
	}
	slices.SortFunc(x.added, compareIDs)
	old := len(x.ordered) - 1
	x.ordered = append(x.ordered, x.added...)
	x.hashes = slices.Grow(x.hashes, len(x.added))[:len(x.ordered)]
	for to := len(x.ordered) - 1; len(x.added) > 0; to-- {
		last := x.added[len(x.added)-1]
		if old >= 0 && compareIDs(x.ordered[old], last) > 0 {
			x.ordered[to], x.hashes[to] = x.ordered[old], x.hashes[old]
			old--
			continue
		}
		x.ordered[to], x.hashes[to] = last, last.hash
		x.added[len(x.added)-1] = nil
		x.added = x.added[:len(x.added)-1]
	}
}

func (x *serviceIndex) remove(i *Instance) {
	x.order()
	at, _ := slices.BinarySearchFunc(x.ordered, i, compareIDs)
	x.ordered = slices.Delete(x.ordered, at, at+1)
	x.hashes = slices.Delete(x.hashes, at, at+1)
	part := &x.parts[i.hash%indexParts]
	*part = slices.DeleteFunc(*part, func(other *Instance) bool { return other == i })
	x.counts[i.counted]--
	x.removeVersion(i)
}

// removeVersion counts an instance of its version less.
func (x *serviceIndex) removeVersion(i *Instance) {
	if x.versions[i.Version]--; x.versions[i.Version] == 0 {
		delete(x.versions, i.Version)
		x.goneVersions[i.Version] = latest(x.goneVersions[i.Version], i.LastAnnounced)
	}
}

// changeVersion sets the software version of an instance.
func (x *serviceIndex) changeVersion(i *Instance, version string) {
	x.removeVersion(i)
	i.Version = version
	x.versions[version]++
}

// refresh counts an instance by its present state.
func (x *serviceIndex) refresh(i *Instance) {
	x.counts[i.counted]--
	i.counted = i.usability()
	x.counts[i.counted]++
}

func (i *Instance) usability() usability {
	switch {
	case !i.accepts():
		return unusable
	case i.Evacuated:
		return evacuated
	}
	return usable
}

// Serving returns the instances of a service that may get requests, ordered by id.
func (r *Registry) Serving(service string) []*Instance {
	var out []*Instance
	x := r.index(service)
	x.order()
	for _, i := range x.ordered {
		if i.Usable() {
			out = append(out, i)
		}
	}
	return out
}

// ServingCount returns the number of a service's instances that may get requests.
func (r *Registry) ServingCount(service string) int { return r.index(service).counts[usable] }

// Evacuated returns the number of a service's instances that would get requests if their zones were
// not evacuated.
func (r *Registry) Evacuated(service string) int { return r.index(service).counts[evacuated] }

// ServingInShard returns the instances of a service that may get requests and whose ids hash to shard modulo
// shards, which is a power of two; all of them, ordered by id, if there is one shard.
func (r *Registry) ServingInShard(service string, shard, shards uint32) []*Instance {
	if shards <= 1 {
		return r.Serving(service)
	}
	var out []*Instance
	parts := &r.index(service).parts
	for part := shard % indexParts; part < indexParts; part += min(shards, indexParts) {
		for _, i := range parts[part] {
			if i.Usable() && uint32(i.hash)&(shards-1) == shard {
				out = append(out, i)
			}
		}
	}
	slices.SortFunc(out, compareIDs)
	return out
}

// Versions returns the software versions of a service's instances, in order: those of the known ones, and those that
// others had for as long as instances are remembered.
func (r *Registry) Versions(now time.Time, service string) []string {
	x := r.index(service)
	for v, last := range x.goneVersions {
		if now.Sub(last) >= r.cfg.Forget || x.versions[v] > 0 {
			delete(x.goneVersions, v)
		}
	}
	out := make([]string, 0, len(x.versions)+len(x.goneVersions))
	out = slices.AppendSeq(out, maps.Keys(x.versions))
	out = slices.AppendSeq(out, maps.Keys(x.goneVersions))
	slices.Sort(out)
	return out
}

// Preferred returns the instance of a service that ranks first for a key by rendezvous hash, among those
// that may get requests and that accept accepts; nil if there is none.
func (r *Registry) Preferred(service string, key uint64, accept func(*Instance) bool) *Instance {
	best, first := uint64(0), (*Instance)(nil)
	x := r.index(service)
	x.order()
	for at, hash := range x.hashes {
		rank := rendezvous.Rank(key, hash)
		if first != nil && rank <= best {
			continue
		}
		if i := x.ordered[at]; i.Usable() && accept(i) {
			best, first = rank, i
		}
	}
	return first
}
