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
//
// Announcements themselves are not passed on between hosts, only changes: the host that receives the
// announcements of an instance is its receiver, and reports when they stop. An instance counts as fresh
// as long as its receiver is alive and has not reported that, so that a fleet without changes sends
// nothing about its servers, however many there are.
package instance

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/changelog"
	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/rendezvous"
)

// Default values of Config.
const (
	// DefaultLapse covers three announcements at the usual period of 2 s that are late or lost.
	// Requests to dead servers fail long before.
	DefaultLapse = 8 * time.Second
	// redirectTimeout is how long a new instance may take to announce itself to the host that it was told to.
	// Instances announce themselves every two seconds or more often.
	redirectTimeout = 5 * time.Second
	// DefaultForget is how long the id of an ended instance is kept. An announcement that a
	// partition delays for longer would revive the instance.
	DefaultForget = 2 * time.Minute
)

// Config configures a Registry; zero fields get the defaults.
type Config struct {
	// Host is the name of this host.
	Host string
	// Lapse is the age of the last sign of life from which an instance is no longer fresh and gets
	// requests only if no other instance can.
	Lapse time.Duration
	// Forget is the age of the last sign of life at which an instance is dropped from memory.
	Forget time.Duration
}

// Instance is one incarnation of a backend server as this host knows it.
type Instance struct {
	Announcement
	// LastAnnounced is the latest time at which the last announcement that this host knows of can have
	// reached the first host; of an ended instance, its end.
	LastAnnounced time.Time
	// Receiver is the host to which it announces itself; zero if an earlier version reported it.
	Receiver Receiver
	// Silent reports that the receiver got no announcement for Lapse.
	Silent bool
	// receiver is what is known of the receiver, nil if that is this host or unknown.
	receiver *receiverState
	// Ended reports that the incarnation announced its end, or that another instance has its address.
	Ended bool
	// hash of its id, by which shards and preferred instances are found.
	hash uint64
	// counted is its state in the index of its service.
	counted usability
	// cold reports that it counts as cold in the digest.
	cold bool
	// incUnknown reports that its end was announced without an incarnation, and none was known.
	incUnknown bool
	// Evacuated reports that its availability zone is evacuated.
	Evacuated bool
	// unreplicatedSince is when the instance first announced itself here, if peers are not told of it as it is
	// about to announce itself to another host; zero if they are.
	unreplicatedSince time.Time
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
	byService map[string]*serviceIndex
	// contested holds the instances that wait for their address.
	contested map[*Instance]bool
	// evacuated holds the evacuated availability zones.
	evacuated map[string]bool
	// log holds the ids of the instances in the order of their last change.
	log *changelog.Log
	// self is this host as a receiver. own holds the instances that announce themselves here.
	self Receiver
	own  map[string]*Instance
	// cold holds the ids of the instances that count as cold in the digest.
	cold      map[string]bool
	receivers map[Receiver]*receiverState
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	defaults.Set(&cfg.Lapse, DefaultLapse)
	defaults.Set(&cfg.Forget, DefaultForget)
	return &Registry{
		cfg:       cfg,
		instances: make(map[string]*Instance),
		byAddress: make(map[string]*Instance),
		byService: make(map[string]*serviceIndex),
		contested: make(map[*Instance]bool),
		log:       changelog.New(),
		self:      Receiver{Host: cfg.Host},
		own:       make(map[string]*Instance),
		cold:      make(map[string]bool),
		receivers: make(map[Receiver]*receiverState),
	}
}

// Announce applies an announcement that this host received at the time announced. It returns whether
// anything has changed that the peers must know.
func (r *Registry) Announce(announced time.Time, a Announcement) bool {
	return r.apply(announced, report{Announcement: a, receiver: r.self}, "")
}

// AnnounceRedirected is like Announce for an instance that is told to announce itself to another host from now on. If it
// is new, peers are not told of it before it does, or has had the time for that: a fleet would hear of each
// server twice, and when it starts all servers announce themselves to the same few hosts.
func (r *Registry) AnnounceRedirected(announced time.Time, a Announcement) bool {
	return r.apply(announced, report{Announcement: a, receiver: r.self, redirected: true}, "")
}

