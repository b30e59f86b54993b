package control

import (
	"math/rand"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/raft"
	"github.com/bluebellsail/bluebellsail/internal/snapshot"
	"github.com/bluebellsail/bluebellsail/internal/wal"
)

// maxInbox bounds the messages that wait for the loop; more are dropped, which
// consensus tolerates.
const maxInbox = 4096

// Replica is one running replica of the control group. Its methods are safe for
// concurrent use.
type Replica struct {
	cfg   Config
	log   zerolog.Logger
	start time.Time

	// Owned by the loop.
	rnd       *rand.Rand
	id        *identity
	formation *formation
	core      *raft.Raft
	wal       *wal.Log
	snapshots *snapshot.Store
	snapIndex uint64
	snapBytes int64                // size of the newest snapshot
	unsaved   int64                // what was applied since the newest snapshot, in bytes; see entryCost
	job       *snapshotJob         // under way; nil: none
	taken     int64                // bytes of the log's room that this turn's entries take
	pending   map[uint64]*proposal // by log index
	lastTime  int64                // newest time stamped or applied, Unix milliseconds
	askedTick int64                // when the formation last asked
	resetTick map[uint64]int64     // when the connection to a member was last given up
	role      raft.Role            // as last published
	leader    uint64               // as last published; 0: none known
	// leaderless is since when no leader is known, by cfg.Now.
	leaderless time.Time
	replay     *replay // of what the disk holds; nil once it is applied
	// behind: the state is older than what this replica knows to be committed, by more than
	// one turn applies.
	behind atomic.Bool

	metrics metrics

	view  atomic.Pointer[view]
	leads atomic.Pointer[leadership] // nil unless this replica leads

	inMu      sync.Mutex
	inbox     []*pb.RaftMessage
	proposals []*proposal
	addresses map[uint64]string
	closed    bool

	stateMu   sync.RWMutex // guards cfg.StateMachine and applied
	applied   uint64
	appliedCh chan struct{} // closed at each advance of applied
	hub       *hub

	wake    chan struct{}
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
	abrupt  atomic.Bool // stop without handing over, as a crash would
	err     error       // why the loop stopped; read after stopped is closed
}

// Open starts a replica on its data folder.
func Open(cfg Config) (*Replica, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, log: cfg.Logger, start: cfg.Now(), rnd: rand.New(rand.NewSource(cfg.Seed)),
		addresses: map[uint64]string{}, appliedCh: make(chan struct{}), hub: newHub(),
		wake: make(chan struct{}, 1), stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	if err := r.openDisk(); err != nil {
		return nil, err
	}
	go r.run()
	return r, nil
}

// openDisk loads identity, log and snapshot.
func (r *Replica) openDisk() error {
	fs := r.cfg.FS
	if err := fs.MkdirAll(r.cfg.DataDir); err != nil {
		return errors.Wrap(err, "control: make data folder")
	}
	id, err := loadIdentity(fs, r.cfg.DataDir)
	if err != nil {
		return err
	}
	contents, err := r.openLog(id)
	if err != nil {
		return err
	}
	if id == nil {
		id = newIdentity(&r.cfg)
		if err := saveIdentity(fs, r.cfg.DataDir, id); err != nil {
			return err
		}
	}
	r.id = id
	if id.Joined && !id.Formed {
		if contents.Hard, err = r.firstRecord(); err != nil {
			return err
		}
	}
	r.snapshots, err = snapshot.Open(fs, filepath.Join(r.cfg.DataDir, "snapshots"))
	if err != nil {
		return err
	}
	if !id.Formed {
		r.formation = newFormation(id)
	}
	if err := r.startCore(contents); err != nil {
		return err
	}
	r.beginReplay()
	r.log.Info().Uint64("replica", id.ID).Str("standing", string(r.Membership())).Uint64("applied", r.applied).
		Uint64("commit", r.core.Status().Commit).Int64("log_bytes", r.wal.Bytes()).Str("event", "replica-opened").Send()
	return nil
}

