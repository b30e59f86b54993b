package raft

// Unanswered returns for how long a voter has left this replica without an answer, or
// false if nothing is unanswered: requests for its vote, or the heartbeats of a leader
// that gave up because of it. It is false for a leader and while a leader is known.
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
