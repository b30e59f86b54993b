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

// Query asks for what a peer that takes summaries may lack.
type Query struct {
	// Peer is the peer's name: it gets no change that came from it.
	Peer string
	// After is the position that the peer has reached, if it is Known.
	After changelog.Position
	Known bool
	// Digest is the digest of what the peer has; it may be absent. DigestHash is Registry.DigestHash of it, 0 if it is
	// not told.
	Digest     changelog.Digest
	DigestHash uint64
	// MaxStates and MaxSummaries bound the parts of the Update. First is the part of the registry to begin with if
	// the position is not known.
	MaxStates, MaxSummaries, First int
}

// Update is what a peer gets of the instances that it may lack: states, and summaries of those whose states it
// has to ask for.
type Update struct {
	States    []*pb.ServerState
	Summaries []changelog.Summary
	// UpTo is the position that the peer reaches with them, if they are Complete.
	UpTo     changelog.Position
	Complete bool
}

// Update answers a query. Most of what a peer may lack it has got from others meanwhile, and a summary takes a tenth of
// the bytes of a state.
func (r *Registry) Update(now time.Time, q Query) Update {
	switch {
	case q.DigestHash == r.log.Hash():
		return Update{UpTo: r.log.End(), Complete: true}
	case q.Known:
		return r.updateSince(now, q)
	}
	missing, summaries, complete := r.log.DifferingSummaries(q.Digest, q.MaxStates, q.MaxSummaries, q.First)
	return Update{States: r.states(now, missing), Summaries: summaries, UpTo: r.log.End(), Complete: complete}
}

// updateSince returns what has changed after a position. Instances that must not get requests any more are not
// summarized: the peer must not wait for their states.
func (r *Registry) updateSince(now time.Time, q Query) Update {
	ids, upTo := r.log.Since(q.After, q.MaxSummaries, q.Peer, q.Digest)
	u := Update{UpTo: upTo, Complete: true}
	for _, id := range ids {
		i := r.instances[id]
		if i == nil {
			continue
		}
		if !i.accepts() && len(u.States) < q.MaxStates {
			u.States = append(u.States, i.state(now))
		} else if s, ok := r.log.Summary(id); ok {
			u.Summaries = append(u.Summaries, s)
		}
	}
	return u
}

// Lacking returns the hashes of the ids of those summarized instances that this host lacks or has in another state.
func (r *Registry) Lacking(summaries []changelog.Summary) []uint32 {
	var out []uint32
	for _, s := range summaries {
		if !r.log.Has(s) {
			out = append(out, s.KeyHash())
		}
	}
	return out
}

// StatesOf returns the states of instances by the hashes of their ids.
func (r *Registry) StatesOf(now time.Time, hashes []uint32) []*pb.ServerState {
	var ids []string
	for _, hash := range hashes {
		ids = append(ids, r.log.Keys(hash)...)
	}
	return r.states(now, ids)
}

// DigestHash returns a hash of the digest of all instances; never 0.
func (r *Registry) DigestHash() uint64 { return r.log.Hash() }

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
	return r.apply(announced, report{Announcement: a, receiver: receiverOf(st.GetReceiver()), silent: st.GetSilent()}, from), nil
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
