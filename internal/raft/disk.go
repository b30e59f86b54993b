package raft

import (
	"slices"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// diskState is what is known of the writes to this replica's disk.
type diskState struct {
	synced  *pb.HardState // as last synced
	writing *Ready        // the write in flight; nil: none
	// unsynced is set while something is to be written or being written, since the tick
	// unsyncedSince: that of the last completed write, or later.
	unsynced      bool
	unsyncedSince int64
}

const (
	// maxUnsyncedElections is the number of minimum election timeouts (ElectionTicks)
	// for which a leader's write may be pending before it gives up its leadership.
	maxUnsyncedElections = 4
	// maxHeldMessages bounds the messages that wait for a sync; the oldest ones are
	// dropped, which consensus tolerates.
	maxHeldMessages = 1024
)

// GivenUp describes a leadership that ended because the leader's disk did not write.
type GivenUp struct {
	Term         uint64
	Successor    uint64 // the voter asked to campaign; 0: none has synced more
	PendingTicks int64  // how long a write has been pending
}

func (r *Raft) maxUnsyncedTicks() int64 { return int64(maxUnsyncedElections * r.cfg.ElectionTicks) }

// unsyncedTicks returns for how long a write has been pending.
func (r *Raft) unsyncedTicks() int64 {
	if !r.disk.unsynced {
		return 0
	}
	return r.now - r.disk.unsyncedSince
}

// giveUpForDisk ends the leadership of a replica whose disk doesn't write. It neither
// counts towards a majority nor can it be repaired while it leads. Leadership goes to a
// voter whose disk has synced what this one has not, if there is one.
func (r *Raft) giveUpForDisk() {
	r.givenUp = &GivenUp{Term: r.term, PendingTicks: r.unsyncedTicks()}
	next := r.successor()
	if next == 0 || r.progress[next].match <= r.log.stable {
		r.becomeFollower(r.term, 0)
		return
	}
	r.givenUp.Successor = next
	r.handOverTo(next)
}

// hardStateSynced reports whether the current term and vote are on the disk.
func (r *Raft) hardStateSynced() bool {
	return r.disk.synced.Term == r.term && r.disk.synced.Vote == r.vote
}

// needsWrite reports whether there is something to write beyond the write in flight.
func (r *Raft) needsWrite() bool {
	hard := r.disk.synced
	if w := r.disk.writing; w != nil {
		hard = w.HardState
	}
	return hard.Term != r.term || hard.Vote != r.vote || r.log.handed < r.log.lastIndex() || r.receivedSnapshot != nil
}

func (r *Raft) noteUnsynced() {
	if !r.disk.unsynced && (r.disk.writing != nil || r.needsWrite()) {
		r.disk.unsynced, r.disk.unsyncedSince = true, r.now
	}
}

// holdMessages makes messages wait for the sync of the current term and vote. If
// appends were sent before their term is synced, a crash could make the replica lead
// the same term again with different entries.
func (r *Raft) holdMessages() {
	if !r.hardStateSynced() {
		r.messagesAfterSync = append(r.messagesBeforeSync, r.messagesAfterSync...)
		r.messagesBeforeSync = nil
	}
	if extra := len(r.messagesAfterSync) - maxHeldMessages; extra > 0 {
		r.messagesAfterSync = slices.Delete(r.messagesAfterSync, 0, extra)
	}
}

// dropAcknowledgments discards the held acknowledgments of entries from index on, which
// are about to be truncated and will never be synced.
func (r *Raft) dropAcknowledgments(index uint64) {
	r.messagesAfterSync = slices.DeleteFunc(r.messagesAfterSync, func(m *pb.RaftMessage) bool {
		return m.Type == pb.RaftType_RAFT_TYPE_APPEND_REPLY && !m.Reject && m.LogIndex >= index
	})
}

// Written records that the write of the last Ready that had one is synced.
func (r *Raft) Written() {
	w := r.disk.writing
	if w == nil {
		return
	}
	r.disk.writing, r.disk.unsynced = nil, false
	r.disk.synced = w.HardState
	if w.Snapshot != nil {
		r.receivedSnapshot = nil
	}
	r.log.stable = r.log.handed
	r.countOwnVote()
	if p := r.progress[r.cfg.ID]; r.role == Leader && p != nil {
		r.advance(p, r.log.stable)
		r.maybeCommit()
	}
	r.noteUnsynced()
}

// SnapshotPending reports whether a leader's snapshot waits to be made durable. It must
// be before anything else is done: the caller waits for its write in flight and calls
// Ready.
func (r *Raft) SnapshotPending() bool { return r.receivedSnapshot != nil }

// Stable returns the last index that is synced.
func (r *Raft) Stable() uint64 { return r.log.stable }

// Unwritten returns the entries that no write has been started for yet.
func (r *Raft) Unwritten() []*pb.LogEntry { return r.log.between(r.log.handed+1, r.log.lastIndex()) }
