// Package raft implements the consensus of a control group as a pure state machine: it
// has no clock, sockets, disk or goroutines. The caller passes it ticks, messages and
// proposals, and carries out what Ready returns.
//
// The algorithm is Raft as published in Diego Ongaro's thesis "Consensus: Bridging
// Theory and Practice" (Stanford, 2014): leader election and log replication (chapter
// 3), single-server membership changes (section 4.1) with the later correction that a
// leader first commits an entry of its own term, snapshots (chapter 5), leader leases
// for reads (section 6.4.1) and pre-vote (section 9.6).
//
// All times are in ticks, which the caller generates. The tick rates of two replicas
// may differ by less than Config.DriftPercent.
package raft

import (
	"math/rand"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Role is the role of a replica in its term.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Errors of proposals and of New. A rejected proposal leaves nothing in the log.
var (
	ErrNotLeader     = errors.New("raft: this replica is not the leader")
	ErrChangePending = errors.New("raft: a membership change is pending, or the leader has not committed an entry of its term yet")
	ErrInvalidChange = errors.New("raft: a membership change must add one learner, promote one learner or remove one member")
	ErrNotCaughtUp   = errors.New("raft: the learner doesn't hold everything committed yet")
	ErrCorruptState  = errors.New("raft: the persisted snapshot, log and hard state are inconsistent; this replica's disk must be replaced")
)

// Config configures a replica.
type Config struct {
	// ID identifies this replica and is not 0. An ID is never reused after the
	// replica's disk is lost.
	ID uint64
	// ElectionTicks is the minimum time without a leader before a replica campaigns,
	// and the time for which a voter rejects other candidates after a message from a
	// leader. The election timeout is drawn from [ElectionTicks, 2*ElectionTicks), or from
	// up to four times that after leaders were given up that still ran; see patience.
	ElectionTicks int
	// HeartbeatTicks is the interval between two heartbeat rounds of the leader.
	HeartbeatTicks int
	// DriftPercent bounds the difference between the tick rates of two replicas; it
	// shortens the leader's lease. Default 20.
	DriftPercent int
	// MaxBatchBytes limits the entries in one append message; default 256 KiB.
	MaxBatchBytes int
	// MaxInflight limits the unanswered append messages per peer; default 64.
	MaxInflight int
	// Rand draws the election timeouts; see NewRand.
	Rand *rand.Rand
	// FirstEntry returns the data of the first command of a leader's term. If it is nil
	// or returns empty data, the first entry has the type EMPTY.
	FirstEntry func(term uint64) []byte
}

// NewRand returns a source of random numbers for Config.Rand. Replicas with the same seed get different ones: two
// voters that draw the same election timeouts would campaign at the same time in every term.
func NewRand(seed int64, id uint64) *rand.Rand { return rand.New(rand.NewSource(seed ^ int64(id))) }

// State is what a replica had synced to disk before it stopped.
type State struct {
	Hard     *pb.HardState
	Snapshot *pb.Snapshot // the data is not used
	Entries  []*pb.LogEntry
	// Members is the membership before the first snapshot and entry: the bootstrap
	// list, or empty for a replica that waits to be added to a group.
	Members *pb.Members
}

// Raft is one replica's consensus state. It is not safe for concurrent use.
type Raft struct {
	cfg     Config
	log     *entryLog
	members *memberHistory

	role   Role
	term   uint64
	vote   uint64
	leader uint64

	now               int64
	lastLeaderContact int64 // tick of the last message from a leader
	// lastContact is the tick of each member's last message; a member without one
	// counts as heard from at the start (tick 0).
	lastContact        map[uint64]int64
	electionDeadline   int64
	patience           patience
	votes              map[uint64]bool  // granted in the current term; this replica's own once it is synced
	preVotes           map[uint64]bool  // granted for the next term
	unansweredSince    map[uint64]int64 // see Unanswered
	campaignByTransfer bool             // the campaign being started was requested by the leader

	progress  map[uint64]*progress
	lease     lease
	termStart uint64

	stampBase    uint64 // random offset of the heartbeat stamps of this incarnation
	confirmation Confirmation

	messagesBeforeSync []*pb.RaftMessage // see Ready.MessagesBeforeSync
	messagesAfterSync  []*pb.RaftMessage // see Ready.MessagesAfterSync
	// snapshotIndex and snapshotBytes describe the newest snapshot that was taken here; 0: none since the start.
	snapshotIndex    uint64
	snapshotBytes    int
	receivedSnapshot *pb.Snapshot // from a leader, not on disk yet
	disk             diskState
	givenUp          *GivenUp        // see Ready.GivenUp
	electionEvents   []ElectionEvent // see Ready.Elections
	postponedTick    int64           // tick of the last ElectionPostponed; 0: none
}

// New creates a replica from its persisted state. For ElectionTicks after the start the
// replica rejects vote requests.
func New(cfg Config, st State) (*Raft, error) {
	setDefaults(&cfg)
	log, err := newLog(st)
	if err != nil {
		return nil, err
	}
	r := &Raft{cfg: cfg, log: log, members: newMemberHistory(st), disk: diskState{synced: &pb.HardState{}}, lastContact: map[uint64]int64{}, unansweredSince: map[uint64]int64{}}
	for _, e := range log.entries {
		r.members.record(e)
	}
	if st.Hard != nil {
		r.term = st.Hard.Term
		r.vote = st.Hard.Vote
		r.disk.synced = &pb.HardState{Term: r.term, Vote: r.vote, Commit: log.commit}
	}
	// A restarted voter no longer knows whether it acknowledged a heartbeat shortly
	// before it stopped. If it voted at once, another leader could be elected while the
	// old one still answers reads under its lease. Leaving lastLeaderContact and now at
	// 0 treats the start as contact with a leader, so the voter rejects candidates for
	// ElectionTicks.
	r.resetElectionTimer()
	r.stampBase = 1 + uint64(cfg.Rand.Int63())
	return r, nil
}

// The defaults of Config.
const (
	defaultDriftPercent  = 20
	defaultMaxBatchBytes = 256 << 10
	defaultMaxInflight   = 64
)

// setDefaults replaces zero and negative values. A negative DriftPercent would extend
// the leader's lease beyond the time for which voters reject other candidates.
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
	// A campaign needs two writes of this replica. While one is pending, asking for votes
	// would only disturb those whose disks work.
	if r.now < r.electionDeadline || !r.members.current().isVoter(r.cfg.ID) {
		return
	}
	if r.disk.unsynced {
		r.recordPostponed()
		return
	}
	r.preCampaign()
}

