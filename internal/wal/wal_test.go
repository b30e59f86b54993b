package wal_test

import (
	"fmt"
	"math/rand"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
	"github.com/bluebellsail/bluebellsail/internal/wal"
	"github.com/bluebellsail/bluebellsail/internal/wal/memfs"
)

const dir = "/log"

func open(t testing.TB, fs wal.FS, opts wal.Options) (*wal.Log, wal.Contents) {
	t.Helper()
	return openIn(t, fs, dir, opts)
}

func openIn(t testing.TB, fs wal.FS, dir string, opts wal.Options) (*wal.Log, wal.Contents) {
	t.Helper()
	l, c, err := wal.Open(fs, dir, opts)
	testutil.NoError(t, err)
	return l, c
}

func entries(from, to, term uint64) []*pb.LogEntry {
	var out []*pb.LogEntry
	for i := from; i <= to; i++ {
		out = append(out, &pb.LogEntry{Index: i, Term: term, Data: []byte(fmt.Sprintf("entry %d of term %d", i, term))})
	}
	return out
}

func write(t testing.TB, l *wal.Log, from, to, term uint64) {
	t.Helper()
	testutil.NoError(t, l.Append(&pb.HardState{Term: term, Commit: from - 1}, entries(from, to, term)))
}

// terms returns the terms of the entries, whose indexes must be contiguous.
func terms(t *testing.T, c wal.Contents) []uint64 {
	t.Helper()
	var out []uint64
	for i, e := range c.Entries {
		if e.Index != c.Entries[0].Index+uint64(i) {
			t.Fatalf("entry %d at position %d", e.Index, i)
		}
		out = append(out, e.Term)
	}
	return out
}

func TestReopen(t *testing.T) {
	for name, fs := range map[string]wal.FS{"memory": memfs.New(), "disk": wal.OS{}} {
		t.Run(name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "log")
			l, _ := openIn(t, fs, dir, wal.Options{})
			write(t, l, 1, 4, 1)
			write(t, l, 5, 9, 2)
			write(t, l, 7, 8, 3) // a later leader's entries replace 7 to 9
			if l.Syncs() != 3 {
				t.Fatalf("%d syncs for 3 batches of 11 entries", l.Syncs())
			}
			_, c := openIn(t, fs, dir, wal.Options{})
			if got := fmt.Sprint(terms(t, c)); got != "[1 1 1 1 2 2 3 3]" || c.Hard.Term != 3 {
				t.Fatalf("terms %s, hard state %v", got, c.Hard)
			}
			testutil.NoError(t, l.Reset(&pb.HardState{Term: 4}))
			write(t, l, 21, 22, 4)
			_, c = openIn(t, fs, dir, wal.Options{})
			if got := fmt.Sprint(terms(t, c)); got != "[4 4]" || c.Entries[0].Index != 21 {
				t.Fatalf("after a reset: %s", got)
			}
		})
	}
}

// The power may fail at any byte of a batch being written. A torn end must not be
// treated as damage, or the replica doesn't start; and no more than the torn end may be
// truncated, or it starts without entries that it acknowledged.
func TestTornEndIsTruncated(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	torn := 0
	for i := range 200 {
		fs := memfs.New()
		l, _ := open(t, fs, wal.Options{SegmentBytes: int64(100 + i)})
		for n := uint64(0); n < 6; n++ {
			write(t, l, 3*n+1, 3*n+3, 1)
		}
		fs.SetOnSync(func(string) error { return errors.New("power fails") })
		if err := l.Append(nil, entries(19, 21, 1)); err == nil {
			t.Fatal("a failed sync was acknowledged")
		}
		fs.SetOnSync(nil)
		if err := l.Append(nil, entries(19, 21, 1)); err == nil {
			t.Fatal("the log accepts appends after a failed sync")
		}
		fs.Crash(rnd)
		l, c := open(t, fs, wal.Options{})
		if n := len(terms(t, c)); n != 18 && n != 21 {
			t.Fatalf("run %d: %d entries after the crash, 18 were acknowledged", i, n)
		}
		if c.TornBytes > 0 {
			torn++
		}
		next := c.Entries[len(c.Entries)-1].Index + 1
		write(t, l, next, next, 2)
		if _, c = open(t, fs, wal.Options{}); c.Entries[len(c.Entries)-1].Term != 2 {
			t.Fatal("the entry appended after the truncation is missing")
		}
	}
	if torn < 40 {
		t.Fatalf("only %d torn ends", torn)
	}
}