// ReplicateAll has peers told of all instances.
func (r *Registry) ReplicateAll() {
	for id, i := range r.own {
		if !i.unreplicatedSince.IsZero() {
			i.unreplicatedSince = time.Time{}
			r.record(id, true, "")
		}
	}
}

// report is an announcement with its receiver, as this host or a peer knows it.
type report struct {
	Announcement
	receiver   Receiver
	silent     bool
	redirected bool
}

// apply applies a report that came from a peer, or from this host if the name is empty.
func (r *Registry) apply(announced time.Time, a report, from string) bool {
	changed := r.applyReport(announced, a)
	if i := r.instances[a.ID]; i != nil && i.replicate(announced, a) {
		changed = true
	}
	r.record(a.ID, changed, from)
	return changed
}

// replicate has peers told of an instance that they were not told of, unless it still has time to announce itself to the
// host that it was told to. It reports whether that is a change.
func (i *Instance) replicate(announced time.Time, a report) (changed bool) {
	if i.unreplicatedSince.IsZero() || a.redirected && announced.Sub(i.unreplicatedSince) < redirectTimeout {
		return false
	}
	i.unreplicatedSince = time.Time{}
	return true
}

func (r *Registry) applyReport(announced time.Time, a report) bool {
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
		becameSilent := a.Seq == i.Seq && r.reportedSilent(announced, i, a)
		return a.Draining && r.drain(i) || becameSilent
	}
	return r.update(announced, i, a)
}

