// Package instance is a host's registry of backend servers that announce themselves. It decides
// which of them may get new requests. The package is pure: time is passed in, and the caller
// serializes the calls.
//
// An incarnation of a server is called an instance. The registry holds one instance per id, the
// one that started last: updates about an earlier incarnation change nothing, however late they
// arrive, and nothing known of an earlier incarnation applies to a later one. The announcements of
// an incarnation are numbered, and the latest one counts; but once an instance is known to be
// draining or ended, no announcement reverts that. Addresses are reused by other instances, so an
// instance is identified by its id and never by its address.
package instance

import (
	"slices"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
)

// Default values of Config.
const (
	// DefaultLapse is the time in which an announcement spreads through a fleet of 75 hosts, at
	// most 4 s, plus three announcements at the usual period of 1.2 s, so that one may be lost.
	// Requests to dead servers fail long before.
	DefaultLapse = 8 * time.Second
	// DefaultForget is how long the id of an ended instance is kept. An announcement that a
	// partition delays for longer would revive the instance.
	DefaultForget = 2 * time.Minute
)

// Config configures a Registry; zero fields get the defaults.
type Config struct {
	// Lapse is the age of the last announcement from which an instance is no longer fresh and gets
	// requests only if no other instance can.
	Lapse time.Duration
	// Forget is the age of the last announcement at which an instance is dropped from memory.
	Forget time.Duration
}

// Instance is one incarnation of a backend server as this host knows it.
type Instance struct {
	Announcement
	// LastAnnounced is the latest time at which its last announcement can have reached the first host.
	LastAnnounced time.Time
	// Ended reports that the incarnation announced its end, or that another instance has its address.
	Ended bool
	// incUnknown reports that its end was announced without an incarnation, and none was known.
	incUnknown bool
	// Evacuated reports that its availability zone is evacuated.
	Evacuated bool
	// contested reports that another instance has recently been announced at the same address. This
	// instance is either a former one, whose announcement was delayed, or the next one.
	contested bool
}

// Registry holds the known instances of a host.
type Registry struct {
	cfg       Config
	instances map[string]*Instance
	// byAddress holds the instance that is assumed to be at an address.
	byAddress map[string]*Instance
	byService map[string][]*Instance
	// evacuated holds the evacuated availability zones.
	evacuated map[string]bool
	changes   uint64
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	defaults.Set(&cfg.Lapse, DefaultLapse)
	defaults.Set(&cfg.Forget, DefaultForget)
	return &Registry{
		cfg:       cfg,
		instances: make(map[string]*Instance),
		byAddress: make(map[string]*Instance),
		byService: make(map[string][]*Instance),
	}
}

// Announce applies an announcement that was made at the time announced. It returns whether anything
// but the time of the last announcement has changed.
func (r *Registry) Announce(announced time.Time, a Announcement) bool {
	i := r.instances[a.ID]
	if i == nil {
		r.addNew(announced, a)
		return true
	}
	switch {
	case a.Started > i.Started && i.incUnknown && announced.Sub(i.LastAnnounced) < r.cfg.Lapse:
		r.endIdentified(announced, i, a)
		return true
	case a.Started > i.Started:
		r.replaceIncarnation(announced, i, a)
		return true
	case a.Started < i.Started || i.Ended:
		return false
	case a.Service != i.Service:
		return r.serviceConflict(announced, i, a)
	case a.Seq <= i.Seq:
		return a.Draining && r.drain(i)
	}
	return r.update(announced, i, a)
}

// update applies a newer announcement of the incarnation that is held.
func (r *Registry) update(announced time.Time, i *Instance, a Announcement) bool {
	becameCold := i.WarmupLeft == 0 && a.WarmupLeft > 0
	changed := i.Slots != a.Slots || !i.Draining && a.Draining || i.Address != a.Address || becameCold
	a.Draining = a.Draining || i.Draining
	moved := i.Address != a.Address
	if moved {
		r.releaseAddress(i)
	}
	i.Announcement = a
	i.Evacuated = r.evacuated[a.Zone]
	if announced.After(i.LastAnnounced) {
		i.LastAnnounced = announced
	}
	if moved || i.contested {
		// An instance that ended earlier would not send a second announcement.
		r.claimAddress(i)
		changed = true
	}
	return changed
}

