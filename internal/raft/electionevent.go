package raft

import "github.com/bluebellsail/bluebellsail/internal/pb"

// ElectionStep is a step of an election.
type ElectionStep string

// The steps of an election.
const (
	// ElectionCampaign: this replica asks the other voters for their votes.
	ElectionCampaign ElectionStep = "campaign"
	// ElectionPostponed: this replica doesn't campaign although its election timeout has
	// passed, because its disk has not finished a write.
	ElectionPostponed ElectionStep = "campaign-postponed"
	// ElectionAnswered: this replica answered a request for its vote.
	ElectionAnswered ElectionStep = "vote-answered"
	// ElectionReceived: a voter answered this replica's request.
	ElectionReceived ElectionStep = "vote-received"
)

// VoteRefusal is why a voter refuses its vote.
type VoteRefusal string

// The reasons of a refusal.
const (
	VoteGranted VoteRefusal = ""
	// RefusedForLeader: the voter heard from a leader less than ElectionTicks ago, or
	// started less than ElectionTicks ago.
	RefusedForLeader VoteRefusal = "leader_recently_heard"
	// RefusedForLog: the candidate's log ends before the voter's.
	RefusedForLog VoteRefusal = "candidate_log_behind"
	// RefusedForVote: the voter has voted for another candidate of the term.
	RefusedForVote VoteRefusal = "voted_for_another"
	// RefusedForTerm: the voter has reached the candidate's term already.
	RefusedForTerm VoteRefusal = "term_too_low"
)

// ElectionEvent tells what a replica did or learned in an election.
type ElectionEvent struct {
	Step    ElectionStep
	PreVote bool
	// Term is the term for which votes are asked; for ElectionPostponed the current term.
	Term uint64
	// Peer is the candidate that was answered, or the voter that answered; 0 otherwise.
	Peer uint64
	// Refusal is the reason of a refusal by this replica.
	Refusal VoteRefusal
	// Granted is set for answers only.
	Granted bool
	// LastIndex and LastTerm describe the end of this replica's log.
	LastIndex, LastTerm uint64
	// PeerLastIndex and PeerLastTerm describe the end of the log of a candidate that was
	// answered.
	PeerLastIndex, PeerLastTerm uint64
	// Voters are the voters of the membership by which this replica campaigns.
	Voters []uint64
}

// maxElectionEvents bounds the events between two calls of Ready; further ones are
// dropped.
const maxElectionEvents = 64

func (r *Raft) recordElection(e ElectionEvent) {
	if len(r.electionEvents) >= maxElectionEvents {
		return
	}
	e.LastIndex, e.LastTerm = r.log.lastIndex(), r.log.lastTerm()
	r.electionEvents = append(r.electionEvents, e)
}

func (r *Raft) recordCampaign(t pb.RaftType, term uint64) {
	r.recordElection(ElectionEvent{
		Step: ElectionCampaign, PreVote: t == pb.RaftType_RAFT_TYPE_PRE_VOTE, Term: term, Voters: r.members.current().voters(),
	})
}

// recordPostponed records at most once in ElectionTicks that the replica would campaign.
func (r *Raft) recordPostponed() {
	if r.postponedTick != 0 && r.now-r.postponedTick < int64(r.cfg.ElectionTicks) {
		return
	}
	r.postponedTick = r.now
	r.recordElection(ElectionEvent{Step: ElectionPostponed, Term: r.term})
}

// recordAnswer records the answer to a request for this replica's vote.
func (r *Raft) recordAnswer(m *pb.RaftMessage, refusal VoteRefusal) {
	r.recordElection(ElectionEvent{
		Step: ElectionAnswered, PreVote: m.Type == pb.RaftType_RAFT_TYPE_PRE_VOTE, Term: m.Term, Peer: m.From,
		Refusal: refusal, Granted: refusal == VoteGranted, PeerLastIndex: m.LogIndex, PeerLastTerm: m.LogTerm,
	})
}

// recordReceived records a voter's answer to this replica.
func (r *Raft) recordReceived(m *pb.RaftMessage) {
	r.recordElection(ElectionEvent{
		Step: ElectionReceived, PreVote: m.Type == pb.RaftType_RAFT_TYPE_PRE_VOTE_REPLY, Term: m.Term, Peer: m.From, Granted: !m.Reject,
	})
}
