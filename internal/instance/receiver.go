package instance

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellsail/bluebellsail/internal/changelog"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Receiver is one incarnation of a host that receives an instance's announcements. The incarnation is
// zero before the host is registered.
type Receiver struct {
	Host        string
	Incarnation uint64
}

func receiverOf(h *pb.Holder) Receiver {
	return Receiver{Host: h.GetHost(), Incarnation: h.GetIncarnation()}
}

// holder returns the receiver in the form of messages between hosts; nil for the zero value.
func (v Receiver) holder() *pb.Holder {
	if v == (Receiver{}) {
		return nil
	}
	return &pb.Holder{Host: v.Host, Incarnation: v.Incarnation}
}

// receiverState is what is known of another host that receives announcements.
type receiverState struct {
	// aliveAt is when the host was last known to be alive.
	aliveAt time.Time
}

// lastSign returns the time of the last sign of life: the last known announcement or, while the receiver
// reports no silence, the time at which the receiver was last known to be alive.
func (i *Instance) lastSign() time.Time {
	if i.receiver == nil || i.Ended || i.Silent {
		return i.LastAnnounced
	}
	return latest(i.LastAnnounced, i.receiver.aliveAt)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setReceiver sets the receiver of an instance and whether that one reports silence. It returns whether
// the peers must know: if either has changed, or if the receiver runs an earlier version, whose reports
// must all be passed on.
func (r *Registry) setReceiver(i *Instance, a report) bool {
	unknown := a.receiver == Receiver{} && a.receiver != r.self
	changed := i.Receiver != a.receiver || i.Silent != a.silent || unknown
	i.Receiver, i.Silent, i.receiver = a.receiver, a.silent, nil
	delete(r.own, i.ID)
	switch a.receiver {
	case r.self:
		r.own[i.ID] = i
	case Receiver{}:
	default:
		i.receiver = r.receivers[a.receiver]
		if i.receiver == nil {
			i.receiver = &receiverState{}
			r.receivers[a.receiver] = i.receiver
		}
	}
	return changed
}

// reportedSilent applies the report of the receiver that an instance has not announced itself since the
// announcement that is known here. This host knows better if the instance announces itself here.
func (r *Registry) reportedSilent(announced time.Time, i *Instance, a report) bool {
	if !a.silent || i.Silent || a.receiver != i.Receiver || a.receiver == r.self {
		return false
	}
	i.Silent = true
	i.LastAnnounced = announced
	return true
}

// SetIncarnation sets the incarnation that this host is registered with.
func (r *Registry) SetIncarnation(incarnation uint64) {
	r.self.Incarnation = incarnation
	for id, i := range r.own {
		i.Receiver = r.self
		r.record(id, true, "")
	}
}

// Observe takes in which other hosts are alive, and returns the instances that announce themselves to this
// host and have just become silent. Call it periodically.
func (r *Registry) Observe(now time.Time, alive func(Receiver) bool) (silent []*Instance) {
	for receiver, state := range r.receivers {
		if alive(receiver) {
			state.aliveAt = now
		}
	}
	r.endWarmups(now)
	for id, i := range r.own {
		if i.Ended || i.Silent || now.Sub(i.LastAnnounced) < r.cfg.Lapse {
			continue
		}
		i.Silent = true
		r.record(id, true, "")
		silent = append(silent, i)
	}
	return silent
}

// expireReceivers drops the state of hosts to which no known instance announces itself.
func (r *Registry) expireReceivers() {
	used := make(map[Receiver]bool, len(r.receivers))
	for _, i := range r.instances {
		used[i.Receiver] = true
	}
	for receiver := range r.receivers {
		if !used[receiver] {
			delete(r.receivers, receiver)
		}
	}
}

// record records the state of an instance in the index and for the messages to peers; from is the host that sent a change,
// empty if it arose here.
func (r *Registry) record(id string, changed bool, from string) {
	i := r.instances[id]
	if i == nil {
		return
	}
	r.index(i.Service).refresh(i)
	r.setCold(i, i.WarmupLeft > 0 && !i.Ended)
	if !i.unreplicatedSince.IsZero() && i.accepts() {
		return
	}
	class := changelog.Unnoted
	switch {
	case changed && (i.Draining || i.Ended):
		class = changelog.Urgent
	case changed:
		class = changelog.Normal
	}
	r.log.Record(id, i.sum(), class, from)
}

// sum returns a hash of what all hosts must agree on. Ended instances have none, because hosts forget them
// at different times.
func (i *Instance) sum() uint32 {
	if i.Ended {
		return 0
	}
	flags := byte(0)
	for bit, set := range []bool{i.Draining, i.Silent, i.cold} {
		if set {
			flags |= 1 << bit
		}
	}
	buf := make([]byte, 0, 256)
	for _, text := range []string{i.ID, i.Address, i.Service, i.Zone, i.Version, i.Receiver.Host} {
		buf = append(append(buf, text...), 0)
	}
	for _, n := range []uint64{i.Started, uint64(i.Slots), i.Receiver.Incarnation} {
		buf = binary.LittleEndian.AppendUint64(buf, n)
	}
	return uint32(xxhash.Sum64(append(buf, flags)))
}

// setCold records whether an instance counts as cold in the digest.
func (r *Registry) setCold(i *Instance, cold bool) {
	i.cold = cold
	if cold {
		r.cold[i.ID] = true
	} else {
		delete(r.cold, i.ID)
	}
}

// endWarmups takes instances as warm whose announced warm-up has ended. Their receivers hear of it, but do not
// report it.
func (r *Registry) endWarmups(now time.Time) {
	for id := range r.cold {
		i := r.instances[id]
		if i != nil && now.Before(i.LastAnnounced.Add(i.WarmupLeft)) {
			continue
		}
		delete(r.cold, id)
		if i != nil {
			i.cold = false
		}
		if i != nil && i.unreplicatedSince.IsZero() {
			r.log.Record(id, i.sum(), changelog.Unnoted, "")
		}
	}
}
