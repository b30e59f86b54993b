package raft

// Unanswered returns for how long, in ticks, a voter has not answered requests for its
// vote, or the heartbeats that this replica sent as the leader before it gave up. ok is
// false if nothing is unanswered, if this replica leads, and once it follows a leader.
func (r *Raft) Unanswered(id uint64) (ticks int64, ok bool) {
	since, ok := r.unansweredSince[id]
	return r.now - since, ok
}

// expectAnswer records that a voter was asked for its vote.
func (r *Raft) expectAnswer(id uint64) {
	if _, ok := r.unansweredSince[id]; !ok {
		r.unansweredSince[id] = r.now
	}
}

// keepUnanswered records which voters have not answered this leader's heartbeats, before
// it stops leading.
func (r *Raft) keepUnanswered() {
	for _, id := range r.members.current().voters() {
		if p := r.progress[id]; p != nil && id != r.cfg.ID && r.now-p.lastReplyTick >= r.leaseTicks() {
			r.unansweredSince[id] = p.lastReplyTick
		}
	}
}
