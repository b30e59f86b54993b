package raft

import "github.com/bluebellsail/bluebellsail/internal/pb"

// transferContext, as the context of a vote request, marks that the leader of the
// previous term gave up its lease for this candidate (thesis, section 3.10). Voters
// then need not keep their promise to that leader.
const transferContext = 1

// Transfer hands leadership over to the most up-to-date voter, so that a planned stop
// doesn't cost an election timeout. The leader first steps down, which ends its lease
// for the rest of the term. Transfer returns false if this replica is not the leader or
// no voter answered recently.
func (r *Raft) Transfer() bool {
	best := r.successor()
	if r.role != Leader || best == 0 {
		return false
	}
	r.handOverTo(best)
	return true
}

// successor returns the active voter other than this replica that has synced most, or 0.
func (r *Raft) successor() uint64 {
	var best uint64
	for _, id := range r.otherMembers() {
		p := r.progress[id]
		if !r.members.current().isVoter(id) || !r.active(p) {
			continue
		}
		if best == 0 || p.match > r.progress[best].match {
			best = id
		}
	}
	return best
}

// handOverTo steps down and asks a voter to campaign. The message needs no sync: this
// replica doesn't lead the term again after a crash either.
func (r *Raft) handOverTo(id uint64) {
	r.becomeFollower(r.term, 0)
	r.send(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_TIMEOUT_NOW, To: id})
}

// handleTimeoutNow campaigns at once. The message is valid only in the term of the
// leader that sent it; a late one has a lower term and is dropped by Step.
func (r *Raft) handleTimeoutNow() {
	if r.role == Leader || !r.members.current().isVoter(r.cfg.ID) || r.unsyncedTicks() >= int64(r.cfg.ElectionTicks) {
		return
	}
	r.campaignByTransfer = true
	r.campaign()
	r.campaignByTransfer = false
}

// isTransferVote reports whether a vote request results from a leadership transfer,
// which releases voters from their promise.
func isTransferVote(m *pb.RaftMessage) bool { return m.Context == transferContext }
