package raft

import "github.com/bluebellsail/bluebellsail/internal/pb"

// Ready is what the caller must carry out, in this order: send Early; make
// Snapshot durable and restore it; append HardState and Entries to the log and
// sync; send Synced; apply Committed; call Advance. No other call may come
// between Ready and Advance.
type Ready struct {
	MessagesBeforeSync     []*pb.RaftMessage
	Snapshot  *pb.Snapshot
	HardState *pb.HardState // nil: nothing to write
	// Entries to append. One whose index was written before replaces that entry
	// and all after it.
	Entries []*pb.LogEntry
	// MessagesAfterSync messages go out only once the above is synced. A message of type
	// SNAPSHOT carries none: the caller puts its newest in.
	MessagesAfterSync    []*pb.RaftMessage
	Committed []*pb.LogEntry
}

// Empty tells whether there is nothing to do.
func (rd Ready) Empty() bool {
	return len(rd.MessagesBeforeSync) == 0 && rd.Snapshot == nil && rd.HardState == nil && len(rd.Entries) == 0 &&
		len(rd.MessagesAfterSync) == 0 && len(rd.Committed) == 0
}

// Ready returns what is to be done since the last Advance.
func (r *Raft) Ready() Ready {
	rd := Ready{
		MessagesBeforeSync:    r.early,
		MessagesAfterSync:   r.synced,
		Snapshot: r.received,
		Entries:  r.log.between(r.log.stable+1, r.log.lastIndex()),
	}
	r.early = nil
	r.synced = nil
	// The commit index alone isn't worth a sync: a restarted replica learns it
	// again from the leader. It is written when something else is.
	changed := r.saved.Term != r.term || r.saved.Vote != r.vote
	if changed || len(rd.Entries) > 0 || rd.Snapshot != nil {
		rd.HardState = &pb.HardState{Term: r.term, Vote: r.vote, Commit: r.log.commit}
	}
	if changed {
		// Appends of a term that the disk could still forget would let the same
		// term begin twice with different entries.
		rd.MessagesAfterSync = append(rd.MessagesBeforeSync, rd.MessagesAfterSync...)
		rd.MessagesBeforeSync = nil
	}
	if r.log.applied < r.log.commit {
		rd.Committed = r.log.between(r.log.applied+1, r.log.commit)
	}
	return rd
}

// Advance says that rd was carried out.
func (r *Raft) Advance(rd Ready) {
	r.received = nil
	if rd.HardState != nil {
		r.saved = rd.HardState
	}
	if n := len(rd.Committed); n > 0 {
		r.log.applied = rd.Committed[n-1].Index
	}
	if n := len(rd.Entries); n > 0 {
		r.log.stable = rd.Entries[n-1].Index
	}
	if p := r.progress[r.cfg.ID]; r.role == Leader && p != nil {
		p.match = r.log.stable
		r.maybeCommit()
	}
}

// Compact forgets the entries up to index, which a durable snapshot holds.
func (r *Raft) Compact(index uint64) {
	r.log.compact(index)
	r.members.compact(r.log.snapIndex)
}

// Status is a replica's view of the group.
type Status struct {
	ID        uint64
	Role      Role
	Term      uint64
	Leader    uint64
	Commit    uint64
	LastIndex uint64
	// TermStart is the first index of this leader's term.
	TermStart uint64
	Members   []MemberStatus
}

// MemberStatus is the leader's view of one member; elsewhere only Member is set.
type MemberStatus struct {
	Member *pb.Member
	Match  uint64
	Active bool
	// Repaired is true for a voter that answered lately and holds everything
	// committed, its membership included.
	Repaired bool
}

// IsLeader tells whether this replica is the leader of its term.
func (r *Raft) IsLeader() bool { return r.role == Leader }

// Status returns the replica's present view.
func (r *Raft) Status() Status {
	st := Status{
		ID: r.cfg.ID, Role: r.role, Term: r.term, Leader: r.leader,
		Commit: r.log.commit, LastIndex: r.log.lastIndex(), TermStart: r.termStart,
	}
	// While a membership change isn't committed, voters may still count by the
	// one before. If replicas were lost now on the word "repaired", the rest could
	// lack a majority of the older membership and never elect a leader.
	settled := r.members.index() <= r.log.commit
	for _, m := range r.members.current().list {
		ms := MemberStatus{Member: m}
		if p := r.progress[m.Id]; r.role == Leader && p != nil {
			ms.Match = p.match
			ms.Active = m.Id == r.cfg.ID || r.active(p)
			ms.Repaired = settled && !m.Learner && r.holdsCommitted(m.Id)
		}
		st.Members = append(st.Members, ms)
	}
	return st
}

// TermAt returns the term of the entry at index, false if it's compacted or not there.
func (r *Raft) TermAt(index uint64) (uint64, bool) { return r.log.term(index) }

// Now returns the replica's clock in ticks.
func (r *Raft) Now() int64 { return r.now }
