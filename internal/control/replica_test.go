package control

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
	"github.com/bluebellsail/bluebellsail/internal/wal/memfs"
)

// Symptom: a read gives a value that was overwritten minutes ago.
// Sequence: the leader hangs on its disk; another is elected and commits; the old one is asked.
// Cause: its lease is counted in ticks of a loop that stands still.
func TestHangingLeaderAnswersNoStaleRead(t *testing.T) {
	inCluster(t, nil, func(t *testing.T, c *cluster) {
		old := c.leader()
		c.mustSet(1, 0)
		release := make(chan struct{})
		old.fs.SetOnSync(func(string) error { <-release; return nil })
		go func() { _ = c.set("hangs", "/b", "1", time.Second) }()
		time.Sleep(10 * time.Second)
		fresh := c.leader()
		if fresh == old {
			t.Fatal("the hanging leader still answers reads")
		}
		if _, err := fresh.r.Propose(t.Context(), set("new", "/a", "new")); err != nil {
			t.Fatal(err)
		}
		if res, err := old.r.Read(t.Context(), get("/a")); err == nil {
			t.Fatalf("read %s", res.ValueJson)
		}
		close(release)
		time.Sleep(time.Second)
		var nl *NotLeaderError
		if _, err := old.r.Read(t.Context(), get("/a")); !errors.As(err, &nl) || nl.Address != fresh.address {
			t.Fatalf("got %v", err)
		}
	})
}

// Symptom: two leaders with different entries at one index; committed changes are gone.
// Sequence: a host loses its disk and starts again with its settings unchanged; of the two others, one is down.
// Cause: it votes under its old id, although it forgot what it had acknowledged.
func TestLostDiskDoesNotVote(t *testing.T) {
	inCluster(t, nil, func(t *testing.T, c *cluster) {
		c.leader()
		c.mustSet(5, 0)
		lost, down, up := c.hosts[0], c.hosts[1], c.hosts[2]
		oldID := lost.r.ID()
		c.crash(lost)
		c.crash(down)
		lost.fs = memfs.New()
		c.start(lost)
		time.Sleep(20 * time.Second)
		if st := up.r.Status(); st.Leader != 0 {
			t.Fatalf("%d leads with the vote of a lost disk", st.Leader)
		}
		if lost.r.ID() == oldID || !lost.r.Joining() {
			t.Fatal("the lost disk still has its old id")
		}
		id := lost.r.ID()
		c.crash(lost)
		c.start(lost)
		if lost.r.ID() != id {
			t.Fatal("the new id isn't kept")
		}
		c.start(down)
		c.mustSet(5, 5)
		repairMember(t, c, oldID, &pb.Member{Id: id, Address: lost.address, Host: lost.address})
		c.crash(c.hosts[1]) // a second host, right after the repair
		c.mustSet(5, 10)
		time.Sleep(time.Second)
		if got := len(lost.sm.order()); got != 15 {
			t.Fatalf("the replaced replica applied %d of 15 changes", got)
		}
	})
}