// replaceIncarnation applies the first announcement of a later incarnation under the same id.
//
// If the id alone identified a server, a restarted one, which numbers its announcements from the
// beginning again, would have all of them dropped as late; the draining or the end of the former
// incarnation would keep the new one from getting any request; and a late update on the end of the
// former one would take the new one out of service.
func (r *Registry) replaceIncarnation(announced time.Time, former *Instance, a Announcement) {
	held := r.byAddress[former.Address] == former
	r.remove(former)
	former.Ended = true
	r.addNew(announced, a)
	if held && a.Address != former.Address {
		r.promoteWaiting(former.Address)
	}
}

// serviceConflict handles an announcement of an incarnation for another service than before. One of
// the two is false, since an incarnation never changes its service. The one that continues to be
// announced wins.
//
// If the newest one won, a single faulty announcement in the name of a server would direct requests
// of another service to it, or take it out of its own.
func (r *Registry) serviceConflict(announced time.Time, i *Instance, a Announcement) bool {
	if announced.Sub(i.LastAnnounced) < r.cfg.Lapse {
		return false
	}
	a.Draining = a.Draining || i.Draining
	r.remove(i)
	r.addNew(announced, a)
	return true
}

// endIdentified applies the first announcement of an incarnation whose end was announced before it,
// without an incarnation.
func (r *Registry) endIdentified(announced time.Time, i *Instance, a Announcement) {
	r.remove(i)
	r.add(announced, a).Ended = true
}

// Drain records that an incarnation accepts no new requests, which a host may observe in other ways
// than an announcement. It returns whether that is a change.
func (r *Registry) Drain(inc Incarnation) bool {
	i := r.instances[inc.ID]
	return i != nil && i.Started == inc.Started && r.drain(i)
}

func (r *Registry) drain(i *Instance) bool {
	if i.Draining {
		return false
	}
	i.Draining = true
	return true
}

// addNew applies the first announcement of an instance.
//
// It does not replace the instance at its address at once: the announcement may have been delayed by
// a partition until its sender has crashed and another instance has the address. That instance would
// count as ended although it serves. So the new instance waits for its second announcement, or until
// the other one has ended or is no longer fresh.
func (r *Registry) addNew(announced time.Time, a Announcement) {
	i := r.add(announced, a)
	current := r.byAddress[a.Address]
	if current != nil && !current.Ended && announced.Sub(current.LastAnnounced) < r.cfg.Lapse {
		i.contested = true
		return
	}
	r.claimAddress(i)
}

// add adds an instance to the registry, without an address yet.
func (r *Registry) add(announced time.Time, a Announcement) *Instance {
	i := &Instance{Announcement: a, LastAnnounced: announced, Evacuated: r.evacuated[a.Zone]}
	r.instances[a.ID] = i
	r.byService[a.Service] = append(r.byService[a.Service], i)
	r.sortService(a.Service)
	r.changes++
	return i
}

// remove removes an instance from the registry.
func (r *Registry) remove(i *Instance) {
	delete(r.instances, i.ID)
	r.releaseAddress(i)
	same := func(x *Instance) bool { return x == i }
	r.byService[i.Service] = slices.DeleteFunc(r.byService[i.Service], same)
	r.changes++
}

// releaseAddress records that the instance is no longer at its address.
func (r *Registry) releaseAddress(i *Instance) {
	if r.byAddress[i.Address] == i {
		delete(r.byAddress, i.Address)
	}
}

func (r *Registry) sortService(service string) {
	slices.SortFunc(r.byService[service], func(a, b *Instance) int { return strings.Compare(a.ID, b.ID) })
}

// claimAddress makes i the only instance at its address.
func (r *Registry) claimAddress(i *Instance) {
	i.contested = false
	if old := r.byAddress[i.Address]; old != nil && old != i {
		old.Ended = true
	}
	r.byAddress[i.Address] = i
	r.changes++
}

