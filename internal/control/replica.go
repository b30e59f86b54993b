package control

import (
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

// maxInbox bounds the messages queued for the loop; further ones are dropped, which
// consensus tolerates.
const maxInbox = 4096

// Replica is one running replica of the control group. Its methods are safe for
// concurrent use.
type Replica struct {
	cfg   Config
	log   zerolog.Logger
	start time.Time

	// Owned by the loop.
	id                   *identity
	formation            *formation
	core                 *raft.Raft
	wal                  *wal.Log
	snapshots            *snapshot.Store
	snapIndex            uint64
	snapBytes            int64                // size of the newest snapshot
	bytesSinceSnapshot   int64                // bytes applied since the newest snapshot, see entryApplyCost
	job                  *snapshotJob         // the snapshot being written; nil: none
	logBytes             int64                // size of the log after the last write
	write                *logWrite            // the write in flight, which uses wal; nil: none
	truncateTo           uint64               // segments of the log up to this index are to be removed; 0: none
	reservedLogBytes     int64                // bytes of the log reserved for entries that are not synced
	pending              map[uint64]*proposal // by log index
	registrations        registrations
	lastTime             int64             // newest time stamped or applied, Unix milliseconds
	nextFormationRequest int64             // tick at which formation requests are due
	lastConnReset        map[uint64]int64  // when the connection to each member was last reset
	ledSince             int64             // when this replica became the leader, if it leads
	recordVersions       map[uint64]uint32 // of the replicas heard from, by id
	role                 raft.Role         // as last published
	leader               uint64            // as last published; 0: none known
	// leaderlessSince is the time, by cfg.Now, since which no leader is known.
	leaderlessSince time.Time
	replay          *replay // replay of the log on disk; nil once it is done
	// lagging is set while the state is older than what this replica knows to be
	// committed, by more than one iteration applies.
	lagging atomic.Bool

	metrics metrics

	view       atomic.Pointer[view]
	leadership atomic.Pointer[leadership] // nil unless this replica leads

	inMu      sync.Mutex
	inbox     []*pb.RaftMessage
	proposals []*proposal
	addresses map[uint64]string
	closed    bool

	stateMu   sync.RWMutex // guards cfg.StateMachine and applied
	applied   uint64
	appliedCh chan struct{} // closed when applied advances
	changes   *changeBuffer

	wake         chan struct{}
	stop         chan struct{}
	stopped      chan struct{}
	once         sync.Once
	skipHandOver atomic.Bool // stop without leadership transfer, as a crash would
	err          error       // why the loop stopped; read only after stopped is closed
}

// Open starts a replica on its data directory.
func Open(cfg Config) (*Replica, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, log: cfg.Logger, start: cfg.Now(),
		recordVersions: map[uint64]uint32{}, addresses: map[uint64]string{}, appliedCh: make(chan struct{}), changes: newChangeBuffer(),
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
	if err := makeDataDir(fs, r.cfg.DataDir); err != nil {
		return err
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
		if contents.Hard, err = r.writeFirstRecord(); err != nil {
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
	r.startReplay()
	r.log.Info().Uint64("replica", id.ID).Str("standing", string(r.Membership())).Uint64("applied", r.applied).
		Uint64("commit", r.core.Status().Commit).Int64("log_bytes", r.logBytes).Str("event", "replica-opened").Send()
	return nil
}

// makeDataDir creates the data directory if it does not exist. The directory around one that
// exists is left alone, as the process may have no access to it.
func makeDataDir(fs wal.FS, dir string) error {
	if _, err := fs.List(dir); err == nil {
		return nil
	}
	return errors.Wrap(wal.MakeDir(fs, dir), "control: data directory")
}

// openLog opens the log and returns its contents. id is the identity on the same disk,
// nil for a new disk.
func (r *Replica) openLog(id *identity) (wal.Contents, error) {
	log, contents, err := wal.Open(r.cfg.FS, filepath.Join(r.cfg.DataDir, "log"), wal.Options{
		SegmentBytes: r.cfg.SegmentBytes, MaxBytes: r.cfg.LogBytes,
	})
	if err != nil {
		return wal.Contents{}, err
	}
	r.wal, r.logBytes = log, log.Bytes()
	if err := checkDisk(id, contents); err != nil {
		return wal.Contents{}, err
	}
	if contents.TornBytes > 0 {
		r.log.Warn().Int64("bytes", contents.TornBytes).Str("event", "torn-log-end-cut").Send()
	}
	return contents, nil
}

// checkDisk rejects a disk of which a part is missing: the replica would keep its ID
// but no longer know its promises.
func checkDisk(id *identity, c wal.Contents) error {
	if id == nil && (c.Hard != nil || len(c.Entries) > 0) {
		return errors.New("control: the log has records but the identity file is missing; this replica's disk must be replaced")
	}
	if id != nil && id.Formed && c.Hard == nil {
		return errors.New("control: by its identity file this replica participated in consensus, but the log is empty; this replica's disk must be replaced")
	}
	return nil
}

// startCore creates the consensus state from the contents of the disk.
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
		DriftPercent: r.cfg.DriftPercent, Rand: raft.NewRand(r.cfg.Seed, r.id.ID), FirstEntry: r.newTermEntry,
	}, raft.State{Hard: c.Hard, Snapshot: snap, Entries: c.Entries, Members: r.id.baseMembers()})
	if err != nil {
		return err
	}
	if err := r.finishInstallation(snap, c); err != nil {
		return err
	}
	r.pending = map[uint64]*proposal{}
	r.lastConnReset = map[uint64]int64{}
	r.start = r.cfg.Now()
	r.leaderlessSince = r.start
	r.publish()
	return nil
}

