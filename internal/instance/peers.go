package instance

import (
	"slices"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// unknownTransit is how long a state counts as having been on its way where nothing bounds
// it: twice what a host waits for the answer to a heartbeat. A state that a partition held
// up for longer makes a server that was lost look present for as long again.
//
// What goes wrong with a bound of some seconds: in a large fleet most hosts hear of a server
// by hosts whose clocks they can't compare with their own. A third of the servers looked
// silent, got requests only when no other was left, and the others were late.
const unknownTransit = 500 * time.Millisecond

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
	st := &pb.ServerState{
		Id: i.ID, Incarnation: i.Started, Address: i.Address, Zone: i.Zone, Version: i.Version,
		Slots: uint32(max(i.Slots, 0)), Leaving: i.Draining, Gone: i.Gone, Seq: i.Seq,
		WarmupLeftMs: i.WarmupLeft.Milliseconds(), AgeMs: max(age.Milliseconds(), 0),
	}
	if i.Service != "" {
		st.Services = []string{i.Service}
	}
	return st
}

// Merge takes what a peer knows of an instance. transit is how long that was on its way at
// most; below zero if nothing bounds it. It returns whether anything but the time of the
// last announcement has changed, or what is wrong with the state, which then changes
// nothing.
func (r *Registry) Merge(now time.Time, transit time.Duration, st *pb.ServerState) (changed bool, err error) {
	if transit < 0 {
		transit = unknownTransit
	}
	age := milliseconds(st.GetAgeMs())
	if age+transit >= r.cfg.Forget {
		return false, nil // the peer is about to forget it too
	}
	heard := now.Add(-max(age, 0) - transit)
	if st.GetGone() {
		if err := CheckID(st.GetId()); err != nil {
			return false, err
		}
		return r.End(heard, Incarnation{ID: st.GetId(), Started: st.GetIncarnation()}), nil
	}
	a := announcementOf(st)
	if err := a.Check(); err != nil {
		return false, err
	}
	return r.Announce(heard, a), nil
}

// announcementOf reads a peer's state of a server; Check tells whether it is one.
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

// milliseconds is a duration out of a message, at most a bit more than maxWarmup: nothing
// there may be as long, and the multiplication can't overflow.
func milliseconds(ms int64) time.Duration {
	const bound = int64(maxWarmup/time.Millisecond) + 1
	return time.Duration(min(max(ms, -bound), bound)) * time.Millisecond
}
