// Package instance is a host's registry of backend servers that name each of their runs
// by an id without order. It says which of them may get new requests. It is pure: time
// is passed in, and the caller serialises the calls.
//
// A run is called an instance. Its announcements are numbered; what it says last counts,
// but that it leaves or is gone is never taken back. Addresses are used again by other
// instances, so an instance is known by its id and never by its address.
package instance

import (
	"slices"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Defaults of Config.
const (
	// DefaultLapse is how long an announcement takes through a fleet of 75 hosts, 4 s at the
	// most, and three more at the usual period of 1.2 s: one may be lost. Servers that are
	// lost fail requests long before.
	DefaultLapse = 8 * time.Second
	// DefaultForget is how long the id of an instance that is gone is kept. An
	// announcement that a partition held up for longer than this would revive it.
	DefaultForget = 2 * time.Minute
)

// unknownTransit is how long a state counts as having been on its way where nothing bounds
// it: twice what a host waits for the answer to a heartbeat. A state that a partition held
// up for longer makes a server that was lost look present for as long again.
//
// What goes wrong with a bound of some seconds: in a large fleet most hosts hear of a server
// by hosts whose clocks they can't compare with their own. A third of the servers looked
// silent, got requests only when no other was left, and the others were late.
const unknownTransit = 500 * time.Millisecond

// Config of a Registry; zero fields get the defaults.
type Config struct {
	// Lapse is the silence after which an instance gets requests only if no other does.
	Lapse time.Duration
	// Forget is the silence after which an instance is dropped from memory.
	Forget time.Duration
}

// Announcement is what an instance says of itself.
type Announcement struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Version of the server's software.
	Version string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining: it takes no new requests.
	Draining bool
	// WarmupLeft is how much longer it is slow after its start.
	WarmupLeft time.Duration
	// Seq counts up with each announcement of the instance.
	Seq uint64
}

// Instance is one backend server's run as this host knows it.
type Instance struct {
	Announcement
	// Heard is when its last announcement reached the first host, at the latest.
	Heard time.Time
	// Gone: it said that it ends, or another instance has its address.
	Gone bool
	// contested: another instance at the same address was heard a moment ago. It is an
	// instance that was held up in the network, or the one that came after.
	contested bool
}

// Registry holds the known instances.
type Registry struct {
	cfg       Config
	instances map[string]*Instance
	// holder is the instance that is believed to be at an address.
	holder    map[string]*Instance
	byService map[string][]*Instance
	changes   uint64
}

// New makes an empty registry.
func New(cfg Config) *Registry {
	defaults.Set(&cfg.Lapse, DefaultLapse)
	defaults.Set(&cfg.Forget, DefaultForget)
	return &Registry{
		cfg:       cfg,
		instances: make(map[string]*Instance),
		holder:    make(map[string]*Instance),
		byService: make(map[string][]*Instance),
	}
}

// Announce takes an announcement that was made at heard. It returns whether anything
// but the time of the last announcement has changed.
func (r *Registry) Announce(heard time.Time, a Announcement) bool {
	i := r.instances[a.ID]
	if i == nil {
		r.enter(heard, a)
		return true
	}
	if i.Gone {
		return false
	}
	if a.Seq <= i.Seq {
		return a.Draining && r.drain(i)
	}
	changed := i.Slots != a.Slots || !i.Draining && a.Draining || i.Address != a.Address
	a.Draining = a.Draining || i.Draining
	moved := i.Address != a.Address
	i.Announcement = a
	if heard.After(i.Heard) {
		i.Heard = heard
	}
	if moved || i.contested {
		// A second announcement can't come from an instance that ended before it.
		r.settle(i)
		changed = true
	}
	return changed
}

func (r *Registry) drain(i *Instance) bool {
	if i.Draining {
		return false
	}
	i.Draining = true
	return true
}

// enter takes the first announcement of an instance.
//
// What goes wrong when it displaces the holder of its address at once: an announcement
// that a partition held up comes after its sender has crashed and another instance has
// the address. That one would count as gone though it serves. So the newcomer waits for
// its second announcement, or for the holder to turn out not to be there.
func (r *Registry) enter(heard time.Time, a Announcement) {
	i := &Instance{Announcement: a, Heard: heard}
	r.instances[a.ID] = i
	r.byService[a.Service] = append(r.byService[a.Service], i)
	r.sortService(a.Service)
	r.changes++
	holder := r.holder[a.Address]
	if holder != nil && !holder.Gone && heard.Sub(holder.Heard) < r.cfg.Lapse {
		i.contested = true
		return
	}
	r.settle(i)
}

func (r *Registry) sortService(service string) {
	slices.SortFunc(r.byService[service], func(a, b *Instance) int { return strings.Compare(a.ID, b.ID) })
}

