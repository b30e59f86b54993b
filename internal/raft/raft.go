// Package raft is the consensus of a control group as a pure state machine: it
// has no clock, sockets, disk or goroutines. The caller feeds it ticks, messages
// and proposals, and carries out what Ready returns.
//
// The algorithm is Raft as published in Diego Ongaro's thesis "Consensus:
// Bridging Theory and Practice" (Stanford, 2014): leader election and log
// replication (chapter 3), single-server membership changes (section 4.1) with
// the later correction that a leader first commits an entry of its own term,
// snapshots (chapter 5), leader leases for reads (section 6.4.1) and pre-vote
// (section 9.6).
//
// All times are ticks. A tick is the caller's; replicas' tick rates may differ
// by less than Config.DriftPercent.
package raft

import (
	"math/rand"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Role of a replica in its term.
type Role int

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Errors of proposals. None of them leaves anything in the log.
var (
	ErrNotLeader      = errors.New("raft: this replica isn't the leader")
	ErrChangePending  = errors.New("raft: a membership change is pending, or the leader's term has no committed entry yet")
	ErrInvalidChange      = errors.New("raft: a membership change must add one learner, promote one learner or remove one member")
	ErrNotCaughtUp    = errors.New("raft: the learner doesn't hold everything committed yet")
	ErrCorruptState = errors.New("raft: the snapshot and the log don't hold together; this replica's disk must be replaced")
)

// Config of a replica.
type Config struct {
	// ID of this replica, not 0. Never used again after its disk is lost.
	ID uint64
	// ElectionTicks is the least time without a leader before a replica
	// campaigns, and the time for which a voter that heard a leader refuses
	// other candidates; the timeout is drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks between two heartbeat rounds of the leader.
	HeartbeatTicks int
	// DriftPercent bounds by how much the tick rates of two replicas differ; it
	// shortens the leader's lease. Default 20.
	DriftPercent int
	// MaxBatchBytes of entries in one append message; default 256 KiB.
	MaxBatchBytes int
	// MaxInflight append messages without an answer, for each peer; default 64.
	MaxInflight int
	// Rand draws the election timeouts.
	Rand *rand.Rand
	// FirstEntry gives the data of the first command of a leader's term; nil or
	// empty data: an entry of type EMPTY.
	FirstEntry func(term uint64) []byte
}

// State is what a replica had synced before it stopped.
type State struct {
	Hard     *pb.HardState
	Snapshot *pb.Snapshot // data isn't used
	Entries  []*pb.LogEntry
	// Members is the membership before the first snapshot and entry: the
	// bootstrap list, or empty for a replica that waits to be added.
	Members *pb.Members
}

// Raft is one replica's consensus state. It isn't safe for concurrent use.
type Raft struct {
	cfg     Config
	log     *entryLog
	members *memberHistory

	role   Role
	term   uint64
	vote   uint64
	leader uint64

	now         int64
	heardLeader int64 // tick at which a leader was last heard
	// heard is the tick at which each member was last heard; none: the start.
	heard            map[uint64]int64
	electionDeadline int64
	votes            map[uint64]bool
	transferred      bool // the campaign being started was asked for by the leader

	progress  map[uint64]*progress
	lease     lease
	termStart uint64

	epoch        uint64 // random offset of this run's stamps
	confirmation Confirmation

	early    []*pb.RaftMessage // see Ready.Early
	synced   []*pb.RaftMessage // see Ready.Synced
	saved    *pb.HardState     // as the disk has it
	received *pb.Snapshot      // of a leader, not on the disk yet
}

// New makes a replica from its persisted state. For ElectionTicks after the
// start it refuses to vote.
func New(cfg Config, st State) (*Raft, error) {
	setDefaults(&cfg)
	log, err := newLog(st)
	if err != nil {
		return nil, err
	}
	r := &Raft{cfg: cfg, log: log, members: newMemberHistory(st), saved: &pb.HardState{}, heard: map[uint64]int64{}}
	for _, e := range log.entries {
		r.members.observe(e)
	}
	if st.Hard != nil {
		r.term = st.Hard.Term
		r.vote = st.Hard.Vote
		r.saved = &pb.HardState{Term: r.term, Vote: r.vote, Commit: log.commit}
	}
	// A voter that acknowledged a heartbeat, crashed and came back has forgotten
	// it. If it voted at once, another leader could be elected while the old one
	// still answers reads under its lease. heardLeader = now = 0 counts the start
	// as if a leader had been heard, so the promise outlives the restart.
	r.resetElectionTimer()
	r.epoch = 1 + uint64(cfg.Rand.Int63())
	return r, nil
}

// The defaults of Config.
const (
	defaultDriftPercent  = 20
	defaultMaxBatchBytes = 256 << 10
	defaultMaxInflight   = 64
)

// setDefaults replaces negative numbers too: a negative DriftPercent would lengthen
// the leader's lease beyond the promise of its voters.
func setDefaults(cfg *Config) {
	if cfg.DriftPercent <= 0 {
		cfg.DriftPercent = defaultDriftPercent
	}
	if cfg.MaxBatchBytes <= 0 {
		cfg.MaxBatchBytes = defaultMaxBatchBytes
	}
	if cfg.MaxInflight <= 0 {
		cfg.MaxInflight = defaultMaxInflight
	}
}

// Tick advances the replica's clock by one tick.
func (r *Raft) Tick() {
	r.now++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.now >= r.electionDeadline && r.members.current().voter(r.cfg.ID) {
		r.preCampaign()
	}
}

func (r *Raft) tickLeader() {
	r.observeQuorum()
	// A leader cut off from its quorum can't commit, yet callers would go on
	// waiting on it. It gives up by its own clock at the end of its lease, which
	// is before any voter may elect another.
	if r.now-r.lease.quorumTick >= r.leaseTicks() {
		r.becomeFollower(r.term, 0)
		return
	}
	if r.now-r.lease.sentTick >= int64(r.cfg.HeartbeatTicks) {
		r.broadcastHeartbeat()
	}
}

// Propose appends data to the log if this replica is the leader, and returns
// the entry's index and term. The command is committed once an entry of that
// index and term is.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = r.appendOwn(pb.EntryType_ENTRY_TYPE_COMMAND, data)
	return index, r.term, nil
}

