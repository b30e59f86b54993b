package control

import (
	"context"
	"fmt"
	"math/rand"
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

// A leader whose loop hangs on its disk must not answer reads after another leader was
// elected and committed: a lease measured in ticks of the hanging loop would look
// valid, and a read would return a value that was overwritten minutes ago.
func TestHangingLeaderRejectsReads(t *testing.T) {
	withCluster(t, nil, func(t *testing.T, c *cluster) {
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

// A host that lost its disk starts again with unchanged settings while one of the two
// others is down. If it voted under its old ID, although it no longer knows what it
// acknowledged, two leaders could hold different entries at one index and committed
// changes would be lost.
func TestLostDiskDoesNotVote(t *testing.T) {
	withCluster(t, nil, func(t *testing.T, c *cluster) {
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
			t.Fatalf("replica %d leads with the vote of a lost disk", st.Leader)
		}
		if lost.r.ID() == oldID || !lost.r.Joining() {
			t.Fatal("the replica with the lost disk still has its old ID")
		}
		id := lost.r.ID()
		c.crash(lost)
		c.start(lost)
		if lost.r.ID() != id {
			t.Fatal("the new ID was not kept over a restart")
		}
		c.start(down)
		c.mustSet(5, 5)
		repairMember(t, c, oldID, &pb.Member{Id: id, Address: lost.address, Host: lost.address})
		c.crash(c.hosts[1]) // a second host crashes right after the repair
		c.mustSet(5, 10)
		time.Sleep(time.Second)
		if got := len(lost.sm.order()); got != 15 {
			t.Fatalf("the replaced replica applied %d of 15 changes", got)
		}
	})
}

// Guards against a replica that never rejoins after the loss of its disk because all other founding
// replicas have been replaced before: nobody remembers the disk that it had.
func TestLastFoundingReplicaIsReplaced(t *testing.T) {
	withCluster(t, nil, func(t *testing.T, c *cluster) {
		c.leader()
		for i, lost := range c.hosts {
			c.mustSet(2, 2*i)
			oldID := lost.r.ID()
			c.crash(lost)
			lost.fs = memfs.New()
			c.start(lost)
			time.Sleep(5 * time.Second)
			if lost.r.ID() == oldID || !lost.r.Joining() {
				t.Fatalf("%s still waits for the answers of founding replicas", lost.address)
			}
			repairMember(t, c, oldID, &pb.Member{Id: lost.r.ID(), Address: lost.address, Host: lost.address})
		}
	})
}

// repairMember replaces the member old and returns once the leader reports the group as
// repaired.
func repairMember(t *testing.T, c *cluster, old uint64, fresh *pb.Member) {
	t.Helper()
	changeMembers(t, c, VerbRemove, &pb.Member{Id: old})
	changeMembers(t, c, VerbAddLearner, fresh)
	changeMembers(t, c, VerbPromote, fresh)
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

// changeMembers changes the membership, and asks again until it is done.
func changeMembers(t *testing.T, c *cluster, verb string, m *pb.Member) {
	t.Helper()
	for try := 0; ; try++ {
		_, err := c.leader().r.ChangeMembers(t.Context(), &pb.ChangeMembersRequest{Verb: verb, Member: m})
		if err == nil {
			return
		}
		if try == 100 {
			t.Fatalf("%s: %v", verb, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// All connections between the replicas become silent at once, while new ones would work. The group must not wait for the
// end of its streams until it has a leader again.
func TestGroupElectsOverNewConnections(t *testing.T) {
	for seed := range int64(10) {
		withCluster(t, func(cfg *Config) { cfg.ElectionTicks = 8 }, func(t *testing.T, c *cluster) {
			c.mu.Lock()
			c.rnd = rand.New(rand.NewSource(seed))
			c.mu.Unlock()
			c.leader()
			c.mustSet(1, 0)
			c.silenceAll()
			if err := c.set("after", "/a", "x", 3*time.Second); err != nil {
				t.Fatal("no leader 3 s after all connections became silent")
			}
		})
	}
}

// A new leader has no answer of its members yet. It must not reset their connections for that, which would delay its first
// heartbeats.
func TestNewLeaderKeepsConnections(t *testing.T) {
	withCluster(t, func(cfg *Config) { cfg.ElectionTicks = 8 }, func(t *testing.T, c *cluster) {
		l := c.leader()
		c.crash(l)
		time.Sleep(5 * time.Second)
		c.mustSet(1, 0)
		for _, h := range c.hosts {
			c.mu.Lock()
			n := c.resets[h.address]
			c.mu.Unlock()
			if h != l && n != 0 {
				t.Errorf("%d resets of connections to %s, which runs", n, h.address)
			}
			if h == l && n == 0 {
				t.Errorf("no reset of a connection to %s, which doesn't answer", h.address)
			}
		}
	})
}

// A host that lost its disk has a slower link than the others, and the group commits all the time, so that its replica is
// never level with it. It gets its vote without asking for it.
func TestLearnerOnASlowLinkGetsItsVote(t *testing.T) {
	promoting := func(cfg *Config) { cfg.PromoteLearners, cfg.SnapshotEntries = true, 20 }
	withCluster(t, promoting, func(t *testing.T, c *cluster) {
		c.leader()
		c.mustSet(2*retainedEntries, 0)
		lost := c.follower()
		oldID := lost.r.ID()
		c.crash(lost)
		lost.fs = memfs.New()
		c.mu.Lock()
		c.slow[lost.address] = 40 * time.Millisecond
		c.mu.Unlock()
		c.start(lost)
		time.Sleep(time.Second)
		ctx, stop := context.WithCancel(t.Context())
		var writer sync.WaitGroup
		defer writer.Wait()
		defer stop()
		leader := c.leader().r
		writer.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				if _, err := leader.Propose(ctx, set(fmt.Sprint("under way", i), "/b", "1")); err != nil {
					return
				}
			}
		})
		fresh := &pb.Member{Id: lost.r.ID(), Address: lost.address, Host: lost.address}
		changeMembers(t, c, VerbRemove, &pb.Member{Id: oldID})
		changeMembers(t, c, VerbAddLearner, fresh)
		for range 40 {
			if time.Sleep(100 * time.Millisecond); lost.r.Membership() == MembershipVoter {
				return
			}
		}
		t.Fatal("no vote within 4 s")
	})
}

// Guards against a new replica that gets the whole kept log, which may be many times the size of the state, and has no vote for as
// long as that takes on its link.
func TestNewReplicaGetsTheSnapshotInPlaceOfALargerLog(t *testing.T) {
	withCluster(t, func(cfg *Config) { cfg.SnapshotEntries = 20 }, func(t *testing.T, c *cluster) {
		c.leader()
		for i := range retainedEntries / 4 {
			_, err := c.leader().r.Propose(t.Context(), set(fmt.Sprint("one value", i), "/a", strings.Repeat("1", 500)))
			testutil.NoError(t, err)
		}
		lost := c.follower()
		oldID := lost.r.ID()
		c.crash(lost)
		lost.fs = memfs.New()
		c.start(lost)
		time.Sleep(time.Second)
		changeMembers(t, c, VerbRemove, &pb.Member{Id: oldID})
		changeMembers(t, c, VerbAddLearner, &pb.Member{Id: lost.r.ID(), Address: lost.address, Host: lost.address})
		time.Sleep(time.Second)
		if n, applied := lost.r.metrics.Installed.Value(), lost.r.Status().GetApplied(); n != 1 || applied < retainedEntries/4 {
			t.Errorf("%d snapshots installed, entries applied up to %d", n, applied)
		}
	})
}

// Two of three hosts lose their disks while the third is down. The two empty replicas
// must not form a new group on each other's answers alone.
func TestEmptyDisksWaitForAll(t *testing.T) {
	withCluster(t, nil, func(t *testing.T, c *cluster) {
		c.leader()
		c.mustSet(1, 0)
		c.crashAll()
		c.hosts[0].fs, c.hosts[1].fs = memfs.New(), memfs.New()
		c.start(c.hosts[0])
		c.start(c.hosts[1])
		time.Sleep(30 * time.Second)
		for _, h := range c.hosts[:2] {
			if st := h.r.Status(); st.Leader != 0 || st.Term != 0 {
				t.Fatalf("a replica with an empty disk participated: %v", st)
			}
		}
	})
}

// A replica with a damaged or incomplete data directory must not start with what is
// left: it would vote without knowing what it promised.
func TestDamagedDiskIsRejected(t *testing.T) {
	withCluster(t, nil, func(t *testing.T, c *cluster) {
		c.leader()
		c.mustSet(3, 0)
		c.crashAll()
		h := c.hosts[0]
		// rejects checks that the host fails to start for the given reason.
		rejects := func(reason string) {
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
			rejects("damaged")
			h.fs.Overwrite(file, i, whole[i])
		}
		names, _ := h.fs.List("/data/log")
		for _, name := range names {
			_ = h.fs.Rename("/data/log/"+name, "/kept/"+name)
		}
		rejects("the log is empty")
		for _, name := range names {
			_ = h.fs.Remove("/data/log/" + name)
			_ = h.fs.Rename("/kept/"+name, "/data/log/"+name)
		}
		_ = h.fs.Remove(file)
		rejects("the identity file is missing")
	})
}

// After hundreds of changes with snapshots and log truncations in between, all hosts
// crash and restart. If the snapshot and the log did not meet, or a change counted
// before it was synced, the settings would revert to an older state.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	withCluster(t, func(cfg *Config) { cfg.SnapshotEntries, cfg.SegmentBytes = 50, 2000 }, func(t *testing.T, c *cluster) {
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
				t.Fatalf("no recent snapshot: %v", st)
			}
		}
	})
}

