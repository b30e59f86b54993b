package raft

import (
	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// entryLog holds the entries after a snapshot. The terms of earlier entries are
// unknown.
type entryLog struct {
	snapIndex uint64
	snapTerm  uint64
	entries   []*pb.LogEntry // entries[i] has the index snapIndex+1+i
	// handed is the last index handed to the disk: all up to stable, and the entries of
	// the write in flight that were not truncated since.
	handed  uint64
	stable  uint64 // last index written to disk and synced
	commit  uint64
	applied uint64 // last index that Ready returned and Advance confirmed
}

func newLog(st State) (*entryLog, error) {
	l := &entryLog{}
	if st.Snapshot != nil {
		l.snapIndex = st.Snapshot.Index
		l.snapTerm = st.Snapshot.Term
	}
	for _, e := range st.Entries {
		if e.Index == l.snapIndex && e.Term != l.snapTerm {
			// A snapshot from a leader was made durable, and the replica stopped before
			// its log was reset: from this entry on, the log contradicts the snapshot.
			break
		}
		if e.Index <= l.snapIndex {
			continue
		}
		if e.Index != l.lastIndex()+1 {
			return nil, errors.Wrapf(ErrCorruptState, "entry %d follows entry %d", e.Index, l.lastIndex())
		}
		l.entries = append(l.entries, e)
	}
	l.handed = l.lastIndex()
	l.stable = l.lastIndex()
	l.commit = l.snapIndex
	l.applied = l.snapIndex
	if st.Hard != nil && st.Hard.Commit > l.lastIndex() {
		// The hard state is written with the entries, or after the snapshot, up to its
		// commit index. Committed entries were therefore on this disk and are now
		// missing.
		return nil, errors.Wrapf(ErrCorruptState, "entry %d is committed but the log ends at %d", st.Hard.Commit, l.lastIndex())
	}
	if st.Hard != nil {
		l.commit = max(l.commit, st.Hard.Commit)
	}
	return l, nil
}

func (l *entryLog) lastIndex() uint64 { return l.snapIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index, or false if it isn't known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.snapIndex {
		return l.snapTerm, true
	}
	if index < l.snapIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapIndex-1].Term, true
}

func (l *entryLog) append(e *pb.LogEntry) { l.entries = append(l.entries, e) }

// between returns the entries with from <= index <= to.
func (l *entryLog) between(from, to uint64) []*pb.LogEntry {
	if from > to {
		return nil
	}
	return l.entries[from-l.snapIndex-1 : to-l.snapIndex]
}

// entryBytes is the memory of an entry beside its data.
const entryBytes = 200

// bytes returns the memory of the entries with from <= index <= to.
func (l *entryLog) bytes(from, to uint64) (n int) {
	for _, e := range l.between(from, to) {
		n += entryBytes + len(e.Data)
	}
	return n
}

// batch returns entries from index on: at least one, and as many as fit into maxBytes.
func (l *entryLog) batch(from uint64, maxBytes int) []*pb.LogEntry {
	all := l.between(from, l.lastIndex())
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// truncateFrom discards the entries from index on.
func (l *entryLog) truncateFrom(index uint64) {
	n := index - l.snapIndex - 1
	l.entries = append([]*pb.LogEntry(nil), l.entries[:n]...)
	// The write in flight may still put such entries on the disk; the next one replaces
	// them there, because it begins at index.
	l.handed = min(l.handed, index-1)
	l.stable = min(l.stable, index-1)
}

// upToDate reports whether a log that ends at (index, term) is at least as up to date
// as l (thesis, section 3.6.1).
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// conflictHint returns the last index, at or before index, that could match a leader
// whose entry at index has another term.
func (l *entryLog) conflictHint(index uint64) uint64 {
	if index > l.lastIndex() {
		return l.lastIndex()
	}
	bad, _ := l.term(index)
	for index > l.commit {
		t, ok := l.term(index)
		if !ok || t != bad {
			break
		}
		index--
	}
	return index
}

// compact discards the entries up to index, which a snapshot covers.
func (l *entryLog) compact(index uint64) {
	if index <= l.snapIndex || index > l.applied || index > l.stable {
		return
	}
	t, _ := l.term(index)
	l.entries = append([]*pb.LogEntry(nil), l.entries[index-l.snapIndex:]...)
	l.snapIndex = index
	l.snapTerm = t
}

// restore replaces the log with a snapshot.
func (l *entryLog) restore(s *pb.Snapshot) {
	*l = entryLog{snapIndex: s.Index, snapTerm: s.Term, handed: s.Index, stable: s.Index, commit: s.Index, applied: s.Index}
}