// Flush sends what was proposed since the last call to the followers, so that
// proposals which came together travel in one message.
func (r *Raft) Flush() {
	if r.role == Leader {
		r.broadcastAppend()
	}
}

func (r *Raft) appendOwn(t pb.EntryType, data []byte) uint64 {
	index := r.log.lastIndex() + 1
	r.log.append(&pb.LogEntry{Index: index, Term: r.term, Type: t, Data: data})
	return index
}

func (r *Raft) becomeFollower(term, leader uint64) {
	if term != r.term {
		r.term = term
		r.vote = 0
	}
	r.role = Follower
	r.leader = leader
	r.votes = nil
	r.progress = nil
	r.lease = lease{}
	r.resetElectionTimer()
}

func (r *Raft) resetElectionTimer() {
	r.electionDeadline = r.now + int64(r.cfg.ElectionTicks+r.cfg.Rand.Intn(r.cfg.ElectionTicks))
}

// send queues a message that may leave before the disk is synced.
func (r *Raft) send(m *pb.RaftMessage) {
	m.From = r.cfg.ID
	m.Term = r.term
	r.early = append(r.early, m)
}

// sendSynced queues a message that may leave only after what Ready returned
// with it is synced, since it promises what the disk must not forget.
func (r *Raft) sendSynced(m *pb.RaftMessage) {
	m.From = r.cfg.ID
	if m.Term == 0 {
		m.Term = r.term
	}
	r.synced = append(r.synced, m)
}
