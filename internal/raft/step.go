package raft

import "github.com/bluebellsail/bluebellsail/internal/pb"

// Step processes a message from another replica.
func (r *Raft) Step(m *pb.RaftMessage) {
	if m.To != r.cfg.ID || m.From == r.cfg.ID {
		return
	}
	r.lastContact[m.From] = r.now
	r.heardFrom(m.From)
	switch m.Type {
	case pb.RaftType_RAFT_TYPE_PRE_VOTE_REPLY, pb.RaftType_RAFT_TYPE_VOTE_REPLY:
		delete(r.unansweredSince, m.From)
		r.recordReceived(m)
	}
	if m.Term > r.term && !r.acceptHigherTerm(m) {
		return
	}
	if m.Term < r.term {
		r.replyLowerTerm(m)
		return
	}
	r.dispatch(m)
}

// HeardFromQuorum reports whether this replica is a voter that received a message from
// a majority of the voters, itself included, within the given number of ticks. If so,
// they can elect a leader if there is none. All members count as heard from at the
// start.
func (r *Raft) HeardFromQuorum(within int64) bool {
	members := r.members.current()
	return members.isVoter(r.cfg.ID) && members.quorum(func(id uint64) bool {
		return id == r.cfg.ID || r.now-r.lastContact[id] <= within
	})
}

// acceptHigherTerm adopts the higher term of m. A pre-vote request, and a reply that
// grants one, leave the term unchanged. It returns false if m must be ignored: a vote
// request while refusesCandidates, unless the leader transferred its leadership.
func (r *Raft) acceptHigherTerm(m *pb.RaftMessage) bool {
	switch m.Type {
	case pb.RaftType_RAFT_TYPE_PRE_VOTE:
		return true
	case pb.RaftType_RAFT_TYPE_PRE_VOTE_REPLY:
		if !m.Reject {
			return true
		}
	case pb.RaftType_RAFT_TYPE_VOTE:
		if r.refusesCandidates() && !isTransferVote(m) {
			r.recordAnswer(m, RefusedForLeader)
			return false
		}
	}
	r.becomeFollower(m.Term, 0)
	return true
}

// replyLowerTerm answers a message of a lower term from a leader or pre-candidate, so that
// the sender learns the current term.
func (r *Raft) replyLowerTerm(m *pb.RaftMessage) {
	switch m.Type {
	case pb.RaftType_RAFT_TYPE_APPEND, pb.RaftType_RAFT_TYPE_HEARTBEAT, pb.RaftType_RAFT_TYPE_SNAPSHOT:
		r.sendAfterSync(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND_REPLY, To: m.From, Reject: true})
	case pb.RaftType_RAFT_TYPE_PRE_VOTE:
		r.recordAnswer(m, RefusedForTerm)
		r.sendAfterSync(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_PRE_VOTE_REPLY, To: m.From, Reject: true})
	}
}

func (r *Raft) dispatch(m *pb.RaftMessage) {
	switch m.Type {
	case pb.RaftType_RAFT_TYPE_PRE_VOTE:
		r.handlePreVote(m)
	case pb.RaftType_RAFT_TYPE_PRE_VOTE_REPLY:
		r.handlePreVoteReply(m)
	case pb.RaftType_RAFT_TYPE_VOTE:
		r.handleVote(m)
	case pb.RaftType_RAFT_TYPE_VOTE_REPLY:
		r.handleVoteReply(m)
	case pb.RaftType_RAFT_TYPE_APPEND:
		r.followLeader(m)
		r.handleAppend(m)
	case pb.RaftType_RAFT_TYPE_HEARTBEAT:
		r.followLeader(m)
		r.handleHeartbeat(m)
	case pb.RaftType_RAFT_TYPE_SNAPSHOT:
		r.followLeader(m)
		r.handleSnapshot(m)
	case pb.RaftType_RAFT_TYPE_TIMEOUT_NOW:
		r.handleTimeoutNow()
	case pb.RaftType_RAFT_TYPE_APPEND_REPLY:
		r.handleAppendReply(m)
	case pb.RaftType_RAFT_TYPE_HEARTBEAT_REPLY:
		r.handleHeartbeatReply(m)
	}
}

// followLeader records contact with the leader of this term.
func (r *Raft) followLeader(m *pb.RaftMessage) {
	r.keepLeader(r.leader != m.From)
	r.role = Follower
	r.leader = m.From
	r.votes, r.preVotes = nil, nil
	clear(r.unansweredSince)
	r.lastLeaderContact = r.now
	r.resetElectionTimer()
}
