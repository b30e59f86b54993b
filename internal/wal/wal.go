// Package wal implements the write-ahead log of one replica: hard states and log
// entries in segment files. Each Append writes one frame with one sync, however many
// records it holds.
//
// When the log is opened, a torn last frame is truncated: it was never synced, so
// nothing was acknowledged because of it. An invalid frame followed by a valid one
// means that synced bytes were damaged; Open then fails with the file and the offset.
// Damage to the very last synced frame cannot be distinguished from a torn write.
package wal

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	segmentSuffix = ".wal"
	// hardStateReserve is the number of bytes beyond the cap kept for frames without
	// entries, so that a replica with a full log can still vote.
	hardStateReserve = 64 << 10
	// defaultSegmentBytes and defaultMaxBytes: see Options.
	defaultSegmentBytes = 4 << 20
	defaultMaxBytes     = 256 << 20
)

// Options configure a log; a zero field takes the default.
type Options struct {
	// SegmentBytes is the size after which a new segment is started; default 4 MiB.
	SegmentBytes int64
	// MaxBytes is the cap on the total size of all segments; default 256 MiB.
	MaxBytes int64
}

// FullError reports that an append would exceed the cap.
type FullError struct {
	Bytes, Wanted, Max int64
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("wal: the log has %d bytes; appending %d more would exceed the cap of %d", e.Bytes, e.Wanted, e.Max)
}

// CorruptError reports that synced bytes of a segment are damaged.
type CorruptError struct {
	File   string
	Offset int64
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is damaged at offset %d, with valid records after it; this replica's disk must be replaced", e.File, e.Offset)
}

// Contents is what a log contains.
type Contents struct {
	Hard    *pb.HardState // nil: none was written
	Entries []*pb.LogEntry
	// TornBytes is the number of bytes truncated at the end.
	TornBytes int64
}

type segment struct {
	name      string
	seq       uint64
	bytes     int64
	lastIndex uint64 // highest index of an entry written to it; 0: none
}

// Log is an open write-ahead log. It is not safe for concurrent use.
type Log struct {
	fs       FS
	dir      string
	opts     Options
	segments []*segment
	file     File
	hard     *pb.HardState
	syncs    uint64
	failure  error
}

// Open reads the log in dir, creating it if there is none.
func Open(fs FS, dir string, opts Options) (*Log, Contents, error) {
	defaults.Set(&opts.SegmentBytes, defaultSegmentBytes)
	defaults.Set(&opts.MaxBytes, defaultMaxBytes)
	l := &Log{fs: fs, dir: dir, opts: opts}
	if err := MakeDir(fs, dir); err != nil {
		return nil, Contents{}, errors.Wrap(err, "wal")
	}
	c, err := l.load()
	if err != nil {
		return nil, Contents{}, err
	}
	l.hard = c.Hard
	return l, c, l.openLast()
}

func (l *Log) load() (Contents, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return Contents{}, errors.Wrap(err, "wal: list segments")
	}
	for _, name := range names {
		if !strings.HasSuffix(name, segmentSuffix) {
			continue
		}
		s := &segment{name: name}
		if _, err := fmt.Sscanf(name, "%016x"+segmentSuffix, &s.seq); err != nil {
			return Contents{}, errors.Errorf("wal: %s is not a valid segment name", name)
		}
		l.segments = append(l.segments, s)
	}
	var c Contents
	for i, s := range l.segments {
		if i > 0 && s.seq != l.segments[i-1].seq+1 {
			return Contents{}, errors.Errorf("wal: the segment before %s is missing", l.path(s))
		}
		if err := l.loadSegment(s, i == len(l.segments)-1, &c); err != nil {
			return Contents{}, err
		}
	}
	return c, nil
}

func (l *Log) loadSegment(s *segment, last bool, c *Contents) error {
	data, err := l.fs.ReadFile(l.path(s))
	if err != nil {
		return errors.Wrap(err, "wal: read segment")
	}
	off := 0
	for off < len(data) {
		payload, err := framePayload(data[off:])
		if err != nil {
			return l.truncateTorn(s, data, off, last, c)
		}
		records, err := decodeRecords(payload)
		if err != nil {
			return errors.Wrapf(err, "wal: %s at offset %d", l.path(s), off)
		}
		if err := c.apply(records, s); err != nil {
			return errors.Wrapf(err, "wal: %s at offset %d", l.path(s), off)
		}
		off += frameHeader + len(payload)
	}
	s.bytes = int64(off)
	return nil
}

// truncateTorn truncates a torn end of the last segment, or fails if synced bytes are
// damaged.
func (l *Log) truncateTorn(s *segment, data []byte, off int, last bool, c *Contents) error {
	// Truncating here with synced records after it would silently lose entries that
	// this replica has acknowledged. A new segment is started only after a complete
	// synced frame, so an invalid frame in an earlier segment is damage too.
	if !last || hasFrame(data[off:]) {
		return &CorruptError{File: l.path(s), Offset: int64(off)}
	}
	c.TornBytes = int64(len(data) - off)
	s.bytes = int64(off)
	return errors.Wrap(l.fs.Truncate(l.path(s), int64(off)), "wal: truncate torn end")
}

// apply applies records in the order of writing; an entry replaces all entries from its
// index on.
func (c *Contents) apply(records []record, s *segment) error {
	for _, r := range records {
		if r.reset {
			c.Entries = nil
			continue
		}
		if r.hard != nil {
			c.Hard = r.hard
			continue
		}
		if err := c.addEntry(r.entry); err != nil {
			return err
		}
		s.lastIndex = max(s.lastIndex, r.entry.Index)
	}
	return nil
}