// settle makes i the one instance at its address.
func (r *Registry) settle(i *Instance) {
	i.contested = false
	if old := r.holder[i.Address]; old != nil && old != i {
		old.Gone = true
	}
	r.holder[i.Address] = i
	r.changes++
}

// End takes that an instance is gone: it said so, or another answers at its address. It
// returns whether that is news.
func (r *Registry) End(now time.Time, id string) bool {
	i := r.instances[id]
	if i == nil {
		// Its announcement may still be on its way.
		i = &Instance{Announcement: Announcement{ID: id}, Heard: now, Gone: true}
		r.instances[id] = i
		return true
	}
	if i.Gone {
		return false
	}
	i.Gone = true
	r.changes++
	r.promote(i.Address)
	return true
}

// promote lets an instance that waited for an address have it.
func (r *Registry) promote(address string) {
	for _, other := range r.instances {
		if other.Address == address && other.contested && !other.Gone {
			r.settle(other)
			return
		}
	}
}

// Get finds an instance by id.
func (r *Registry) Get(id string) (*Instance, bool) {
	i, ok := r.instances[id]
	return i, ok
}

// Serving returns the instances of a service that may get requests, by id. The list
// must not be changed.
func (r *Registry) Serving(service string) []*Instance {
	var out []*Instance
	for _, i := range r.byService[service] {
		if i.Usable() {
			out = append(out, i)
		}
	}
	return out
}

// Usable tells whether the instance may get requests.
func (i *Instance) Usable() bool { return !i.Gone && !i.Draining && !i.contested }

// Fresh tells whether the instance was heard of lately.
func (r *Registry) Fresh(now time.Time, i *Instance) bool { return now.Sub(i.Heard) < r.cfg.Lapse }

// Changes counts the changes in which instances may get requests.
func (r *Registry) Changes() uint64 { return r.changes }

// Expire forgets instances not heard of for long. Call it now and then.
func (r *Registry) Expire(now time.Time) {
	for id, i := range r.instances {
		if now.Sub(i.Heard) < r.cfg.Forget {
			continue
		}
		delete(r.instances, id)
		if r.holder[i.Address] == i {
			delete(r.holder, i.Address)
		}
		same := func(x *Instance) bool { return x == i }
		r.byService[i.Service] = slices.DeleteFunc(r.byService[i.Service], same)
		r.changes++
	}
}

// State is a known instance with the age of what is known, for peers.
func (r *Registry) State(now time.Time, id string) *pb.ServerState {
	if i := r.instances[id]; i != nil {
		return i.state(now)
	}
	return &pb.ServerState{Id: id}
}

// Snapshot is every known instance with the age of what is known, for peers.
func (r *Registry) Snapshot(now time.Time) []*pb.ServerState {
	out := make([]*pb.ServerState, 0, len(r.instances))
	for _, i := range r.instances {
		out = append(out, i.state(now))
	}
	slices.SortFunc(out, func(a, b *pb.ServerState) int { return strings.Compare(a.GetId(), b.GetId()) })
	return out
}

// state is the instance in the form in which hosts tell each other of it. The age is
// rounded up, so that a peer never takes it for fresher than it is.
func (i *Instance) state(now time.Time) *pb.ServerState {
	age := now.Sub(i.Heard) + time.Millisecond - 1
	return &pb.ServerState{
		Id: i.ID, Address: i.Address, Zone: i.Zone, Version: i.Version, Services: []string{i.Service},
		Slots: uint32(max(i.Slots, 0)), Leaving: i.Draining, Gone: i.Gone, Seq: i.Seq,
		WarmupLeftMs: i.WarmupLeft.Milliseconds(), AgeMs: max(age.Milliseconds(), 0),
	}
}

// Merge takes what a peer knows of an instance. transit is how long that was on its way at
// most; below zero if nothing bounds it. It returns whether anything but the time of the
// last announcement has changed.
func (r *Registry) Merge(now time.Time, transit time.Duration, st *pb.ServerState) (changed bool) {
	if st.GetGone() {
		return r.End(now, st.GetId())
	}
	if len(st.GetServices()) != 1 {
		return false
	}
	if transit < 0 {
		transit = unknownTransit
	}
	heard := now.Add(-time.Duration(st.GetAgeMs())*time.Millisecond - transit)
	if now.Sub(heard) >= r.cfg.Forget {
		return false
	}
	return r.Announce(heard, Announcement{
		ID: st.GetId(), Service: st.GetServices()[0], Address: st.GetAddress(), Zone: st.GetZone(),
		Version: st.GetVersion(), Slots: int(st.GetSlots()), Draining: st.GetLeaving(),
		WarmupLeft: time.Duration(st.GetWarmupLeftMs()) * time.Millisecond, Seq: st.GetSeq(),
	})
}