// A follower must not acknowledge an entry before it is synced: if the power fails
// while the disks of both followers hang, an acknowledged change would be lost.
func TestNothingIsAcknowledgedBeforeSync(t *testing.T) {
	withCluster(t, nil, func(t *testing.T, c *cluster) {
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

// The leader's wall clock may be set back, but the timestamps of commands must not go
// back, or a statement lists a bill before the top-up that paid for it.
func TestTimestampsNeverDecrease(t *testing.T) {
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
			t.Fatalf("timestamps %v", got)
		}
	})
}

func TestGroupCommit(t *testing.T) {
	withCluster(t, nil, func(t *testing.T, c *cluster) {
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
			t.Fatalf("%d syncs for 200 concurrent proposals", n)
		}
	})
}

// While nothing can be committed, no snapshot can replace the log, and proposals keep
// arriving. Without a cap the log would fill the disk, or the replica would stop and
// fail to start again.
func TestLogCap(t *testing.T) {
	withCluster(t, func(cfg *Config) { cfg.LogBytes, cfg.SegmentBytes = 64<<10, 8<<10 }, func(t *testing.T, c *cluster) {
		l := c.leader()
		c.isolate(l, true)
		l.fs.SetOnSync(func(string) error { time.Sleep(time.Millisecond); return nil }) // so that proposals accumulate
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
			t.Fatalf("%d of 20 rejected, log has %d bytes", full, l.r.Status().LogBytes)
		}
		c.isolate(l, false)
		for i := range 100 { // many times the cap: snapshots free space
			testutil.NoError(t, c.set(fmt.Sprint("later", i), "/big", big, 10*time.Second))
		}
		for _, h := range c.hosts {
			if h.r.Err() != nil || h.r.Status().LogBytes > 64<<10 {
				t.Fatalf("%v, log has %d bytes", h.r.Err(), h.r.Status().LogBytes)
			}
		}
	})
}