// repairMember replaces the member old and returns once the leader reports the group as repaired.
func repairMember(t *testing.T, c *cluster, old uint64, fresh *pb.Member) {
	t.Helper()
	steps := []*pb.ChangeMembersRequest{
		{Verb: VerbRemove, Member: &pb.Member{Id: old}},
		{Verb: VerbAddLearner, Member: fresh},
		{Verb: VerbPromote, Member: fresh},
	}
	for _, step := range steps {
		for try := 0; ; try++ {
			_, err := c.leader().r.ChangeMembers(t.Context(), step)
			if err == nil {
				break
			}
			if try == 100 {
				t.Fatalf("%s: %v", step.Verb, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for range 100 {
		repaired := 0
		for _, m := range c.leader().r.Status().Members {
			if m.Repaired {
				repaired++
			}
		}
		if repaired == 3 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("never repaired")
}

// Symptom: the same loss, noticed when only an empty host is there to ask.
// Sequence: two of three hosts lose their disks while the third is down.
// Cause: the empty ones take each other's word and form a new group.
func TestEmptyDisksWaitForAll(t *testing.T) {
	inCluster(t, nil, func(t *testing.T, c *cluster) {
		c.leader()
		c.mustSet(1, 0)
		c.crashAll()
		c.hosts[0].fs, c.hosts[1].fs = memfs.New(), memfs.New()
		c.start(c.hosts[0])
		c.start(c.hosts[1])
		time.Sleep(30 * time.Second)
		for _, h := range c.hosts[:2] {
			if st := h.r.Status(); st.Leader != 0 || st.Term != 0 {
				t.Fatalf("an empty disk took part: %v", st)
			}
		}
	})
}

// Symptom: a replica votes although it forgot what it promised.
// Sequence: a part of its data folder is damaged or gone; it restarts.
// Cause: it starts with what is left.
func TestDamagedDiskRefuses(t *testing.T) {
	inCluster(t, nil, func(t *testing.T, c *cluster) {
		c.leader()
		c.mustSet(3, 0)
		c.crashAll()
		h := c.hosts[0]
		// refuses tells whether the host doesn't start, for the reason given.
		refuses := func(reason string) {
			t.Helper()
			r, err := Open(c.config(h, newRegisters()))
			if err == nil {
				_ = r.Close()
			}
			if err == nil || !strings.Contains(err.Error(), reason) {
				t.Fatalf("got %v, want %q", err, reason)
			}
		}
		const file = "/data/" + identityFile
		whole, _ := h.fs.ReadFile(file)
		for i := range whole {
			h.fs.Overwrite(file, i, whole[i]^1)
			refuses("damaged")
			h.fs.Overwrite(file, i, whole[i])
		}
		names, _ := h.fs.List("/data/log")
		for _, name := range names {
			_ = h.fs.Rename("/data/log/"+name, "/kept/"+name)
		}
		refuses("the log is empty")
		for _, name := range names {
			_ = h.fs.Remove("/data/log/" + name)
			_ = h.fs.Rename("/kept/"+name, "/data/log/"+name)
		}
		_ = h.fs.Remove(file)
		refuses("the identity file is missing")
	})
}

// Symptom: settings are back to an older state after the processes restarted.
// Sequence: hundreds of changes, snapshots and log removals in between, all hosts crash and restart.
// Cause: the snapshot and the log don't meet, or a change counted before it was synced.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	inCluster(t, func(cfg *Config) { cfg.SnapshotEntries, cfg.SegmentBytes = 50, 2000 }, func(t *testing.T, c *cluster) {
		for round := range 3 {
			c.leader()
			c.mustSet(120, round*120)
			c.crashAll()
			for _, h := range c.hosts {
				c.start(h)
			}
		}
		c.leader()
		c.mustSet(1, 360)
		time.Sleep(time.Second)
		if vars := c.leader().r.Vars().String(); !strings.Contains(vars, `"commit":`) || strings.Contains(vars, `"proposals": 0`) {
			t.Fatalf("published: %s", vars)
		}
		for _, h := range c.hosts {
			order := h.sm.order()
			if len(order) != 361 || order[360] != "op360" || order[200] != "op200" {
				t.Fatalf("%s has %d changes", h.address, len(order))
			}
			if st := h.r.Status(); st.SnapshotIndex < 250 {
				t.Fatalf("no late snapshot: %v", st)
			}
		}
	})
}

// Symptom: an acknowledged change is gone after a power cut.
// Sequence: the leader's change reaches two followers whose disks hang; then the power fails.
// Cause: a follower acknowledged before its sync.
func TestNothingIsAcknowledgedBeforeTheSync(t *testing.T) {
	inCluster(t, nil, func(t *testing.T, c *cluster) {
		l := c.leader()
		release := make(chan struct{})
		for _, h := range c.hosts {
			if h != l {
				h.fs.SetOnSync(func(string) error { <-release; return nil })
			}
		}
		ctx := testutil.Within(t, 300*time.Millisecond)
		if _, err := l.r.Propose(ctx, set("a", "/a", "1")); !errkind.Is(err, errkind.NoQuorum) {
			t.Fatalf("got %v", err)
		}
		close(release)
	})
}

// Symptom: a statement lists a bill before the top-up that paid for it.
// Sequence: the leader's wall clock is set back.
// Cause: commands carry the clock as it is.
func TestStampedTimeNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		var back time.Duration
		c := newCluster(t, 3, func(cfg *Config) {
			cfg.Wall = func() time.Time { return base.Add(time.Since(base) - back) }
		})
		l := c.leader()
		c.mustSet(1, 0)
		time.Sleep(time.Second)
		back = time.Hour
		c.mustSet(1, 1)
		if got := l.sm.times(); len(got) < 2 || got[len(got)-1] < got[len(got)-2] {
			t.Fatalf("stamps %v", got)
		}
	})
}

