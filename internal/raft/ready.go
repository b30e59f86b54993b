package raft

import "github.com/bluebellsail/bluebellsail/internal/pb"

// Ready is the work that the caller must do, in this order: send MessagesBeforeSync;
// make Snapshot durable and restore it; append HardState and Entries to the log and
// sync; send MessagesAfterSync; apply Committed; call Advance. No other method may be
// called between Ready and Advance.
type Ready struct {
	MessagesBeforeSync []*pb.RaftMessage
	Snapshot           *pb.Snapshot
	HardState          *pb.HardState // nil: nothing to write
	// Entries are to be appended to the log. An entry whose index was written before
	// replaces that entry and all after it.
	Entries []*pb.LogEntry
	// MessagesAfterSync may be sent only once the state above is synced. A message of
	// type SNAPSHOT carries no snapshot: the caller fills in its newest one.
	MessagesAfterSync []*pb.RaftMessage
	Committed         []*pb.LogEntry
}

// Empty reports whether there is nothing to do.
func (rd Ready) Empty() bool {
	return len(rd.MessagesBeforeSync) == 0 && rd.Snapshot == nil && rd.HardState == nil && len(rd.Entries) == 0 &&
		len(rd.MessagesAfterSync) == 0 && len(rd.Committed) == 0
}

// Ready returns the work that accumulated since the last Advance.
func (r *Raft) Ready() Ready {
	rd := Ready{
		MessagesBeforeSync: r.messagesBeforeSync,
		MessagesAfterSync:  r.messagesAfterSync,
		Snapshot:           r.receivedSnapshot,
		Entries:            r.log.between(r.log.stable+1, r.log.lastIndex()),
	}
	r.messagesBeforeSync = nil
	r.messagesAfterSync = nil
	// The commit index alone doesn't justify a sync: a restarted replica gets it from
	// the leader again. It is written together with other changes.
	changed := r.savedHardState.Term != r.term || r.savedHardState.Vote != r.vote
	if changed || len(rd.Entries) > 0 || rd.Snapshot != nil {
		rd.HardState = &pb.HardState{Term: r.term, Vote: r.vote, Commit: r.log.commit}
	}
	if changed {
		// If appends were sent before their term is synced, a crash could make the
		// replica lead the same term again with different entries.
		rd.MessagesAfterSync = append(rd.MessagesBeforeSync, rd.MessagesAfterSync...)
		rd.MessagesBeforeSync = nil
	}
	if r.log.applied < r.log.commit {
		rd.Committed = r.log.between(r.log.applied+1, r.log.commit)
	}
	return rd
}

// Advance records that rd was carried out.
func (r *Raft) Advance(rd Ready) {
	r.receivedSnapshot = nil
	if rd.HardState != nil {
		r.savedHardState = rd.HardState
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

// Compact discards the entries up to index, which a durable snapshot covers.
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
	// Repaired is set for a voter that answered recently and holds everything
	// committed, including the entry of its own membership.
	Repaired bool
}

// IsLeader reports whether this replica is the leader of its term.
func (r *Raft) IsLeader() bool { return r.role == Leader }

// Status returns the replica's current view.
func (r *Raft) Status() Status {
	st := Status{
		ID: r.cfg.ID, Role: r.role, Term: r.term, Leader: r.leader,
		Commit: r.log.commit, LastIndex: r.log.lastIndex(), TermStart: r.termStart,
	}
	// While a membership change is uncommitted, some voters may still use the previous
	// membership. If an operator removed replicas because the group is reported as
	// repaired, the remaining ones could lack a majority of that previous membership
	// and never elect a leader.
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

// TermAt returns the term of the entry at index, or false if the entry is compacted or
// does not exist.
func (r *Raft) TermAt(index uint64) (uint64, bool) { return r.log.term(index) }

// Now returns the replica's clock in ticks.
func (r *Raft) Now() int64 { return r.now }
