package wal

import (
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// File is a file opened for appending.
type File interface {
	io.WriteCloser
	// Sync returns once everything written would survive a crash.
	Sync() error
}

// FS is the part of a file system that logs and snapshots need. A created, renamed or
// removed name, also that of a directory, survives a crash only after SyncDir of its
// directory.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names in dir, sorted.
	List(dir string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create creates a file, or truncates it to zero if it exists.
	Create(path string) (File, error)
	// Append opens an existing file for appending.
	Append(path string) (File, error)
	// Truncate truncates a file to size and syncs it.
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
}

// MakeDir creates a directory in an existing one, unless it exists, and makes its name
// durable. A sync of a file in it does not.
func MakeDir(fs FS, dir string) error {
	if err := fs.MkdirAll(dir); err != nil {
		return errors.Wrap(err, "create directory")
	}
	return errors.Wrap(fs.SyncDir(filepath.Dir(dir)), "sync directory")
}

// WriteFile creates or replaces a file and syncs its content.
func WriteFile(fs FS, path string, data []byte) error {
	f, err := fs.Create(path)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	defer f.Close()
	if _, err := f.Write(data); err != nil {
		return errors.Wrap(err, "write file")
	}
	return errors.Wrap(f.Sync(), "sync file")
}

// OS is the operating system's file system.
type OS struct{}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir) // sorted by name
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append implements FS.
func (OS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Truncate implements FS.
func (OS) Truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