func TestGroupCommit(t *testing.T) {
	inCluster(t, nil, func(t *testing.T, c *cluster) {
		l := c.leader()
		l.fs.SetOnSync(func(string) error { time.Sleep(5 * time.Millisecond); return nil })
		before := l.fs.Syncs()
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				if _, err := l.r.Propose(t.Context(), set(fmt.Sprint(i), "/a", "1")); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if n := l.fs.Syncs() - before; n > 10 {
			t.Fatalf("%d syncs for 200 proposals made at once", n)
		}
	})
}

// Symptom: the disk fills up, or the replica stops and can't start again.
// Sequence: nothing can be committed for a while, and proposals keep coming.
// Cause: the log grows without bound, for a snapshot can't replace what isn't committed.
func TestLogCap(t *testing.T) {
	inCluster(t, func(cfg *Config) { cfg.LogBytes, cfg.SegmentBytes = 64<<10, 8<<10 }, func(t *testing.T, c *cluster) {
		l := c.leader()
		c.isolate(l, true)
		l.fs.SetOnSync(func(string) error { time.Sleep(time.Millisecond); return nil }) // proposals gather
		big := strings.Repeat("x", 10<<10)
		results := make(chan error, 20)
		for i := range 20 {
			go func() {
				_, err := l.r.Propose(t.Context(), set(fmt.Sprint("big", i), "/big", big))
				results <- err
			}()
		}
		full := 0
		for range 20 {
			if err := <-results; errkind.Is(err, errkind.Overloaded) && strings.Contains(err.Error(), "cap is 65536") {
				full++
			}
		}
		if full < 10 || l.r.Status().LogBytes > 64<<10 {
			t.Fatalf("%d of 20 refused, log has %d bytes", full, l.r.Status().LogBytes)
		}
		c.isolate(l, false)
		for i := range 100 { // many times the cap: snapshots make room
			testutil.NoError(t, c.set(fmt.Sprint("later", i), "/big", big, 10*time.Second))
		}
		for _, h := range c.hosts {
			if h.r.Err() != nil || h.r.Status().LogBytes > 64<<10 {
				t.Fatalf("%v, log has %d bytes", h.r.Err(), h.r.Status().LogBytes)
			}
		}
	})
}