func (r *Raft) tickLeader() {
	if r.unsyncedTicks() >= r.maxUnsyncedTicks() {
		r.giveUpForDisk()
		return
	}
	r.observeQuorum()
	// A leader that cannot reach a quorum cannot commit, yet callers would keep waiting
	// for it.
	if r.now-r.lease.quorumTick >= r.unansweredTicks() {
		r.patience.giveUp(r.cfg.ID, r.now)
		r.keepUnanswered()
		r.becomeFollower(r.term, 0)
		return
	}
	r.keepLeader(false)
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

// Flush sends the proposals made since the last call to the followers. Proposals that
// arrive together thus travel in one message.
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
	r.votes, r.preVotes = nil, nil
	r.progress = nil
	r.lease = lease{}
	r.resetElectionTimer()
}

func (r *Raft) resetElectionTimer() {
	ticks := r.electionTicks()
	r.electionDeadline = r.now + int64(ticks+r.cfg.Rand.Intn(ticks))
}

// send queues a message that may be sent before the disk is synced, unless the term or
// vote is not synced yet (see holdMessages).
func (r *Raft) send(m *pb.RaftMessage) {
	m.From = r.cfg.ID
	m.Term = r.term
	r.messagesBeforeSync = append(r.messagesBeforeSync, m)
}

// sendAfterSync queues a message that may be sent only after the state at this moment
// is synced, because the message promises something that must survive a crash.
func (r *Raft) sendAfterSync(m *pb.RaftMessage) {
	m.From = r.cfg.ID
	if m.Term == 0 {
		m.Term = r.term
	}
	r.messagesAfterSync = append(r.messagesAfterSync, m)
}