// End records that an incarnation has ended, by its own announcement or because another instance
// answers at its address. announced is when the first host observed that. It returns whether that is
// a change.
func (r *Registry) End(announced time.Time, inc Incarnation) bool {
	i := r.instances[inc.ID]
	if i != nil && inc.Started == i.Started {
		return r.end(i)
	}
	if i != nil && inc.Started < i.Started {
		return false
	}
	// Its announcement may still be in transit.
	incUnknown := i != nil && i.incUnknown
	if i != nil {
		r.remove(i)
		defer r.promoteWaiting(i.Address)
	}
	ended := r.add(announced, Announcement{ID: inc.ID, Started: inc.Started})
	ended.Ended, ended.incUnknown = true, incUnknown
	return true
}

// EndCurrent records the end of a server that does not report which incarnation ended. It is the
// known one. If none is known, it is the first one that is announced within Lapse, the time in which
// announcements spread through the fleet.
func (r *Registry) EndCurrent(now time.Time, id string) bool {
	if i := r.instances[id]; i != nil {
		return r.end(i)
	}
	i := r.add(now, Announcement{ID: id})
	i.Ended, i.incUnknown = true, true
	return true
}

func (r *Registry) end(i *Instance) bool {
	if i.Ended {
		return false
	}
	i.Ended = true
	r.changes++
	r.promoteWaiting(i.Address)
	return true
}

// promoteWaiting gives the address to an instance that waits for it.
func (r *Registry) promoteWaiting(address string) {
	for _, other := range r.instances {
		if other.Address == address && other.contested && !other.Ended {
			r.claimAddress(other)
			return
		}
	}
}

// Get returns an instance by id.
func (r *Registry) Get(id string) (*Instance, bool) {
	i, ok := r.instances[id]
	return i, ok
}

// IsCurrent reports whether an incarnation is the one that is held under its id.
func (r *Registry) IsCurrent(inc Incarnation) bool {
	i, ok := r.instances[inc.ID]
	return ok && i.Started == inc.Started
}

// HasEnded reports whether an incarnation has ended or a later one is known.
func (r *Registry) HasEnded(inc Incarnation) bool {
	i, ok := r.instances[inc.ID]
	return ok && (inc.Started < i.Started || inc.Started == i.Started && i.Ended)
}

// Serving returns the instances of a service that may get requests, ordered by id. The list must not
// be changed.
func (r *Registry) Serving(service string) []*Instance {
	var out []*Instance
	for _, i := range r.byService[service] {
		if i.Usable() {
			out = append(out, i)
		}
	}
	return out
}

// Usable reports whether the instance may get requests.
func (i *Instance) Usable() bool { return i.accepts() && !i.Evacuated }

// accepts reports whether the instance itself accepts requests.
func (i *Instance) accepts() bool { return !i.Ended && !i.Draining && !i.contested }

// SetEvacuated replaces the set of evacuated availability zones. Their instances get no requests.
// The set must not be changed afterwards.
func (r *Registry) SetEvacuated(zones map[string]bool) {
	r.evacuated = zones
	for _, i := range r.instances {
		i.Evacuated = zones[i.Zone]
	}
	r.changes++
}

// Evacuated returns the number of a service's instances that would get requests if their zones were
// not evacuated.
func (r *Registry) Evacuated(service string) int {
	n := 0
	for _, i := range r.byService[service] {
		if i.accepts() && i.Evacuated {
			n++
		}
	}
	return n
}

// Fresh reports whether the instance's last announcement is younger than Lapse.
func (r *Registry) Fresh(now time.Time, i *Instance) bool {
	return now.Sub(i.LastAnnounced) < r.cfg.Lapse
}

// Changes counts the changes of the set of instances that may get requests.
func (r *Registry) Changes() uint64 { return r.changes }

// Expire drops instances without an announcement for Forget. Call it periodically.
func (r *Registry) Expire(now time.Time) {
	for _, i := range r.instances {
		if now.Sub(i.LastAnnounced) >= r.cfg.Forget {
			r.remove(i)
		}
	}
}