// openLog opens the log beside the identity id, nil for a new disk, and returns
// what it holds.
func (r *Replica) openLog(id *identity) (wal.Contents, error) {
	log, contents, err := wal.Open(r.cfg.FS, filepath.Join(r.cfg.DataDir, "log"), wal.Options{
		SegmentBytes: r.cfg.SegmentBytes, MaxBytes: r.cfg.LogBytes,
	})
	if err != nil {
		return wal.Contents{}, err
	}
	r.wal = log
	if err := checkDisk(id, contents); err != nil {
		return wal.Contents{}, err
	}
	if contents.TornBytes > 0 {
		r.log.Warn().Int64("bytes", contents.TornBytes).Str("event", "torn-log-end-cut").Send()
	}
	return contents, nil
}

// checkDisk refuses a disk of which a part is missing: it would have forgotten
// promises while it keeps its id.
func checkDisk(id *identity, c wal.Contents) error {
	if id == nil && (c.Hard != nil || len(c.Entries) > 0) {
		return errors.New("control: the log has records but the identity file is missing; this replica's disk must be replaced")
	}
	if id != nil && id.Formed && c.Hard == nil {
		return errors.New("control: the identity says that this replica took part, but the log is empty; this replica's disk must be replaced")
	}
	return nil
}

// startCore makes the consensus state from what the disk holds.
func (r *Replica) startCore(c wal.Contents) error {
	first := uint64(0)
	if len(c.Entries) > 0 {
		first = c.Entries[0].Index
	}
	snap, err := r.snapshots.Load(first)
	if err != nil {
		return err
	}
	if snap != nil {
		if err := r.restore(snap); err != nil {
			return err
		}
	}
	r.core, err = raft.New(raft.Config{
		ID: r.id.ID, ElectionTicks: r.cfg.ElectionTicks, HeartbeatTicks: r.cfg.HeartbeatTicks,
		DriftPercent: r.cfg.DriftPercent, Rand: r.rnd, FirstEntry: r.newTerm,
	}, raft.State{Hard: c.Hard, Snapshot: snap, Entries: c.Entries, Members: r.id.baseMembers()})
	if err != nil {
		return err
	}
	r.pending = map[uint64]*proposal{}
	r.resetTick = map[uint64]int64{}
	r.start = r.cfg.Now()
	r.leaderless = r.start
	r.publish()
	return nil
}

// restore replaces the state machine's state by a snapshot.
func (r *Replica) restore(s *pb.Snapshot) error {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	if err := r.cfg.StateMachine.Restore(s.Data); err != nil {
		return errors.Wrap(err, "control: restore snapshot")
	}
	r.snapIndex, r.snapBytes, r.unsaved = s.Index, int64(len(s.Data)), 0
	r.setApplied(s.Index)
	r.hub.reset()
	return nil
}

// newTerm is the first command of a leader's term.
func (r *Replica) newTerm(term uint64) []byte {
	cmd := &pb.Command{
		Actor: r.cfg.Host, TimeMs: r.stampTime(),
		Body: &pb.Command_NewTerm{NewTerm: &pb.NewTerm{Term: term, Leader: r.id.ID}},
	}
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil
	}
	return data
}

// stampTime returns the wall time in Unix milliseconds, never less than what was
// stamped or applied before.
func (r *Replica) stampTime() int64 {
	r.lastTime = max(r.lastTime, r.cfg.Wall().UnixMilli())
	return r.lastTime
}

// ticksNow is the time since the start, in ticks.
func (r *Replica) ticksNow() int64 {
	return int64(r.cfg.Now().Sub(r.start) / r.cfg.TickInterval)
}

// ID is the replica's id. It changes only when a lost disk is found out, and
// then before the replica has taken part.
func (r *Replica) ID() uint64 { return r.view.Load().id }

// Membership is the replica's part in the group as it knows it itself.
func (r *Replica) Membership() MembershipState { return r.view.Load().standing }

// Joining tells whether the replica isn't a voter of a group: it waits to be added, or is a learner.
func (r *Replica) Joining() bool {
	s := r.Membership()
	return s == MembershipNone || s == MembershipLearner
}

// Done is closed when the replica has stopped, by Close or by a fault of its disk.
func (r *Replica) Done() <-chan struct{} { return r.stopped }

// Err says why the replica stopped; nil after Close or while it runs.
func (r *Replica) Err() error {
	select {
	case <-r.stopped:
		return r.err
	default:
		return nil
	}
}

// Close stops the replica; a leader hands over first. Proposals under way end with an unknown outcome.
func (r *Replica) Close() error {
	r.once.Do(func() { close(r.stop) })
	<-r.stopped
	return r.err
}

// wakeLoop lets the loop take its next turn now.
func (r *Replica) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
