package raft

import "github.com/bluebellsail/bluebellsail/internal/pb"

// Confirmation tells a follower how much was committed at a known moment. The follower
// stamps its heartbeat replies with its own clock; a leader with a lease repeats the
// stamp together with its commit index. That proves that, at some moment after Tick,
// the leader led and had committed everything up to Index.
type Confirmation struct {
	Tick  int64 // on the follower's clock
	Index uint64
	Valid bool
}

// observeConfirmation reads a heartbeat's stamp. A stamp of an earlier incarnation of
// this replica is ignored, because its clock started anew.
func (r *Raft) observeConfirmation(m *pb.RaftMessage) {
	if m.Hint < r.stampBase || m.Hint > r.stampBase+uint64(r.now) {
		return
	}
	tick := int64(m.Hint - r.stampBase)
	if r.confirmation.Valid && tick < r.confirmation.Tick {
		return
	}
	r.confirmation = Confirmation{Tick: tick, Index: m.LogIndex, Valid: true}
}

// Confirmed returns the newest confirmation received.
func (r *Raft) Confirmed() Confirmation { return r.confirmation }
