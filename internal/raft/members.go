package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// memberSet is one membership of the group.
type memberSet struct {
	list []*pb.Member
}

func (s memberSet) find(id uint64) *pb.Member {
	for _, m := range s.list {
		if m.Id == id {
			return m
		}
	}
	return nil
}

func (s memberSet) isVoter(id uint64) bool {
	m := s.find(id)
	return m != nil && !m.Learner
}

func (s memberSet) voters() []uint64 {
	var ids []uint64
	for _, m := range s.list {
		if !m.Learner {
			ids = append(ids, m.Id)
		}
	}
	return ids
}

// quorumValue returns the largest value that a majority of voters reach, or 0 without
// voters.
func (s memberSet) quorumValue(value func(id uint64) uint64) uint64 {
	var values []uint64
	for _, id := range s.voters() {
		values = append(values, value(id))
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// quorum reports whether a majority of voters satisfy ok.
func (s memberSet) quorum(ok func(id uint64) bool) bool {
	n := 0
	voters := s.voters()
	for _, id := range voters {
		if ok(id) {
			n++
		}
	}
	return n > len(voters)/2
}

// memberHistory holds every membership since the snapshot. The newest takes effect as
// soon as it is in the log, committed or not (thesis, section 4.1); if its entry is
// truncated, the previous one takes effect again.
type memberHistory struct {
	indexes []uint64 // index of each entry; 0 or the snapshot's for the first
	sets    []memberSet
}

func newMemberHistory(st State) *memberHistory {
	h := &memberHistory{}
	switch {
	case st.Snapshot != nil && st.Snapshot.Members != nil:
		h.push(st.Snapshot.Index, st.Snapshot.Members)
	case st.Members != nil:
		h.push(0, st.Members)
	default:
		h.push(0, &pb.Members{})
	}
	return h
}

func (h *memberHistory) push(index uint64, m *pb.Members) {
	h.indexes = append(h.indexes, index)
	h.sets = append(h.sets, memberSet{list: m.GetMembers()})
}

// record adds the membership of e, if it carries one.
func (h *memberHistory) record(e *pb.LogEntry) {
	if e.Type != pb.EntryType_ENTRY_TYPE_MEMBERSHIP {
		return
	}
	var m pb.Members
	if err := proto.Unmarshal(e.Data, &m); err != nil {
		return
	}
	h.push(e.Index, &m)
}

func (h *memberHistory) current() memberSet { return h.sets[len(h.sets)-1] }

// index returns the index of the entry that carries the current membership.
func (h *memberHistory) index() uint64 { return h.indexes[len(h.indexes)-1] }

// truncateFrom discards memberships of entries from index on.
func (h *memberHistory) truncateFrom(index uint64) {
	for len(h.indexes) > 1 && h.index() >= index {
		h.indexes = h.indexes[:len(h.indexes)-1]
		h.sets = h.sets[:len(h.sets)-1]
	}
}

// asOf returns the membership in force at index.
func (h *memberHistory) asOf(index uint64) memberSet {
	found := h.sets[0]
	for i, at := range h.indexes {
		if at <= index {
			found = h.sets[i]
		}
	}
	return found
}

// compact discards memberships that were replaced at or before index.
func (h *memberHistory) compact(index uint64) {
	for len(h.indexes) > 1 && h.indexes[1] <= index {
		h.indexes = h.indexes[1:]
		h.sets = h.sets[1:]
	}
}

// Members returns the membership in force.
func (r *Raft) Members() *pb.Members {
	return &pb.Members{Members: slices.Clone(r.members.current().list)}
}

// MembersAt returns the membership in force at index, for a snapshot taken there.
func (r *Raft) MembersAt(index uint64) *pb.Members {
	return &pb.Members{Members: slices.Clone(r.members.asOf(index).list)}
}

// ProposeMembers changes the membership by one member: adds a learner, promotes
// a learner that has caught up, or removes a member.
func (r *Raft) ProposeMembers(next *pb.Members) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if r.changePending() {
		return 0, 0, ErrChangePending
	}
	if err := r.checkChange(next); err != nil {
		return 0, 0, err
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, 0, err
	}
	index = r.appendOwn(pb.EntryType_ENTRY_TYPE_MEMBERSHIP, data)
	r.adoptMemberships(r.log.between(index, index))
	return index, r.term, nil
}

// changePending reports whether no membership change may be proposed yet.
//
// Two memberships may differ only by one member while the older one isn't committed;
// otherwise two disjoint majorities could each elect a leader. The leader must also have
// committed an entry of its own term, or an uncommitted change of an earlier leader
// could come back (Ongaro, raft-dev, July 2015).
func (r *Raft) changePending() bool {
	return r.members.index() > r.log.commit || r.log.commit < r.termStart
}

func (r *Raft) checkChange(next *pb.Members) error {
	cur := r.members.current()
	changes := 0
	for _, m := range next.GetMembers() {
		old := cur.find(m.Id)
		switch {
		case old == nil && m.Learner && m.Id != 0:
			changes++
		case old != nil && old.Learner == m.Learner:
		case old != nil && old.Learner && !m.Learner:
			if !r.caughtUp(m.Id) {
				return ErrNotCaughtUp
			}
			changes++
		default:
			return ErrInvalidChange
		}
	}
	nextSet := memberSet{list: next.GetMembers()}
	for _, m := range cur.list {
		if nextSet.find(m.Id) == nil {
			changes++
		}
	}
	if changes != 1 || len(nextSet.voters()) == 0 {
		return ErrInvalidChange
	}
	return nil
}

// adoptMemberships puts the memberships of new entries into effect.
func (r *Raft) adoptMemberships(entries []*pb.LogEntry) {
	for _, e := range entries {
		if e.Type != pb.EntryType_ENTRY_TYPE_MEMBERSHIP {
			continue
		}
		r.members.record(e)
		if r.role == Leader {
			r.syncProgress()
		}
	}
}

// syncProgress adapts the leader's view of the followers to the membership.
func (r *Raft) syncProgress() {
	cur := r.members.current()
	for _, m := range cur.list {
		if r.progress[m.Id] == nil {
			r.progress[m.Id] = &progress{next: r.log.lastIndex() + 1}
		}
	}
	for id := range r.progress {
		if cur.find(id) == nil && id != r.cfg.ID {
			delete(r.progress, id)
		}
	}
	// The lease was granted by a majority of the former membership, which after two
	// changes need not overlap with a current majority. It must be acquired anew.
	r.lease.valid = false
	r.observeQuorum()
}
