package raft

import "github.com/bluebellsail/bluebellsail/internal/pb"

// Ready is the work that the caller must do, in this order: send MessagesBeforeSync;
// make Snapshot durable and restore it; append HardState and Entries to the log and
// sync; send MessagesAfterSync; apply Committed; call Advance.
//
// The log may be written beside this: the caller then starts the write of HardState and
// Entries, goes on with Committed, calls Applied, and continues to use the Raft. Until
// the write is synced, Ready returns only what needs no write; entries appended
// meanwhile come with the next write. Once it is synced the caller calls Written and
// sends MessagesAfterSync. Writes must reach the disk in the order in which Ready
// returned them. A Ready with a Snapshot may not be carried out beside anything.
type Ready struct {
	// MessagesBeforeSync promise nothing that a crash could undo: heartbeats and their
	// replies, appends, snapshots and requests to take over leadership, in a term that is
	// synced.
	MessagesBeforeSync []*pb.RaftMessage
	Snapshot           *pb.Snapshot
	HardState          *pb.HardState // nil: nothing to write
	// Entries are to be appended to the log. An entry whose index was written before
	// replaces that entry and all after it.
	Entries []*pb.LogEntry
	// MessagesAfterSync may be sent only once the state above is synced. A message of
	// type SNAPSHOT carries no snapshot: the caller fills in its newest one.
	MessagesAfterSync []*pb.RaftMessage
	// Committed are synced by a majority, but not necessarily by this replica.
	Committed []*pb.LogEntry
	// GivenUp is set if this replica just ended its leadership because of its disk.
	GivenUp *GivenUp
	// Elections are the steps of elections since the last Ready, oldest first.
	Elections []ElectionEvent
}

// Empty reports whether there is nothing to do.
func (rd Ready) Empty() bool {
	return len(rd.MessagesBeforeSync) == 0 && !rd.HasWrite() && len(rd.MessagesAfterSync) == 0 &&
		len(rd.Committed) == 0 && rd.GivenUp == nil && len(rd.Elections) == 0
}

// HasWrite reports whether something must be made durable.
func (rd Ready) HasWrite() bool {
	return rd.Snapshot != nil || rd.HardState != nil || len(rd.Entries) > 0
}

// Ready returns the work that accumulated since the last call; while a write is in
// flight, only what needs no write.
func (r *Raft) Ready() Ready {
	if r.disk.writing != nil {
		return r.ReadyWithoutWrite()
	}
	rd := r.ReadyWithoutWrite()
	rd.MessagesAfterSync = r.messagesAfterSync
	r.messagesAfterSync = nil
	// The commit index alone doesn't justify a sync: a restarted replica gets it from
	// the leader again. It is written together with other changes.
	if !r.needsWrite() {
		return rd
	}
	rd.Snapshot = r.receivedSnapshot
	rd.Entries = r.Unwritten()
	rd.HardState = &pb.HardState{Term: r.term, Vote: r.vote, Commit: r.log.commit}
	rd.Committed = r.toApply()
	if rd.Snapshot != nil {
		// The caller may write the hard state before the entries. A commit index beyond
		// what is on the disk would then look like lost entries after a crash.
		rd.HardState.Commit = rd.Snapshot.Index
	}
	r.log.handed = r.log.lastIndex()
	w := rd
	r.disk.writing = &w
	return rd
}

// ReadyWithoutWrite returns the work that needs no write, for a caller whose disk is
// busy.
func (r *Raft) ReadyWithoutWrite() Ready {
	r.noteUnsynced()
	r.holdMessages()
	rd := Ready{MessagesBeforeSync: r.messagesBeforeSync, GivenUp: r.givenUp, Elections: r.electionEvents}
	r.messagesBeforeSync, r.givenUp, r.electionEvents = nil, nil, nil
	if r.receivedSnapshot == nil {
		rd.Committed = r.toApply()
	}
	return rd
}

// Advance records that rd was carried out as a whole.
func (r *Raft) Advance(rd Ready) {
	r.Applied(rd.Committed)
	if rd.HasWrite() {
		r.Written()
	}
}

// Applied records that entries of Ready.Committed were applied.
func (r *Raft) Applied(entries []*pb.LogEntry) {
	if n := len(entries); n > 0 {
		r.log.applied = entries[n-1].Index
	}
}

// toApply returns the committed entries that are not applied yet.
func (r *Raft) toApply() []*pb.LogEntry { return r.log.between(r.log.applied+1, r.log.commit) }

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
	// Repaired is set for a voter that answered recently, holds the entry of its own
	// membership, and lags behind the commit index by no more than a learner that may be
	// promoted.
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
			ms.Repaired = settled && !m.Learner && p.match >= r.members.index() && r.caughtUp(m.Id)
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
