package control

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/raft"
)

// slowSyncThreshold is the duration from which a write to the log is logged as slow, a
// fifth of an election timeout of 500 ms. What this replica promises (votes,
// acknowledged entries) waits for the write; heartbeats, their replies and reads don't.
const slowSyncThreshold = 100 * time.Millisecond

// logWrite is a write to the log beside the loop. There is at most one, and only its
// goroutine uses the log meanwhile.
type logWrite struct {
	began   time.Time
	entries int
	bytes   int64 // upper bound on the bytes it adds to the log
	// truncation is set for the removal of segments, which the consensus doesn't wait for.
	truncation bool
	afterSync  []*pb.RaftMessage // messages that promise what is being written
	done       chan error
}

// startWrite carries out a write on its own goroutine and wakes the loop at its end.
func (r *Replica) startWrite(w *logWrite, write func() error) {
	w.began, w.done = time.Now(), make(chan error, 1)
	r.write = w
	r.metrics.writeBegan.Store(w.began.UnixNano())
	go func() {
		w.done <- write()
		r.wakeLoop()
	}()
}

// pollWrite ends the write in flight if it is done.
func (r *Replica) pollWrite() error {
	if r.write == nil {
		return nil
	}
	select {
	case err := <-r.write.done:
		return r.endWrite(err)
	default:
		return nil
	}
}

// awaitWrite waits for the write in flight, if there is one, and ends it.
func (r *Replica) awaitWrite() error {
	if r.write == nil {
		return nil
	}
	return r.endWrite(<-r.write.done)
}

// endWrite sends what waited for the write and reports it to the consensus.
func (r *Replica) endWrite(err error) error {
	w := r.write
	r.write = nil
	r.metrics.writeBegan.Store(0)
	r.logBytes = r.wal.Bytes()
	r.logSlowWrite(w.began, w.entries)
	if err != nil || w.truncation {
		return err
	}
	r.sendAll(w.afterSync)
	r.core.Written()
	return nil
}

func (r *Replica) logSlowWrite(began time.Time, entries int) {
	if took := time.Since(began); took >= slowSyncThreshold {
		r.log.Warn().Str("event", "disk-slow").Dur("took", took).Int("entries", entries).Send()
	}
}

// persist starts the write of a Ready and has its messages wait for it. Without
// anything to write they are sent at once.
func (r *Replica) persist(rd raft.Ready) error {
	if !rd.HasWrite() {
		r.sendAll(rd.MessagesAfterSync)
		return nil
	}
	r.metrics.Syncs.Add(1)
	if rd.Snapshot != nil {
		return r.persistSnapshot(rd)
	}
	w := &logWrite{entries: len(rd.Entries), bytes: entryBytes(rd.Entries), afterSync: rd.MessagesAfterSync}
	r.startWrite(w, func() error { return r.wal.Append(rd.HardState, rd.Entries) })
	return nil
}

// persistSnapshot makes a leader's snapshot durable and restores it, then writes the
// entries after it. It blocks the loop: the state machine and the log must change
// together.
func (r *Replica) persistSnapshot(rd raft.Ready) error {
	if err := r.installSnapshot(rd.Snapshot); err != nil {
		return err
	}
	began := time.Now()
	if err := r.wal.Reset(rd.HardState); err != nil {
		return err
	}
	if err := r.wal.Append(rd.HardState, rd.Entries); err != nil {
		return err
	}
	r.logSlowWrite(began, len(rd.Entries))
	r.logBytes = r.wal.Bytes()
	r.sendAll(rd.MessagesAfterSync)
	r.core.Written()
	return nil
}

// startTruncation removes the log segments that a snapshot replaced, unless there is
// none or a write is in flight.
func (r *Replica) startTruncation() {
	if r.truncateTo == 0 || r.write != nil {
		return
	}
	upTo := r.truncateTo
	r.truncateTo = 0
	r.startWrite(&logWrite{truncation: true}, func() error {
		if err := r.wal.Rotate(); err != nil {
			return err
		}
		return r.wal.RemoveUpTo(upTo)
	})
}

// truncating reports whether a truncation of the log is due or being carried out.
func (r *Replica) truncating() bool {
	return r.truncateTo != 0 || r.write != nil && r.write.truncation
}

// unsyncedBytes returns an upper bound on the bytes that the entries which are not
// synced yet will add to the log.
func (r *Replica) unsyncedBytes() int64 {
	n := entryBytes(r.core.Unwritten())
	if r.write != nil {
		n += r.write.bytes
	}
	return n
}

func entryBytes(entries []*pb.LogEntry) (n int64) {
	for _, e := range entries {
		n += int64(len(e.Data)) + entryOverhead
	}
	return n
}

// reserveLogSpace reserves size bytes of the log for entries of this iteration. It
// returns false if there is not enough space, in which case a snapshot is started or
// already being written. A sixteenth of the cap stays free for the entries with which
// leaders begin their terms: otherwise a full log could never commit again, and so
// never be truncated.
func (r *Replica) reserveLogSpace(size int64) bool {
	if r.logBytes+r.reservedLogBytes+size > r.cfg.LogBytes-r.cfg.LogBytes/16 {
		if err := r.startSnapshot(); err != nil {
			r.log.Error().Err(err).Str("event", "forced-snapshot-failed").Send()
		}
		return false
	}
	r.reservedLogBytes += size
	return true
}

// logGivenUp logs that this replica ended its leadership because of its disk.
func (r *Replica) logGivenUp(g *raft.GivenUp) {
	if g == nil {
		return
	}
	r.metrics.GivenUpForDisk.Add(1)
	r.log.Warn().Uint64("term", g.Term).Uint64("successor", g.Successor).
		Dur("pending", time.Duration(g.PendingTicks)*r.cfg.TickInterval).Str("event", "leader-disk-stalled").Send()
}
