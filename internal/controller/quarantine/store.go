package quarantine

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wal"
)

// Names in the data folder.
const (
	storeFile = "suspects.pb"
	nextFile  = "suspects.pb.next"
)

// File is a Store in a data folder.
type File struct {
	FS  wal.FS
	Dir string
}

// Load implements Store. Without a file nothing is known.
func (f File) Load() ([]*pb.Suspect, error) {
	text, err := f.FS.ReadFile(filepath.Join(f.Dir, storeFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the suspects")
	}
	var all pb.FetchSuspectsReply
	if err := proto.Unmarshal(text, &all); err != nil {
		return nil, errors.Wrap(err, "read the suspects")
	}
	return all.GetSuspects(), nil
}

// Save implements Store: the file is the old one or the new one, whenever power is lost.
func (f File) Save(states []*pb.Suspect) error {
	text, err := proto.Marshal(&pb.FetchSuspectsReply{Suspects: states})
	if err != nil {
		return errors.Wrap(err, "write the suspects")
	}
	next := filepath.Join(f.Dir, nextFile)
	if err := wal.WriteFile(f.FS, next, text); err != nil {
		return err
	}
	if err := f.FS.Rename(next, filepath.Join(f.Dir, storeFile)); err != nil {
		return errors.Wrap(err, "write the suspects")
	}
	return errors.Wrap(f.FS.SyncDir(f.Dir), "write the suspects")
}