// finishInstallation resets the log if a crash came after a leader's snapshot was made
// durable and before that. Entries appended after the snapshot would otherwise follow
// ones from before it.
func (r *Replica) finishInstallation(snap *pb.Snapshot, c wal.Contents) error {
	if snap == nil || len(c.Entries) == 0 || continues(c.Entries, snap) {
		return nil
	}
	if err := r.wal.Reset(c.Hard); err != nil {
		return err
	}
	r.logBytes = r.wal.Bytes()
	return nil
}

// continues reports whether entries, which are contiguous, hold the last one that a
// snapshot covers, or begin after it.
func continues(entries []*pb.LogEntry, snap *pb.Snapshot) bool {
	first, n := entries[0].Index, uint64(len(entries))
	if snap.Index < first {
		return true
	}
	return snap.Index-first < n && entries[snap.Index-first].Term == snap.Term
}

// restore replaces the state machine's state with that of a snapshot.
func (r *Replica) restore(s *pb.Snapshot) error {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	if err := r.cfg.StateMachine.Restore(s.Data); err != nil {
		return errors.Wrap(err, "control: restore snapshot")
	}
	r.snapIndex, r.snapBytes, r.bytesSinceSnapshot = s.Index, int64(len(s.Data)), 0
	r.setApplied(s.Index)
	r.changes.reset()
	return nil
}

// newTermEntry returns the first command of a leader's term.
func (r *Replica) newTermEntry(term uint64) []byte {
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

// stampTime returns the wall clock in Unix milliseconds, but never less than a time
// stamped or applied before.
func (r *Replica) stampTime() int64 {
	r.lastTime = max(r.lastTime, r.cfg.Wall().UnixMilli())
	return r.lastTime
}

// ticksNow returns the time since the start, in ticks.
func (r *Replica) ticksNow() int64 {
	return int64(r.cfg.Now().Sub(r.start) / r.cfg.TickInterval)
}

// ID returns the replica's ID. It changes only when a lost disk is detected, and then
// before the replica has participated.
func (r *Replica) ID() uint64 { return r.view.Load().id }

// Membership returns the replica's membership in the group as far as the replica itself
// knows.
func (r *Replica) Membership() MembershipState { return r.view.Load().membership }

// Joining reports whether the replica waits to be added to a group, or is a learner.
func (r *Replica) Joining() bool {
	s := r.Membership()
	return s == MembershipNone || s == MembershipLearner
}

// Done returns a channel that is closed when the replica has stopped, by Close or by a
// disk fault.
func (r *Replica) Done() <-chan struct{} { return r.stopped }

// Err returns why the replica stopped; nil after Close or while it runs.
func (r *Replica) Err() error {
	select {
	case <-r.stopped:
		return r.err
	default:
		return nil
	}
}

// Close stops the replica; a leader first transfers its leadership. Pending proposals
// end with an unknown outcome.
func (r *Replica) Close() error {
	r.once.Do(func() { close(r.stop) })
	<-r.stopped
	return r.err
}

// wakeLoop makes the loop start its next iteration now.
func (r *Replica) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
