// Package snapshot stores a replica's snapshots in files. A snapshot is written to a
// temporary file, synced and renamed, and the directory is synced: after a crash there
// is either the complete file or none. The two newest are kept, so that if the newest
// is damaged, the one before and the log can replace it.
package snapshot

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wal"
)

const (
	suffix      = ".snap"
	tempSuffix  = ".tmp" // a file being written; renamed once it is synced
	magic       = 0x5aa95b07
	headerBytes = 12
	// maxKept is the number of snapshots kept: the newest, and the one before in case
	// the newest is damaged.
	maxKept = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// DamagedError reports that no snapshot can be used together with the log.
type DamagedError struct {
	File string
	// LogFirst is the first index still in the log; 0: none.
	LogFirst uint64
}

// Error implements error.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("snapshot: %s is damaged and the log, which starts at %d, does not reach back to an older snapshot; this replica's disk must be replaced", e.File, e.LogFirst)
}

// Store is a directory of snapshots. It is safe for concurrent use.
type Store struct {
	fs  wal.FS
	dir string
	mu  sync.Mutex // guards the file names, not the writing of a temporary file
}

// Open opens the directory and removes temporary files left by a crash.
func Open(fs wal.FS, dir string) (*Store, error) {
	if err := wal.MakeDir(fs, dir); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	s := &Store{fs: fs, dir: dir}
	names, err := fs.List(dir)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot: list")
	}
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := fs.Remove(filepath.Join(dir, name)); err != nil {
				return nil, errors.Wrap(err, "snapshot: remove temporary file")
			}
		}
	}
	return s, nil
}

func fileName(s *pb.Snapshot) string {
	return fmt.Sprintf("%016x-%016x%s", s.Index, s.Term, suffix)
}

// files returns the file names of the snapshots, newest first.
func (s *Store) files() ([]string, error) {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot: list")
	}
	var out []string
	for i := len(names) - 1; i >= 0; i-- {
		if strings.HasSuffix(names[i], suffix) {
			out = append(out, names[i])
		}
	}
	return out, nil
}

// Save makes snap durable and removes all but the two newest snapshots.
func (s *Store) Save(snap *pb.Snapshot) error {
	body, err := proto.Marshal(snap)
	if err != nil {
		return errors.Wrap(err, "snapshot: encode")
	}
	name := filepath.Join(s.dir, fileName(snap))
	if err := wal.WriteFile(s.fs, name+tempSuffix, withHeader(body)); err != nil {
		return errors.Wrap(err, "snapshot")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fs.Rename(name+tempSuffix, name); err != nil {
		return errors.Wrap(err, "snapshot: rename")
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return errors.Wrap(err, "snapshot: sync directory")
	}
	return s.prune()
}

// withHeader prepends the header to an encoded snapshot: magic, length and CRC of the
// body, all big-endian.
func withHeader(body []byte) []byte {
	data := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(data, magic)
	binary.BigEndian.PutUint32(data[4:], uint32(len(body)))
	binary.BigEndian.PutUint32(data[8:], crc32.Checksum(body, castagnoli))
	return append(data, body...)
}

// prune removes all but the newest snapshots. mu must be held.
func (s *Store) prune() error {
	names, err := s.files()
	if err != nil {
		return err
	}
	if len(names) <= maxKept {
		return nil
	}
	for _, name := range names[maxKept:] {
		if err := s.fs.Remove(filepath.Join(s.dir, name)); err != nil {
			return errors.Wrap(err, "snapshot: remove")
		}
	}
	return errors.Wrap(s.fs.SyncDir(s.dir), "snapshot: sync directory")
}

// Load returns the newest valid snapshot, or nil if there never was one. If the newest
// is damaged, an older one is used only if the log continues from it: logFirst is the
// first index in the log, 0 for an empty log.
func (s *Store) Load(logFirst uint64) (*pb.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names, err := s.files()
	if err != nil || len(names) == 0 {
		return nil, err
	}
	for i, name := range names {
		snap, err := s.read(name)
		if err != nil {
			continue
		}
		// Otherwise the entries between the older snapshot and the log would be
		// missing, and the replica would serve a state from which committed changes are
		// missing.
		if i > 0 && (logFirst == 0 || logFirst > snap.Index+1) {
			break
		}
		return snap, nil
	}
	if logFirst == 1 {
		return nil, nil // the log still holds everything
	}
	return nil, &DamagedError{File: filepath.Join(s.dir, names[0]), LogFirst: logFirst}
}

func (s *Store) read(name string) (*pb.Snapshot, error) {
	data, err := s.fs.ReadFile(filepath.Join(s.dir, name))
	if err != nil {
		return nil, errors.Wrap(err, "snapshot: read")
	}
	if len(data) < headerBytes || binary.BigEndian.Uint32(data) != magic {
		return nil, errors.Errorf("snapshot: %s has no valid header", name)
	}
	body := data[headerBytes:]
	if int(binary.BigEndian.Uint32(data[4:])) != len(body) {
		return nil, errors.Errorf("snapshot: %s has the wrong length", name)
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[8:]) {
		return nil, errors.Errorf("snapshot: %s has the wrong checksum", name)
	}
	var snap pb.Snapshot
	return &snap, errors.Wrap(proto.Unmarshal(body, &snap), "snapshot: decode")
}

// Oldest returns the index of the oldest snapshot kept, 0 if there is none. The log
// must reach back to it.
func (s *Store) Oldest() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names, err := s.files()
	if err != nil || len(names) == 0 {
		return 0, err
	}
	var index, term uint64
	_, err = fmt.Sscanf(names[len(names)-1], "%016x-%016x"+suffix, &index, &term)
	return index, errors.Wrap(err, "snapshot: parse file name")
}