// A watched replica is cut off while changes are made, and comes back. It must neither
// confirm its old revision nor send it again, or a host starts serving under settings
// from before the partition or returns to older ones.
func TestWatchOrderAndConfirmation(t *testing.T) {
	withCluster(t, nil, func(t *testing.T, c *cluster) {
		c.leader()
		c.mustSet(3, 0)
		f := c.follower()
		sub := f.r.Subscribe(0)
		// await reads events until one has the revision and the confirmed value.
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
			t.Fatalf("no event with revision %d and confirmed=%v", revision, confirmed)
		}
		await(3, true)
		behind := *f.r.view.Load()
		behind.confirmation.Index = 1000
		f.r.view.Store(&behind)
		if f.r.confirmed() {
			t.Fatal("the replica confirms changes that it has not applied")
		}
		c.isolate(f, true)
		c.mustSet(5, 3)
		await(3, false)
		if sub.r.confirmed() {
			t.Fatal("an isolated replica confirms its revision")
		}
		c.isolate(f, false)
		await(8, true)
		ctx := testutil.Within(t, time.Second)
		if e, err := f.r.Subscribe(5).Next(ctx); err != nil || len(e.Changes) != 3 || e.Changes[0].Revision != 6 {
			t.Fatalf("from 5: %v, %v", e, err)
		}
	})
}

// slowSnapshots takes 5 s to encode a snapshot.
type slowSnapshots struct{ *registers }

func (s slowSnapshots) Capture() (func() ([]byte, error), error) {
	data, err := s.Snapshot()
	return func() ([]byte, error) {
		time.Sleep(5 * time.Second)
		return data, err
	}, nil
}

// A leader that takes a snapshot of a large state for longer than its lease must not
// wait for it in the loop, or the group is without a leader for seconds every ten
// thousand changes.
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

func TestClosedLeaderTransfersLeadership(t *testing.T) {
	withCluster(t, nil, func(t *testing.T, c *cluster) {
		old := c.leader()
		c.mustSet(1, 0)
		start := time.Now()
		testutil.NoError(t, old.r.Close())
		if c.leader() == old || time.Since(start) >= 20*50*time.Millisecond {
			t.Fatalf("no other leader after %v", time.Since(start))
		}
	})
}

// Promises wait for the disk, so a slow one delays commits and elections. The log must
// report it, or nothing shows why.
func TestSlowDiskIsLogged(t *testing.T) {
	var lines testutil.LogBuffer
	withCluster(t, func(cfg *Config) { cfg.Logger = zerolog.New(&lines) }, func(t *testing.T, c *cluster) {
		l := c.leader()
		c.mustSet(1, 0)
		if strings.Contains(lines.String(), `"event":"disk-slow"`) {
			t.Error("a fast disk is reported as slow")
		}
		l.fs.SetOnSync(func(string) error { time.Sleep(2 * slowSyncThreshold); return nil })
		c.mustSet(1, 1)                   // by the two others, before the leader's write ends
		time.Sleep(2 * slowSyncThreshold) // the rest of the write
		if !strings.Contains(lines.String(), `"event":"disk-slow"`) {
			t.Error("the slow disk is not reported")
		}
	})
}