func (c *Contents) addEntry(e *pb.LogEntry) error {
	if n := len(c.Entries); n > 0 {
		first := c.Entries[0].Index
		next := c.Entries[n-1].Index + 1
		switch {
		case e.Index < first:
			c.Entries = nil
		case e.Index <= next:
			c.Entries = c.Entries[:e.Index-first]
		default:
			return errors.Errorf("entry %d follows entry %d", e.Index, next-1)
		}
	}
	c.Entries = append(c.Entries, e)
	return nil
}

func (l *Log) path(s *segment) string { return filepath.Join(l.dir, s.name) }

// lastSegment returns the segment being written.
func (l *Log) lastSegment() *segment { return l.segments[len(l.segments)-1] }

func (l *Log) openLast() error {
	if len(l.segments) == 0 {
		return l.startSegment(1)
	}
	out, err := l.fs.Append(l.path(l.lastSegment()))
	l.file = out
	return errors.Wrap(err, "wal: open segment")
}

// startSegment creates segment seq. It starts with the hard state, so that the segments
// before it can be removed.
func (l *Log) startSegment(seq uint64) error {
	s := &segment{name: fmt.Sprintf("%016x%s", seq, segmentSuffix), seq: seq}
	out, err := l.fs.Create(l.path(s))
	if err != nil {
		return errors.Wrap(err, "wal: create segment")
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file = out
	l.segments = append(l.segments, s)
	if l.hard != nil {
		if err := l.write(false, l.hard, nil); err != nil {
			return err
		}
	}
	return errors.Wrap(l.fs.SyncDir(l.dir), "wal: sync directory")
}

// Append writes hs (if not nil) and entries, and returns once they are synced. After a
// failed write or sync the log rejects everything: the content of the disk is then
// unknown, and a later successful sync would not prove anything.
func (l *Log) Append(hs *pb.HardState, entries []*pb.LogEntry) error {
	if err := l.prepare(hs); err != nil {
		return err
	}
	return l.write(false, hs, entries)
}

// Reset records that a leader's snapshot, already durable, replaces all entries before,
// and writes hs. Otherwise the next start would find entries that contradict the
// snapshot after it, and their older terms would let a candidate that lacks committed
// entries win this replica's vote.
func (l *Log) Reset(hs *pb.HardState) error {
	if err := l.prepare(hs); err != nil {
		return err
	}
	return l.write(true, hs, nil)
}

// prepare makes the log ready for a frame that sets the hard state hs.
func (l *Log) prepare(hs *pb.HardState) error {
	if l.failure != nil {
		return l.failure
	}
	if l.lastSegment().bytes >= l.opts.SegmentBytes {
		if err := l.Rotate(); err != nil {
			return err
		}
	}
	if hs != nil {
		l.hard = hs
	}
	return nil
}

func (l *Log) write(reset bool, hs *pb.HardState, entries []*pb.LogEntry) error {
	frame, err := encodeFrame(reset, hs, entries)
	if err != nil {
		return err
	}
	limit := l.opts.MaxBytes
	if len(entries) == 0 {
		limit += hardStateReserve
	}
	if l.Bytes()+int64(len(frame)) > limit {
		return &FullError{Bytes: l.Bytes(), Wanted: int64(len(frame)), Max: limit}
	}
	if _, err := l.file.Write(frame); err != nil {
		l.failure = errors.Wrap(err, "wal: write")
		return l.failure
	}
	if err := l.file.Sync(); err != nil {
		l.failure = errors.Wrap(err, "wal: sync")
		return l.failure
	}
	l.syncs++
	s := l.lastSegment()
	s.bytes += int64(len(frame))
	for _, e := range entries {
		s.lastIndex = max(s.lastIndex, e.Index)
	}
	return nil
}

// Rotate starts a new segment, so that the ones before it can be removed.
func (l *Log) Rotate() error {
	err := l.startSegment(l.lastSegment().seq + 1)
	if err != nil {
		l.failure = err
	}
	return err
}

// RemoveUpTo removes the leading segments that contain no entry after index.
func (l *Log) RemoveUpTo(index uint64) error {
	n := 0
	for n < len(l.segments)-1 && l.segments[n].lastIndex <= index {
		n++
	}
	for _, s := range l.segments[:n] {
		if err := l.fs.Remove(l.path(s)); err != nil {
			return errors.Wrap(err, "wal: remove segment")
		}
		// Removals must reach the disk in order, or a crash could leave a gap between
		// segments, which Open rejects.
		if err := l.fs.SyncDir(l.dir); err != nil {
			return errors.Wrap(err, "wal: sync directory")
		}
	}
	l.segments = l.segments[n:]
	return nil
}

// Bytes returns the total size of all segments.
func (l *Log) Bytes() int64 {
	var n int64
	for _, s := range l.segments {
		n += s.bytes
	}
	return n
}

// FreeBytes returns how many more bytes of entries fit under the cap.
func (l *Log) FreeBytes() int64 { return l.opts.MaxBytes - l.Bytes() }

// Syncs returns the number of syncs of records so far.
func (l *Log) Syncs() uint64 { return l.syncs }

// Close closes the last segment.
func (l *Log) Close() error { return l.file.Close() }
