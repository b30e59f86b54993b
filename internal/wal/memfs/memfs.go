// Package memfs implements an in-memory file system for tests of crash safety. A crash
// loses what was not synced: bytes written since a file's last sync, and names of files
// and directories created, renamed or removed since the last sync of their directory.
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
	// dirs are the directories, with whether their names are durable.
	dirs    map[string]bool
	crashes int
	syncs   int
	onSync  func(path string) error
}

// New returns an empty file system.
func New() *FS {
	return &FS{names: map[string]*inode{}, durable: map[string]*inode{}, dirs: map[string]bool{}}
}

var errNotExist = errors.New("memfs: no such file")
var errCrashed = errors.New("memfs: the file was opened before a crash")

// Crash discards what wasn't synced. With rnd, a disk may have written some of it: a part
// of a file's unsynced bytes may be kept, and each change of a name may be kept or lost,
// independently of the others.
func (f *FS) Crash(rnd *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
	survivors := f.survivingNames(rnd)
	f.names, f.durable = map[string]*inode{}, map[string]*inode{}
	for _, name := range sortedNames(survivors) {
		n := survivors[name]
		kept := n.synced
		if extra := len(n.data) - len(n.synced); rnd != nil && extra > 0 {
			kept = n.data[:len(n.synced)+rnd.Intn(extra+1)]
		}
		fresh := &inode{data: append([]byte(nil), kept...), synced: append([]byte(nil), kept...)}
		f.names[name] = fresh
		f.durable[name] = fresh
	}
}

// PowerOff crashes f and returns its disk for the processes that start afterwards. What those of before still do with f
// doesn't reach the disk, as they have no power either.
func (f *FS) PowerOff(rnd *rand.Rand) *FS {
	f.Crash(rnd)
	f.mu.Lock()
	defer f.mu.Unlock()
	after := &FS{names: f.names, durable: f.durable, dirs: f.dirs, syncs: f.syncs, onSync: f.onSync}
	f.names, f.durable, f.dirs = map[string]*inode{}, map[string]*inode{}, map[string]bool{}
	return after
}

// survivingNames returns the names that are left after a crash, in directories that are.
func (f *FS) survivingNames(rnd *rand.Rand) map[string]*inode {
	for _, dir := range slices.Sorted(maps.Keys(f.dirs)) {
		if !f.dirs[dir] && keepsOld(rnd) || !f.dirExists(path.Dir(dir)) {
			delete(f.dirs, dir)
			continue
		}
		f.dirs[dir] = true
	}
	out := map[string]*inode{}
	all := maps.Clone(f.durable)
	maps.Copy(all, f.names)
	for _, name := range sortedNames(all) {
		n := f.names[name]
		if n != f.durable[name] && keepsOld(rnd) {
			n = f.durable[name]
		}
		if n != nil && f.dirExists(path.Dir(name)) {
			out[name] = n
		}
	}
	return out
}

// keepsOld draws whether a crash undoes a change that was not synced.
func keepsOld(rnd *rand.Rand) bool { return rnd == nil || rnd.Intn(2) == 0 }

// dirExists reports whether dir exists. The root always does.
func (f *FS) dirExists(dir string) bool {
	_, made := f.dirs[dir]
	return made || dir == "/" || dir == "."
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
func (f *FS) MkdirAll(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for dir = path.Clean(dir); !f.dirExists(dir); dir = path.Dir(dir) {
		f.dirs[dir] = false
	}
	return nil
}

// List implements wal.FS.
func (f *FS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.dirExists(path.Clean(dir)) {
		return nil, errNotExist
	}
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
	if !f.dirExists(path.Dir(path.Clean(name))) {
		return nil, errNotExist
	}
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
	for made := range f.dirs {
		if path.Dir(made) == path.Clean(dir) {
			f.dirs[made] = true
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
