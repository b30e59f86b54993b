package instance

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/changelog"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// unknownTransit is the assumed transit time of a state where nothing bounds it: twice the timeout
// of a heartbeat's answer. A state that a partition delays for longer makes a dead server look alive
// for as long again.
//
// With a bound of some seconds, a third of the servers looked stale in a large fleet, where most
// hosts know of a server through hosts whose clocks they cannot compare with their own. These servers
// got requests only when no other was left, and the answers of the others were late.
const unknownTransit = 500 * time.Millisecond

// State returns a known instance with the age of its last sign of life, for peers.
func (r *Registry) State(now time.Time, id string) *pb.ServerState {
	if i := r.instances[id]; i != nil {
		return i.state(now)
	}
	return &pb.ServerState{Id: id}
}

// ChangesSince returns up to limit instances that have changed after a position and the position that a
// peer which gets them has reached. It leaves out those that came from that peer or that it has by its
// digest, which may be absent.
func (r *Registry) ChangesSince(now time.Time, after changelog.Position, limit int, peer string, theirs changelog.Digest) ([]*pb.ServerState, changelog.Position) {
	ids, upTo := r.log.Since(after, limit, peer, theirs)
	return r.states(now, ids), upTo
}

// OwnChangesSince is like ChangesSince for what this host has not learned from a peer.
func (r *Registry) OwnChangesSince(now time.Time, after changelog.Position, limit int) ([]*pb.ServerState, changelog.Position) {
	ids, upTo := r.log.OwnSince(after, limit)
	return r.states(now, ids), upTo
}

// Digest returns a digest of all instances.
func (r *Registry) Digest() changelog.Digest { return r.log.Digest() }

// Differing returns up to limit instances in the parts of the registry in which a peer's digest differs,
// from the part first on. If they are all of them, complete is true and the peer reaches the position
// upTo with them.
func (r *Registry) Differing(now time.Time, theirs changelog.Digest, limit, first int) (states []*pb.ServerState, upTo changelog.Position, complete bool) {
	ids, complete := r.log.Differing(theirs, limit, first)
	return r.states(now, ids), r.log.End(), complete
}

func (r *Registry) states(now time.Time, ids []string) []*pb.ServerState {
	out := make([]*pb.ServerState, 0, len(ids))
	for _, id := range ids {
		if i := r.instances[id]; i != nil {
			out = append(out, i.state(now))
		}
	}
	return out
}

// state returns the instance in the form of messages between hosts. The age is rounded up, so that
// a peer never considers it fresher than it is.
func (i *Instance) state(now time.Time) *pb.ServerState {
	age := now.Sub(i.lastSign()) + time.Millisecond - 1
	st := &pb.ServerState{
		Id: i.ID, Incarnation: i.Started, Address: i.Address, Zone: i.Zone, Version: i.Version,
		Slots: uint32(max(i.Slots, 0)), Leaving: i.Draining, Gone: i.Ended, Seq: i.Seq,
		WarmupLeftMs: i.warmupLeft().Milliseconds(), AgeMs: max(age.Milliseconds(), 0),
		Receiver: i.Receiver.holder(), Silent: i.Silent,
	}
	if i.Service != "" {
		st.Services = []string{i.Service}
	}
	return st
}

// warmupLeft returns the remaining warm-up at the last sign of life.
func (i *Instance) warmupLeft() time.Duration {
	return max(i.WarmupLeft-i.lastSign().Sub(i.LastAnnounced), 0)
}

// Merge applies the state of an instance that the host from sent. transit is an upper bound of the state's
// transit time; negative if nothing bounds it. It returns whether anything has changed that other peers
// must know. A state with a fault is ignored, and the error describes the fault.
func (r *Registry) Merge(now time.Time, transit time.Duration, st *pb.ServerState, from string) (changed bool, err error) {
	if transit < 0 {
		transit = unknownTransit
	}
	age := milliseconds(st.GetAgeMs())
	if age+transit >= r.cfg.Forget {
		return false, nil // the peer is about to drop it too
	}
	announced := now.Add(-max(age, 0) - transit)
	if st.GetGone() {
		if err := CheckID(st.GetId()); err != nil {
			return false, err
		}
		return r.endFrom(announced, Incarnation{ID: st.GetId(), Started: st.GetIncarnation()}, from), nil
	}
	a := announcementOf(st)
	if err := a.Check(); err != nil {
		return false, err
	}
	return r.apply(announced, report{a, receiverOf(st.GetReceiver()), st.GetSilent()}, from), nil
}

// announcementOf converts a peer's state of a server; the result may fail Check.
func announcementOf(st *pb.ServerState) Announcement {
	a := Announcement{
		ID: st.GetId(), Started: st.GetIncarnation(), Address: st.GetAddress(), Zone: st.GetZone(),
		Version: st.GetVersion(), Slots: int(st.GetSlots()), Draining: st.GetLeaving(),
		WarmupLeft: milliseconds(st.GetWarmupLeftMs()), Seq: st.GetSeq(),
	}
	if services := st.GetServices(); len(services) == 1 {
		a.Service = services[0]
	}
	return a
}

// milliseconds converts a duration in a message. The result is limited to slightly more than
// maxWarmup, the longest valid duration, so that the multiplication cannot overflow.
func milliseconds(ms int64) time.Duration {
	const bound = int64(maxWarmup/time.Millisecond) + 1
	return time.Duration(min(max(ms, -bound), bound)) * time.Millisecond
}