// A damaged byte in the middle of the log must not be treated as a torn end, or the
// replica starts, and votes, without entries that it acknowledged.
func TestDamagedMiddleIsRejected(t *testing.T) {
	fs := memfs.New()
	l, _ := open(t, fs, wal.Options{SegmentBytes: 150})
	for n := uint64(1); n <= 12; n++ {
		write(t, l, n, n, 1)
	}
	names, _ := fs.List(dir)
	if len(names) < 3 {
		t.Fatal("too few segments")
	}
	for i, name := range names {
		path := filepath.Join(dir, name)
		data, _ := fs.ReadFile(path)
		end := len(data)
		if i == len(names)-1 {
			end /= 2 // damage to the last frame cannot be distinguished from a torn write
		}
		for off := 0; off < end; off++ {
			fs.Overwrite(path, off, data[off]^0x40)
			_, _, err := wal.Open(fs, dir, wal.Options{})
			var damage *wal.CorruptError
			if !errors.As(err, &damage) || damage.File != path || damage.Offset > int64(off) {
				t.Fatalf("%s with a bad byte at %d: %v", path, off, err)
			}
			fs.Overwrite(path, off, data[off])
		}
	}
	open(t, fs, wal.Options{})
	testutil.NoError(t, fs.Remove(filepath.Join(dir, names[1])))
	if _, _, err := wal.Open(fs, dir, wal.Options{}); err == nil {
		t.Fatal("the log opened although a segment is missing")
	}
}

func TestCapAndRemoval(t *testing.T) {
	fs := memfs.New()
	l, _ := open(t, fs, wal.Options{SegmentBytes: 200, MaxBytes: 1000})
	n := uint64(1)
	var full *wal.FullError
	for ; n < 100; n++ {
		if err := l.Append(nil, entries(n, n, 1)); errors.As(err, &full) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if full == nil || l.Bytes() > 1000 {
		t.Fatalf("%d bytes under a cap of 1000", l.Bytes())
	}
	if err := l.Append(&pb.HardState{Term: 2}, nil); err != nil {
		t.Fatalf("a full log must still accept a vote: %v", err)
	}
	testutil.NoError(t, l.Rotate())
	testutil.NoError(t, l.RemoveUpTo(n-5))
	fs.Crash(nil)
	l, c := open(t, fs, wal.Options{})
	write(t, l, n, n, 2)
	if c.Entries[0].Index > n-4 || c.Entries[0].Index == 1 || c.Hard.GetTerm() != 2 {
		t.Fatalf("after the removal the log starts at %d, hard state %v", c.Entries[0].Index, c.Hard)
	}
	testutil.NoError(t, l.Rotate())
	testutil.NoError(t, l.RemoveUpTo(n))
	if _, c = open(t, fs, wal.Options{}); len(c.Entries) != 0 || c.Hard.GetTerm() != 2 {
		t.Fatalf("all segments removed, but there are %d entries and hard state %v", len(c.Entries), c.Hard)
	}
}

func BenchmarkAppend(b *testing.B) {
	for _, batch := range []int{1, 16, 64} {
		b.Run(fmt.Sprint(batch), func(b *testing.B) {
			l, _ := openIn(b, wal.OS{}, b.TempDir(), wal.Options{MaxBytes: 1 << 40})
			data := make([]byte, 100)
			next := uint64(1)
			for b.Loop() {
				var es []*pb.LogEntry
				for range batch {
					es = append(es, &pb.LogEntry{Index: next, Term: 1, Data: data})
					next++
				}
				testutil.NoError(b, l.Append(&pb.HardState{Term: 1, Commit: next}, es))
			}
			b.ReportMetric(float64(l.Bytes())/float64(next-1), "bytes/entry")
			b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}
