package snapshot

import (
	"path/filepath"
	"testing"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
	"github.com/bluebellsail/bluebellsail/internal/wal/memfs"
)

const dir = "/snapshots"

func store(t *testing.T, fs *memfs.FS, indexes ...uint64) *Store {
	t.Helper()
	s, err := Open(fs, dir)
	testutil.NoError(t, err)
	for _, index := range indexes {
		testutil.NoError(t, s.Save(&pb.Snapshot{Index: index, Term: 1, Data: []byte("state")}))
	}
	return s
}

func TestNewestSurvivesCrash(t *testing.T) {
	fs := memfs.New()
	store(t, fs, 5)
	fs.Crash(nil)
	s := store(t, fs)
	if snap, err := s.Load(0); err != nil || snap.GetIndex() != 5 {
		t.Fatalf("the first snapshot: %v, %v", snap, err)
	}
	s = store(t, fs, 10, 20, 30)
	fs.SetOnSync(func(string) error { return errors.New("power fails") })
	if err := s.Save(&pb.Snapshot{Index: 40}); err == nil {
		t.Fatal("a failed sync was acknowledged")
	}
	fs.SetOnSync(nil)
	fs.Crash(nil)
	s = store(t, fs)
	snap, err := s.Load(0)
	if err != nil || snap.Index != 30 || string(snap.Data) != "state" {
		t.Fatalf("got %v, %v", snap, err)
	}
	if oldest, err := s.Oldest(); oldest != 20 || err != nil {
		t.Fatalf("oldest %d, %v", oldest, err)
	}
}

// If the newest snapshot is damaged, the one before may be used only if the log still
// holds the entries between the two. Otherwise the replica would serve a state without
// committed changes.
func TestDamagedNewestSnapshot(t *testing.T) {
	cases := []struct {
		logFirst uint64
		want     uint64 // 0: rejected
	}{{21, 20}, {5, 20}, {22, 0}, {31, 0}, {0, 0}}
	for _, tc := range cases {
		fs := memfs.New()
		s := store(t, fs, 10, 20, 30)
		names, _ := s.files()
		path := filepath.Join(dir, names[0])
		data, _ := fs.ReadFile(path)
		fs.Overwrite(path, len(data)-1, data[len(data)-1]^1)
		snap, err := s.Load(tc.logFirst)
		var damaged *DamagedError
		if tc.want == 0 && (!errors.As(err, &damaged) || damaged.File != path) {
			t.Fatalf("log from %d: got %v, %v", tc.logFirst, snap, err)
		}
		if tc.want != 0 && (err != nil || snap.Index != tc.want) {
			t.Fatalf("log from %d: got %v, %v", tc.logFirst, snap, err)
		}
	}
}
