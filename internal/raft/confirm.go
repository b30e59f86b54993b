package raft

import "github.com/bluebellsail/bluebellsail/internal/pb"

// Confirmation tells a follower how much was committed at a known moment. The
// follower stamps its heartbeat answers with its own clock; a leader with a
// lease repeats the stamp, together with its commit index. So the leader led,
// and had committed up to Index, at some moment after Tick.
type Confirmation struct {
	Tick  int64 // by the follower's clock
	Index uint64
	Valid bool
}

// takeConfirmation reads a heartbeat's stamp. A stamp of an earlier run of this
// replica is ignored: its clock began anew.
func (r *Raft) takeConfirmation(m *pb.RaftMessage) {
	if m.Hint < r.epoch || m.Hint > r.epoch+uint64(r.now) {
		return
	}
	tick := int64(m.Hint - r.epoch)
	if r.confirmation.Valid && tick < r.confirmation.Tick {
		return
	}
	r.confirmation = Confirmation{Tick: tick, Index: m.LogIndex, Valid: true}
}

// Confirmed returns the newest confirmation heard.
func (r *Raft) Confirmed() Confirmation { return r.confirmation }
