package instance

import (
	"slices"
	"strings"
	"time"

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

// State returns a known instance with the age of the information, for peers.
func (r *Registry) State(now time.Time, id string) *pb.ServerState {
	if i := r.instances[id]; i != nil {
		return i.state(now)
	}
	return &pb.ServerState{Id: id}
}

// Snapshot returns all known instances with the age of the information, for peers.
func (r *Registry) Snapshot(now time.Time) []*pb.ServerState {
	out := make([]*pb.ServerState, 0, len(r.instances))
	for _, i := range r.instances {
		out = append(out, i.state(now))
	}
	slices.SortFunc(out, func(a, b *pb.ServerState) int { return strings.Compare(a.GetId(), b.GetId()) })
	return out
}

// state returns the instance in the form of messages between hosts. The age is rounded up, so that
// a peer never considers it fresher than it is.
func (i *Instance) state(now time.Time) *pb.ServerState {
	age := now.Sub(i.LastAnnounced) + time.Millisecond - 1
	st := &pb.ServerState{
		Id: i.ID, Incarnation: i.Started, Address: i.Address, Zone: i.Zone, Version: i.Version,
		Slots: uint32(max(i.Slots, 0)), Leaving: i.Draining, Gone: i.Ended, Seq: i.Seq,
		WarmupLeftMs: i.WarmupLeft.Milliseconds(), AgeMs: max(age.Milliseconds(), 0),
	}
	if i.Service != "" {
		st.Services = []string{i.Service}
	}
	return st
}

// Merge applies a peer's state of an instance. transit is an upper bound of the state's transit time;
// negative if nothing bounds it. It returns whether anything but the time of the last announcement
// has changed. A state with a fault is ignored, and the error describes the fault.
func (r *Registry) Merge(now time.Time, transit time.Duration, st *pb.ServerState) (changed bool, err error) {
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
		return r.End(announced, Incarnation{ID: st.GetId(), Started: st.GetIncarnation()}), nil
	}
	a := announcementOf(st)
	if err := a.Check(); err != nil {
		return false, err
	}
	return r.Announce(announced, a), nil
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
