package control

import (
	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// retainedEntries is the number of entries before a snapshot that the leader keeps in
// memory, so that a follower that is slightly behind needs no snapshot.
const retainedEntries = 1000

// Capturer is a StateMachine whose snapshot can be encoded concurrently with later
// calls of Apply: Capture copies the state, encode encodes the copy.
type Capturer interface {
	Capture() (encode func() ([]byte, error), err error)
}

// snapshotJob is a snapshot that is encoded and written outside the loop. Inside the
// loop a large one would take longer than the lease, and each snapshot would cost the
// leader its leadership.
type snapshotJob struct {
	snap *pb.Snapshot
	done chan error
}

// maybeSnapshot handles a finished snapshot, and starts a new one when it is due.
func (r *Replica) maybeSnapshot() error {
	if err := r.finishSnapshot(); err != nil {
		return err
	}
	r.startTruncation()
	if r.snapshotDue() {
		return r.startSnapshot()
	}
	return nil
}

// snapshotDue reports whether enough was applied since the last snapshot or the log has
// grown to half its cap, and no snapshot is being written.
func (r *Replica) snapshotDue() bool {
	if r.job != nil || r.truncating() {
		return false
	}
	grown := r.logBytes > r.cfg.LogBytes/2
	return r.applied-r.snapIndex >= r.cfg.SnapshotEntries || r.bytesSinceSnapshot >= r.snapshotThreshold() || grown
}

// applicable returns those of the committed entries that may be applied now: all, but
// once a snapshot is due only those that this replica's disk has synced. A snapshot of
// later ones would leave a gap between the entries before and after it in the log.
// Without the limit, a leader that commits by the others' disks and is always ahead of
// its own would never take one.
func (r *Replica) applicable(committed []*pb.LogEntry) []*pb.LogEntry {
	if !r.snapshotDue() {
		return committed
	}
	for i, e := range committed {
		if e.Index > r.core.Stable() {
			return committed[:i]
		}
	}
	return committed
}

const (
	// entryApplyCost is the fixed cost of applying an entry, expressed in bytes and
	// added to its size: a bill or grant of a hundred bytes takes 3 µs to apply; a
	// routing table of 150 routes, 3.4 KB packed with its document, takes 0.8 ms.
	entryApplyCost = 256
)

// snapshotThreshold returns the number of bytes of entries that a replica applies
// between two snapshots, and so roughly how much it replays after a start: as many as
// the newest snapshot has, but at least Config.SnapshotBytes. A snapshot of 242 KB
// takes 2.6 ms to encode; as many bytes take 2 ms to apply if they are bills and
// grants, and 50 ms if they are routing tables. Four times as many, which would make
// the cost of snapshots small compared to any entries, took 0.2 s.
//
// A threshold by number of entries alone, one snapshot every 10,000, was not enough: a
// group that had received 270 routing tables in a minute replayed them all after a
// start, for 5 s on a tenth of a processor, and after a day of tables for longer than
// any operator would wait.
func (r *Replica) snapshotThreshold() int64 { return max(r.cfg.SnapshotBytes, r.snapBytes) }

// startSnapshot captures the state unless a snapshot is being written, nothing was
// applied since the last one, or more was applied than this replica's disk has synced.
func (r *Replica) startSnapshot() error {
	if r.job != nil || r.applied == r.snapIndex || r.applied > r.core.Stable() {
		return nil
	}
	encode, err := r.capture()
	if err != nil {
		return errors.Wrap(err, "control: capture state")
	}
	term, ok := r.core.TermAt(r.applied)
	if !ok {
		return errors.Errorf("control: the term of applied index %d is unknown", r.applied)
	}
	r.job = &snapshotJob{
		snap: &pb.Snapshot{Index: r.applied, Term: term, Members: r.core.MembersAt(r.applied)},
		done: make(chan error, 1),
	}
	r.bytesSinceSnapshot = 0
	go r.runSnapshot(r.job, encode)
	return nil
}

func (r *Replica) capture() (func() ([]byte, error), error) {
	if c, ok := r.cfg.StateMachine.(Capturer); ok {
		return c.Capture()
	}
	data, err := r.cfg.StateMachine.Snapshot()
	return func() ([]byte, error) { return data, nil }, err
}

// runSnapshot encodes and writes a snapshot on its own goroutine.
func (r *Replica) runSnapshot(job *snapshotJob, encode func() ([]byte, error)) {
	data, err := encode()
	if err == nil {
		job.snap.Data = data
		err = r.snapshots.Save(job.snap)
	}
	job.done <- err
	r.wakeLoop()
}

// finishSnapshot removes what a finished snapshot replaces: the log segments before the
// older of the two snapshots kept, or, if the log is more than half full, those before
// the new one.
func (r *Replica) finishSnapshot() error {
	if r.job == nil {
		return nil
	}
	job := r.job
	select {
	case err := <-job.done:
		r.job = nil
		if err != nil {
			return err
		}
	default:
		return nil
	}
	if job.snap.Index <= r.snapIndex {
		return nil // a newer snapshot of a leader was installed meanwhile
	}
	r.snapIndex, r.snapBytes = job.snap.Index, int64(len(job.snap.Data))
	r.core.SnapshotTaken(job.snap.Index, len(job.snap.Data))
	r.metrics.Snapshots.Add(1)
	r.log.Info().Uint64("index", job.snap.Index).Int("bytes", len(job.snap.Data)).Str("event", "snapshot-taken").Send()
	if job.snap.Index > retainedEntries {
		r.core.Compact(job.snap.Index - retainedEntries)
	}
	return r.scheduleTruncation(job.snap.Index)
}

// scheduleTruncation makes the next write one that removes the segments before a
// snapshot.
func (r *Replica) scheduleTruncation(newest uint64) error {
	r.truncateTo = newest
	if r.logBytes <= r.cfg.LogBytes/2 {
		oldest, err := r.snapshots.Oldest()
		if err != nil {
			return err
		}
		r.truncateTo = oldest
	}
	return nil
}

// installSnapshot makes a leader's snapshot durable and restores it.
func (r *Replica) installSnapshot(s *pb.Snapshot) error {
	if err := r.snapshots.Save(s); err != nil {
		return err
	}
	r.metrics.Installed.Add(1)
	r.log.Info().Uint64("index", s.Index).Int("bytes", len(s.Data)).Str("event", "snapshot-installed").Send()
	return r.restore(s)
}

// attachSnapshot puts the newest snapshot into a message, or returns false if there is
// none.
func (r *Replica) attachSnapshot(m *pb.RaftMessage) bool {
	snap, err := r.snapshots.Load(0)
	if err != nil || snap == nil {
		r.log.Error().Err(err).Str("event", "snapshot-not-sent").Send()
		return false
	}
	m.Snapshot = snap
	return true
}
