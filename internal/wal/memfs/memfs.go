// Package memfs implements an in-memory file system for tests of crash safety. A crash
// loses everything that was not synced: bytes written since a file's last sync, and
// names created, renamed or removed since the directory's last sync.
package memfs

import (
	"maps"
	"math/rand"
	"path"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/wal"
)

type inode struct {
	data   []byte
	synced []byte
}

// FS implements wal.FS. It is safe for concurrent use.
type FS struct {
	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode
	crashes int
	syncs   int
	onSync  func(path string) error
}

// New returns an empty file system.
func New() *FS {
	return &FS{names: map[string]*inode{}, durable: map[string]*inode{}}
}

var errNotExist = errors.New("memfs: no such file")
var errCrashed = errors.New("memfs: the file was opened before a crash")

// Crash discards what wasn't synced. With rnd, a part of the unsynced bytes may be
// kept, because a disk may have written some of them.
func (f *FS) Crash(rnd *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
	f.names = map[string]*inode{}
	for _, name := range sortedNames(f.durable) {
		n := f.durable[name]
		kept := n.synced
		if extra := len(n.data) - len(n.synced); rnd != nil && extra > 0 {
			kept = n.data[:len(n.synced)+rnd.Intn(extra+1)]
		}
		fresh := &inode{data: append([]byte(nil), kept...), synced: append([]byte(nil), kept...)}
		f.names[name] = fresh
		f.durable[name] = fresh
	}
}

func sortedNames(m map[string]*inode) []string { return slices.Sorted(maps.Keys(m)) }

// SetOnSync sets a hook that is called before each sync of a file; its error fails the
// sync. It may block, which also blocks the writer. Nil removes the hook.
func (f *FS) SetOnSync(hook func(path string) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onSync = hook
}

// Syncs returns the number of file syncs so far.
func (f *FS) Syncs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncs
}

// Overwrite replaces a byte of a file, as disk corruption would.
func (f *FS) Overwrite(name string, offset int, b byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[path.Clean(name)]
	n.data[offset] = b
	n.synced = append([]byte(nil), n.data...)
}

// MkdirAll implements wal.FS.
func (f *FS) MkdirAll(string) error { return nil }

// List implements wal.FS.
func (f *FS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, name := range sortedNames(f.names) {
		if path.Dir(name) == path.Clean(dir) {
			out = append(out, path.Base(name))
		}
	}
	return out, nil
}

// ReadFile implements wal.FS.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[path.Clean(name)]
	if n == nil {
		return nil, errNotExist
	}
	return append([]byte(nil), n.data...), nil
}

// Create implements wal.FS.
func (f *FS) Create(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &inode{}
	f.names[path.Clean(name)] = n
	return &file{fs: f, name: name, node: n, crash: f.crashes}, nil
}

// Append implements wal.FS.
func (f *FS) Append(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[path.Clean(name)]
	if n == nil {
		return nil, errNotExist
	}
	return &file{fs: f, name: name, node: n, crash: f.crashes}, nil
}

// Truncate implements wal.FS.
func (f *FS) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[path.Clean(name)]
	if n == nil {
		return errNotExist
	}
	n.data = n.data[:size]
	n.synced = append([]byte(nil), n.data...)
	return nil
}

// Rename implements wal.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[path.Clean(from)]
	if n == nil {
		return errNotExist
	}
	f.names[path.Clean(to)] = n
	delete(f.names, path.Clean(from))
	return nil
}

// Remove implements wal.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.names, path.Clean(name))
	return nil
}

// SyncDir implements wal.FS.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.durable {
		if path.Dir(name) == path.Clean(dir) {
			delete(f.durable, name)
		}
	}
	for name, n := range f.names {
		if path.Dir(name) == path.Clean(dir) {
			f.durable[name] = n
		}
	}
	return nil
}

type file struct {
	fs    *FS
	name  string
	node  *inode
	crash int
}

func (f *file) Write(b []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.crash != f.fs.crashes {
		return 0, errCrashed
	}
	f.node.data = append(f.node.data, b...)
	return len(b), nil
}

func (f *file) Sync() error {
	f.fs.mu.Lock()
	hook := f.fs.onSync
	f.fs.mu.Unlock()
	if hook != nil {
		if err := hook(f.name); err != nil {
			return err
		}
	}
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.crash != f.fs.crashes {
		return errCrashed
	}
	f.fs.syncs++
	f.node.synced = append([]byte(nil), f.node.data...)
	return nil
}

func (f *file) Close() error { return nil }