// Symptom: a host starts serving under settings from before a cut, or goes back to older ones.
// Sequence: a watched replica is cut off while changes are made, and comes back.
// Cause: it calls its old revision confirmed, or sends it again.
func TestWatchOrderAndConfirmation(t *testing.T) {
	inCluster(t, nil, func(t *testing.T, c *cluster) {
		c.leader()
		c.mustSet(3, 0)
		f := c.follower()
		sub := f.r.Subscribe(0)
		// await reads events until one of the revision is or isn't confirmed.
		await := func(revision uint64, confirmed bool) {
			t.Helper()
			last := uint64(0)
			for range 50 {
				e, err := sub.Next(t.Context())
				testutil.NoError(t, err)
				for _, ch := range e.Changes {
					if ch.Revision <= last {
						t.Fatalf("revision %d after %d", ch.Revision, last)
					}
					last = ch.Revision
				}
				if e.Revision == revision && e.Confirmed == confirmed {
					return
				}
				if e.Revision > revision {
					t.Fatalf("revision %d", e.Revision)
				}
			}
			t.Fatalf("revision %d never came with confirmed=%v", revision, confirmed)
		}
		await(3, true)
		behind := *f.r.view.Load()
		behind.confirm.Index = 1000
		f.r.view.Store(&behind)
		if f.r.confirmed() {
			t.Fatal("confirms what it hasn't applied")
		}
		c.isolate(f, true)
		c.mustSet(5, 3)
		await(3, false)
		if sub.r.confirmed() {
			t.Fatal("a replica that is cut off confirms its revision")
		}
		c.isolate(f, false)
		await(8, true)
		ctx := testutil.Within(t, time.Second)
		if e, err := f.r.Subscribe(5).Next(ctx); err != nil || len(e.Changes) != 3 || e.Changes[0].Revision != 6 {
			t.Fatalf("from 5: %v, %v", e, err)
		}
	})
}

// slowSnapshots takes its time to encode a snapshot.
type slowSnapshots struct{ *registers }

func (s slowSnapshots) Capture() (func() ([]byte, error), error) {
	data, err := s.Snapshot()
	return func() ([]byte, error) {
		time.Sleep(5 * time.Second)
		return data, err
	}, nil
}

// Symptom: every ten thousand changes the group is without a leader for seconds.
// Sequence: the leader takes a snapshot of a large state, which takes longer than its lease.
// Cause: the loop waits for it.
func TestSlowSnapshotCostsNoLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, func(cfg *Config) {
			cfg.SnapshotEntries = 20
			cfg.StateMachine = slowSnapshots{cfg.StateMachine.(*registers)}
		})
		term := c.leader().r.Status().Term
		for i := range 60 {
			c.mustSet(1, i)
			time.Sleep(200 * time.Millisecond)
		}
		for _, h := range c.hosts {
			if st := h.r.Status(); st.SnapshotIndex < 20 || st.Term != term {
				t.Fatalf("%s: snapshot at %d, term %d after %d", h.address, st.SnapshotIndex, st.Term, term)
			}
		}
	})
}

func TestClosedLeaderHandsOver(t *testing.T) {
	inCluster(t, nil, func(t *testing.T, c *cluster) {
		old := c.leader()
		c.mustSet(1, 0)
		start := time.Now()
		testutil.NoError(t, old.r.Close())
		if c.leader() == old || time.Since(start) >= 20*50*time.Millisecond {
			t.Fatalf("no other leader after %v", time.Since(start))
		}
	})
}

// Symptom: a group without a fault changes leaders again and again, and nothing says why.
// Sequence: the leader's disk takes longer than its lease for a write.
// Cause: a leader sends nothing while it writes; the log had no line for it.
func TestSlowDiskIsTold(t *testing.T) {
	var lines testutil.Lines
	inCluster(t, func(cfg *Config) { cfg.Logger = zerolog.New(&lines) }, func(t *testing.T, c *cluster) {
		l := c.leader()
		c.mustSet(1, 0)
		if strings.Contains(lines.String(), `"event":"disk-slow"`) {
			t.Error("a disk that writes at once is called slow")
		}
		l.fs.SetOnSync(func(string) error { time.Sleep(2 * slowSync); return nil })
		c.mustSet(1, 1)
		if !strings.Contains(lines.String(), `"event":"disk-slow"`) {
			t.Error("nothing tells of the slow disk")
		}
	})
}
