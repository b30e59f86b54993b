package quarantine

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wal"
)

// Names of the files in the data directory.
const (
	storeFile = "suspects.pb"
	nextFile  = "suspects.pb.next"
)

// File is a Store in a file of the data directory.
type File struct {
	FS  wal.FS
	Dir string
}

// Load implements Store. It returns nothing if the file does not exist.
func (f File) Load() ([]*pb.Suspect, error) {
	text, err := f.FS.ReadFile(filepath.Join(f.Dir, storeFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the suspected requests")
	}
	var all pb.FetchSuspectsReply
	if err := proto.Unmarshal(text, &all); err != nil {
		return nil, errors.Wrap(err, "read the suspected requests")
	}
	return all.GetSuspects(), nil
}

// Save implements Store. It replaces the file atomically, also across a power failure.
func (f File) Save(states []*pb.Suspect) error {
	text, err := proto.Marshal(&pb.FetchSuspectsReply{Suspects: states})
	if err != nil {
		return errors.Wrap(err, "write the suspected requests")
	}
	next := filepath.Join(f.Dir, nextFile)
	if err := wal.WriteFile(f.FS, next, text); err != nil {
		return err
	}
	if err := f.FS.Rename(next, filepath.Join(f.Dir, storeFile)); err != nil {
		return errors.Wrap(err, "write the suspected requests")
	}
	return errors.Wrap(f.FS.SyncDir(f.Dir), "write the suspected requests")
}
