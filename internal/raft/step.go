package raft

import "github.com/bluebellsail/bluebellsail/internal/pb"

// Step takes a message from another replica.
func (r *Raft) Step(m *pb.RaftMessage) {
	if m.To != r.cfg.ID || m.From == r.cfg.ID {
		return
	}
	r.heard[m.From] = r.now
	if m.Term > r.term && !r.admitHigherTerm(m) {
		return
	}
	if m.Term < r.term {
		r.answerLowerTerm(m)
		return
	}
	r.dispatch(m)
}

// HeardFromQuorum tells whether this voter has heard a majority of the voters, itself included,
// within so many ticks, so that they may elect a leader if they have none. The start counts
// as having heard all.
func (r *Raft) HeardFromQuorum(within int64) bool {
	members := r.members.current()
	return members.voter(r.cfg.ID) && members.quorum(func(id uint64) bool {
		return id == r.cfg.ID || r.now-r.heard[id] <= within
	})
}

// admitHigherTerm takes over a higher term where the message gives reason to.
// It returns false if the message is to be ignored.
func (r *Raft) admitHigherTerm(m *pb.RaftMessage) bool {
	switch m.Type {
	case pb.RaftType_RAFT_TYPE_PRE_VOTE:
		return true
	case pb.RaftType_RAFT_TYPE_PRE_VOTE_REPLY:
		if !m.Reject {
			return true
		}
	case pb.RaftType_RAFT_TYPE_VOTE:
		if r.promised() && !fromTransfer(m) {
			return false
		}
	}
	r.becomeFollower(m.Term, 0)
	return true
}

// answerLowerTerm tells a leader or candidate of an old term that it's over.
func (r *Raft) answerLowerTerm(m *pb.RaftMessage) {
	switch m.Type {
	case pb.RaftType_RAFT_TYPE_APPEND, pb.RaftType_RAFT_TYPE_HEARTBEAT, pb.RaftType_RAFT_TYPE_SNAPSHOT:
		r.sendSynced(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND_REPLY, To: m.From, Reject: true})
	case pb.RaftType_RAFT_TYPE_PRE_VOTE:
		r.sendSynced(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_PRE_VOTE_REPLY, To: m.From, Reject: true})
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

// followLeader notes that the leader of this term was heard.
func (r *Raft) followLeader(m *pb.RaftMessage) {
	r.role = Follower
	r.leader = m.From
	r.votes = nil
	r.heardLeader = r.now
	r.resetElectionTimer()
}
