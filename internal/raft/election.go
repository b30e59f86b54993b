package raft

import "github.com/bluebellsail/bluebellsail/internal/pb"

// refusesCandidates reports whether this voter must reject other candidates because it
// received a message from a leader less than ElectionTicks ago. The leader's lease
// relies on this promise.
func (r *Raft) refusesCandidates() bool {
	return r.role == Leader || r.now-r.lastLeaderContact < int64(r.cfg.ElectionTicks)
}

// preCampaign asks the voters whether this replica could win an election, without
// increasing its term. Otherwise a replica that was partitioned from the group would
// come back with a higher term and depose a working leader.
func (r *Raft) preCampaign() {
	r.patience.giveUp(r.leader, r.now)
	r.role = PreCandidate
	r.leader = 0
	r.preVotes = map[uint64]bool{r.cfg.ID: true}
	r.resetElectionTimer()
	if r.hasQuorum(r.preVotes) {
		r.campaign()
		return
	}
	r.requestVotes(pb.RaftType_RAFT_TYPE_PRE_VOTE, r.term+1)
}

func (r *Raft) campaign() {
	r.role = Candidate
	r.term++
	r.vote = r.cfg.ID
	r.leader = 0
	r.preVotes = nil
	r.votes = map[uint64]bool{} // its own vote counts once it is synced, see countOwnVote
	r.resetElectionTimer()
	r.requestVotes(pb.RaftType_RAFT_TYPE_VOTE, r.term)
}

// countOwnVote counts a candidate's own vote after a write that made it durable. The
// election timeout starts anew, because only now the others are asked; otherwise a
// candidate whose write takes as long as the timeout would never wait for an answer.
func (r *Raft) countOwnVote() {
	if r.role != Candidate || !r.hardStateSynced() || r.votes[r.cfg.ID] {
		return
	}
	r.votes[r.cfg.ID] = true
	r.resetElectionTimer()
	if r.hasQuorum(r.votes) {
		r.becomeLeader()
	}
}

func (r *Raft) requestVotes(t pb.RaftType, term uint64) {
	r.recordCampaign(t, term)
	for _, id := range r.members.current().voters() {
		if id == r.cfg.ID {
			continue
		}
		r.expectAnswer(id)
		m := &pb.RaftMessage{Type: t, To: id, Term: term, LogIndex: r.log.lastIndex(), LogTerm: r.log.lastTerm()}
		if r.campaignByTransfer {
			m.Context = transferContext
		}
		r.sendAfterSync(m)
	}
}

// hasQuorum reports whether a majority of the voters granted their votes.
func (r *Raft) hasQuorum(granted map[uint64]bool) bool {
	return r.members.current().quorum(func(id uint64) bool { return granted[id] })
}

func (r *Raft) handlePreVote(m *pb.RaftMessage) {
	refusal := r.refusePreVote(m)
	r.recordAnswer(m, refusal)
	reply := &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_PRE_VOTE_REPLY, To: m.From, Reject: refusal != VoteGranted}
	if refusal == VoteGranted {
		reply.Term = m.Term
	}
	r.sendAfterSync(reply)
}

// refusePreVote returns why this voter refuses a pre-vote.
func (r *Raft) refusePreVote(m *pb.RaftMessage) VoteRefusal {
	switch {
	case m.Term <= r.term:
		return RefusedForTerm
	case r.refusesCandidates():
		return RefusedForLeader
	case !r.log.upToDate(m.LogIndex, m.LogTerm):
		return RefusedForLog
	}
	return VoteGranted
}

// refuseVote returns why this voter refuses its vote in its current term.
func (r *Raft) refuseVote(m *pb.RaftMessage) VoteRefusal {
	switch {
	case r.vote != 0 && r.vote != m.From:
		return RefusedForVote
	case r.refusesCandidates() && !isTransferVote(m):
		return RefusedForLeader
	case !r.log.upToDate(m.LogIndex, m.LogTerm):
		return RefusedForLog
	}
	return VoteGranted
}

func (r *Raft) handleVote(m *pb.RaftMessage) {
	refusal := r.refuseVote(m)
	r.recordAnswer(m, refusal)
	granted := refusal == VoteGranted
	if granted {
		r.vote = m.From
		r.resetElectionTimer()
	}
	r.sendAfterSync(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_VOTE_REPLY, To: m.From, Reject: !granted})
}

func (r *Raft) handlePreVoteReply(m *pb.RaftMessage) {
	if r.role != PreCandidate || m.Reject || m.Term != r.term+1 {
		return
	}
	r.preVotes[m.From] = true
	if r.hasQuorum(r.preVotes) {
		r.campaign()
	}
}

// handleVoteReply counts a vote for this replica in its current term. A vote that waited for the voter's disk counts
// although this replica already asks for pre-votes for the next term.
func (r *Raft) handleVoteReply(m *pb.RaftMessage) {
	if m.Reject || r.votes == nil || r.role != Candidate && r.role != PreCandidate {
		return
	}
	r.votes[m.From] = true
	if r.hasQuorum(r.votes) {
		r.becomeLeader()
	}
}

func (r *Raft) becomeLeader() {
	clear(r.unansweredSince)
	r.role = Leader
	r.leader = r.cfg.ID
	r.keepLeader(true)
	r.votes, r.preVotes = nil, nil
	r.lease = lease{quorumTick: r.now}
	r.progress = map[uint64]*progress{}
	r.syncProgress()
	self := r.progress[r.cfg.ID]
	if self != nil {
		self.match = r.log.stable
	}
	var data []byte
	if r.cfg.FirstEntry != nil {
		data = r.cfg.FirstEntry(r.term)
	}
	t := pb.EntryType_ENTRY_TYPE_COMMAND
	if len(data) == 0 {
		t = pb.EntryType_ENTRY_TYPE_EMPTY
	}
	// An entry of an earlier term counts as committed only once a later entry of the
	// leader's own term is committed (thesis, figure 3.7); this is that entry.
	r.termStart = r.appendOwn(t, data)
	r.broadcastHeartbeat()
	r.broadcastAppend()
}
