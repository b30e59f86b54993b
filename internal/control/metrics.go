package control

import (
	"expvar"
	"sync/atomic"
	"time"
)

// metrics counts events of a replica since its start.
type metrics struct {
	Elected          expvar.Int // terms in which this replica led
	Proposals        expvar.Int // commands appended as the leader
	ProposalsUnknown expvar.Int // proposals that ended with an unknown outcome
	ReadsRefused     expvar.Int // reads rejected without leadership or lease
	Syncs            expvar.Int // syncs of the log
	Snapshots        expvar.Int // snapshots taken of its own state
	Installed        expvar.Int // snapshots installed from a leader
	GivenUpForDisk   expvar.Int // leaderships given up because a write was pending for too long
	Campaigns        expvar.Int // requests for votes and pre-votes, one for each round
	VotesRefused     expvar.Int // votes and pre-votes that this replica refused
	MessagesDropped  expvar.Int // messages from other replicas dropped because the inbox was full

	writeBegan atomic.Int64 // when the write to the log in flight began, Unix nanoseconds; 0: none
}

// writePendingMs returns the age of the write to the log in flight in milliseconds, or
// 0 without one.
func (m *metrics) writePendingMs() any {
	began := m.writeBegan.Load()
	if began == 0 {
		return int64(0)
	}
	return max(0, time.Since(time.Unix(0, began)).Milliseconds())
}

// Vars returns the replica's counters and current state for publication.
func (r *Replica) Vars() expvar.Var {
	m := new(expvar.Map).Init()
	for name, v := range map[string]expvar.Var{
		"elected": &r.metrics.Elected, "proposals": &r.metrics.Proposals,
		"proposals_unknown": &r.metrics.ProposalsUnknown, "reads_refused": &r.metrics.ReadsRefused,
		"log_syncs": &r.metrics.Syncs, "snapshots": &r.metrics.Snapshots,
		"given_up_for_disk": &r.metrics.GivenUpForDisk, "log_write_pending_ms": expvar.Func(r.metrics.writePendingMs),
		"campaigns": &r.metrics.Campaigns, "votes_refused": &r.metrics.VotesRefused,
		"snapshots_installed": &r.metrics.Installed, "messages_dropped": &r.metrics.MessagesDropped,
		"state": expvar.Func(r.stateVar),
	} {
		m.Set(name, v)
	}
	return m
}

// replicaState is the current state as it is published.
type replicaState struct {
	Replica  uint64 `json:"replica"`
	Leader   uint64 `json:"leader"`
	Term     uint64 `json:"term"`
	Commit   uint64 `json:"commit"`
	Applied  uint64 `json:"applied"`
	LogBytes uint64 `json:"log_bytes"`
	Snapshot uint64 `json:"snapshot_index"`
	Joining  bool   `json:"joining"`
}

func (r *Replica) stateVar() any {
	st := r.Status()
	return replicaState{
		Replica: st.Self, Leader: st.Leader, Term: st.Term, Commit: st.Commit, Applied: st.Applied,
		LogBytes: st.LogBytes, Snapshot: st.SnapshotIndex, Joining: r.Joining(),
	}
}