// update applies a newer announcement of the incarnation that is held.
func (r *Registry) update(announced time.Time, i *Instance, a report) bool {
	becameCold := i.WarmupLeft == 0 && a.WarmupLeft > 0
	changed := i.Slots != a.Slots || !i.Draining && a.Draining || i.Address != a.Address || i.Version != a.Version || becameCold
	a.Draining = a.Draining || i.Draining
	moved := i.Address != a.Address
	if moved {
		r.releaseAddress(i)
	}
	r.index(i.Service).changeVersion(i, a.Version)
	i.Announcement = a.Announcement
	changed = r.setReceiver(i, a) || changed
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
func (r *Registry) replaceIncarnation(announced time.Time, former *Instance, a report) {
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
func (r *Registry) serviceConflict(announced time.Time, i *Instance, a report) bool {
	if r.Fresh(announced, i) {
		return false
	}
	a.Draining = a.Draining || i.Draining
	r.remove(i)
	r.addNew(announced, a)
	return true
}

// endIdentified applies the first announcement of an incarnation whose end was announced before it,
// without an incarnation.
func (r *Registry) endIdentified(announced time.Time, i *Instance, a report) {
	r.remove(i)
	r.add(announced, a).Ended = true
}

// Drain records that an incarnation accepts no new requests, which a host may observe in other ways
// than an announcement. It returns whether that is a change.
func (r *Registry) Drain(inc Incarnation) bool {
	i := r.instances[inc.ID]
	changed := i != nil && i.Started == inc.Started && r.drain(i)
	r.record(inc.ID, changed, "")
	return changed
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
func (r *Registry) addNew(announced time.Time, a report) {
	i := r.add(announced, a)
	if a.redirected {
		i.unreplicatedSince = announced
	}
	current := r.byAddress[a.Address]
	if current != nil && !current.Ended && r.Fresh(announced, current) {
		i.contested = true
		r.contested[i] = true
		return
	}
	r.claimAddress(i)
}

// add adds an instance to the registry, without an address yet.
func (r *Registry) add(announced time.Time, a report) *Instance {
	i := &Instance{
		Announcement: a.Announcement, LastAnnounced: announced, Evacuated: r.evacuated[a.Zone], hash: rendezvous.Hash(a.ID),
	}
	r.instances[a.ID] = i
	r.setReceiver(i, a)
	r.index(a.Service).add(i)
	return i
}

// remove removes an instance from the registry.
func (r *Registry) remove(i *Instance) {
	delete(r.instances, i.ID)
	delete(r.own, i.ID)
	delete(r.contested, i)
	r.log.Remove(i.ID)
	r.releaseAddress(i)
	r.index(i.Service).remove(i)
}

// releaseAddress records that the instance is no longer at its address.
func (r *Registry) releaseAddress(i *Instance) {
	if r.byAddress[i.Address] == i {
		delete(r.byAddress, i.Address)
	}
}

// claimAddress makes i the only instance at its address.
func (r *Registry) claimAddress(i *Instance) {
	i.contested = false
	delete(r.contested, i)
	r.index(i.Service).refresh(i)
	if old := r.byAddress[i.Address]; old != nil && old != i && !old.Ended {
		old.Ended = true
		old.LastAnnounced = latest(old.LastAnnounced, i.LastAnnounced)
		r.record(old.ID, true, "")
	}
	r.byAddress[i.Address] = i
}

// End records that an incarnation has ended, by its own announcement or because another instance
// answers at its address. announced is when the first host observed that. It returns whether that is
// a change.
func (r *Registry) End(announced time.Time, inc Incarnation) bool {
	return r.endFrom(announced, inc, "")
}

// endFrom records the end of an incarnation that a peer reported, or this host if the name is empty.
func (r *Registry) endFrom(announced time.Time, inc Incarnation, from string) bool {
	changed := r.endIncarnation(announced, inc)
	r.record(inc.ID, changed, from)
	return changed
}

func (r *Registry) endIncarnation(announced time.Time, inc Incarnation) bool {
	i := r.instances[inc.ID]
	if i != nil && inc.Started == i.Started {
		return r.end(announced, i)
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
	ended := r.add(announced, report{Announcement: Announcement{ID: inc.ID, Started: inc.Started}})
	ended.Ended, ended.incUnknown = true, incUnknown
	return true
}

// EndCurrent records the end of a server that does not report which incarnation ended. It is the
// known one. If none is known, it is the first one that is announced within Lapse, the time in which
// announcements spread through the fleet.
func (r *Registry) EndCurrent(now time.Time, id string) bool {
	if i := r.instances[id]; i != nil {
		changed := r.end(now, i)
		r.record(id, changed, "")
		return changed
	}
	i := r.add(now, report{Announcement: Announcement{ID: id}})
	i.Ended, i.incUnknown = true, true
	r.record(id, true, "")
	return true
}

func (r *Registry) end(at time.Time, i *Instance) bool {
	if i.Ended {
		return false
	}
	i.Ended = true
	i.LastAnnounced = latest(i.LastAnnounced, at)
	r.promoteWaiting(i.Address)
	return true
}

// promoteWaiting gives the address to an instance that waits for it.
func (r *Registry) promoteWaiting(address string) {
	for other := range r.contested {
		if other.Address == address && !other.Ended {
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
		r.index(i.Service).refresh(i)
	}
}

// Fresh reports whether the instance's last sign of life is younger than Lapse.
func (r *Registry) Fresh(now time.Time, i *Instance) bool {
	return !i.Silent && now.Sub(i.lastSign()) < r.cfg.Lapse
}

// Expire drops instances without a sign of life for Forget. Call it periodically.
func (r *Registry) Expire(now time.Time) {
	for _, i := range r.instances {
		if now.Sub(i.lastSign()) >= r.cfg.Forget {
			r.remove(i)
		}
	}
	r.expireReceivers()
}

// ServiceAt returns the service of the instance that is assumed to be at an address.
func (r *Registry) ServiceAt(address string) (service string, ok bool) {
	if i := r.byAddress[address]; i != nil {
		return i.Service, true
	}
	return "", false
}

// AtAddress reports whether an instance that has not ended is assumed to be at an address.
func (r *Registry) AtAddress(address string) bool { return r.byAddress[address] != nil }
