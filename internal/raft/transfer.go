package raft

import "github.com/bluebellsail/bluebellsail/internal/pb"

// transferMark in the context of a vote request says that the leader of the term
// before gave up its lease for this candidate (thesis, section 3.10). Voters then
// needn't keep the promise they gave that leader.
const transferMark = 1

// Transfer has the leader hand over to the voter that holds most of its log, so
// that a planned stop doesn't cost an election timeout. The leader first steps
// down, which ends its lease for good in this term. It returns false if this
// replica doesn't lead or no voter answered lately.
func (r *Raft) Transfer() bool {
	var best uint64
	for _, id := range r.others() {
		p := r.progress[id]
		if !r.members.current().voter(id) || !r.active(p) {
			continue
		}
		if best == 0 || p.match > r.progress[best].match {
			best = id
		}
	}
	if r.role != Leader || best == 0 {
		return false
	}
	r.becomeFollower(r.term, 0)
	r.sendSynced(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_TIMEOUT_NOW, To: best})
	return true
}

// handleTimeoutNow campaigns at once. The message counts only in the term whose
// leader sent it; a late one finds a later term and is dropped by Step.
func (r *Raft) handleTimeoutNow() {
	if r.role == Leader || !r.members.current().voter(r.cfg.ID) {
		return
	}
	r.transferred = true
	r.campaign()
	r.transferred = false
}

// fromTransfer tells whether a vote request comes of a transfer, which frees voters
// from their promise.
func fromTransfer(m *pb.RaftMessage) bool { return m.Context == transferMark }
