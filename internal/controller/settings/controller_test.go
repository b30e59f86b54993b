package settings

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// fakeWatcher delivers the events that a test sends to its channel.
type fakeWatcher struct{ events chan *pb.WatchEvent }

func (f *fakeWatcher) Watch(ctx context.Context, _ uint64, fn func(*pb.WatchEvent) error) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-f.events:
			if err := fn(e); err != nil {
				return err
			}
		}
	}
}

func team(revision uint64, timeout string) *pb.ConfigChange {
	return &pb.ConfigChange{Revision: revision, Version: revision, Path: "/teams/a", ValueJson: []byte(`{"default_timeout":"` + timeout + `"}`)}
}

func startController(t *testing.T) (*Controller, *fakeWatcher) {
	f := &fakeWatcher{events: make(chan *pb.WatchEvent)}
	c := New(f, zerolog.Nop(), time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return c, f
}

// TestNotReadyBeforeQuorumConfirms guards against a host that restarts next to a replica
// without a quorum and watches it: if an unconfirmed revision counted as the one in force, the
// host would serve under rules that were replaced long ago.
func TestNotReadyBeforeQuorumConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := startController(t)
		f.events <- &pb.WatchEvent{Revision: 1, Changes: []*pb.ConfigChange{team(1, "1s")}}
		synctest.Wait()
		if err := c.Ready(); !errkind.Is(err, errkind.HostNotReady) {
			t.Fatalf("ready with an unconfirmed revision: %v", err)
		}
		f.events <- &pb.WatchEvent{Confirmed: true}
		synctest.Wait()
		if err := c.Ready(); err != nil {
			t.Fatalf("not ready after the confirmation: %v", err)
		}
	})
}

// TestViewNeverGoesBack has a host apply revision 2 and then watch a peer that is still at 1.
// If an older snapshot or change were applied over a newer one, an accepted change would be
// undone at that host.
func TestViewNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := startController(t)
		f.events <- &pb.WatchEvent{Revision: 2, Changes: []*pb.ConfigChange{team(1, "1s"), team(2, "2s")}}
		synctest.Wait()
		f.events <- &pb.WatchEvent{Revision: 1, Changes: []*pb.ConfigChange{team(1, "1s")}}
		synctest.Wait()
		old := New(&fakeWatcher{}, zerolog.Nop(), time.Now)
		if err := old.apply(&pb.WatchEvent{Revision: 1, Changes: []*pb.ConfigChange{team(1, "1s")}}); err != nil {
			t.Fatal(err)
		}
		body, err := old.View().SnapshotJSON()
		if err != nil {
			t.Fatal(err)
		}
		f.events <- &pb.WatchEvent{Revision: 1, SnapshotJson: body}
		synctest.Wait()
		got, _ := c.Team("a")
		if c.Revision() != 2 || got.DefaultTimeout.Std() != 2*time.Second {
			t.Fatalf("the view went back to revision %d, timeout %s", c.Revision(), got.DefaultTimeout.Std())
		}
	})
}

// stream collects what a relay sends.
type stream struct {
	grpc.ServerStream
	ctx context.Context
	fn  func(*pb.WatchEvent)
}

func (s *stream) Send(e *pb.WatchEvent) error  { s.fn(e); return nil }
func (s *stream) Context() context.Context     { return s.ctx }
func (s *stream) SetHeader(metadata.MD) error  { return nil }
func (s *stream) SendHeader(metadata.MD) error { return nil }

// relayWatcher watches another controller through its relay.
type relayWatcher struct{ source *Controller }

func (r *relayWatcher) Watch(ctx context.Context, from uint64, fn func(*pb.WatchEvent) error) error {
	s := &stream{ctx: ctx, fn: func(e *pb.WatchEvent) { _ = fn(e) }}
	return NewRelay(r.source).Watch(&pb.WatchRequest{FromRevision: from}, s)
}

// TestHostsWatchingEachOtherBecomeStale has two hosts watch each other after the control group,
// which confirmed a revision, became unreachable. If the confirmation did not age on its way
// through relays, neither host would ever notice.
func TestHostsWatchingEachOtherBecomeStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := New(nil, zerolog.Nop(), time.Now), New(nil, zerolog.Nop(), time.Now)
		a.watcher, b.watcher = &relayWatcher{b}, &relayWatcher{a}
		if err := a.apply(&pb.WatchEvent{Revision: 1, Confirmed: true, Changes: []*pb.ConfigChange{team(1, "1s")}}); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{}, 2)
		for _, c := range []*Controller{a, b} {
			go func() { c.Run(ctx); done <- struct{}{} }()
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if b.Revision() != 1 {
			t.Fatalf("got revision %d from the relay, want 1", b.Revision())
		}
		for name, c := range map[string]*Controller{"a": a, "b": b} {
			if age, ok := c.ContactAge(); !ok || age < 59*time.Second {
				t.Errorf("%s: contact age %s (%v) after a minute without contact", name, age, ok)
			}
		}
		cancel()
		<-done
		<-done
	})
}

// TestRelayConfirmsUnchangedRevision guards against a restarted host that never becomes ready
// although it has the newest settings: it watches a connected relay at the same revision, and a
// confirmation without a revision was taken for that of an older one.
func TestRelayConfirmsUnchangedRevision(t *testing.T) {
	c := New(nil, zerolog.Nop(), time.Now)
	if err := c.apply(&pb.WatchEvent{Revision: 1, Confirmed: true, Changes: []*pb.ConfigChange{team(1, "1s")}}); err != nil {
		t.Fatal(err)
	}
	e, err := NewRelay(c).event(1)
	if err != nil || e.Revision != 1 || !e.Confirmed || len(e.SnapshotJson) > 0 {
		t.Fatalf("got %v, %v", e, err)
	}
}

// TestRelaySendsChangesOrSnapshot checks that a relay sends a watcher only the changes that it
// lacks. A relay that kept nothing but the view would send the whole tree to each of its
// watchers for every changed line.
func TestRelaySendsChangesOrSnapshot(t *testing.T) {
	c := New(nil, zerolog.Nop(), time.Now)
	for rev := uint64(1); rev <= maxRecentChanges+5; rev++ {
		if err := c.apply(&pb.WatchEvent{Revision: rev, Changes: []*pb.ConfigChange{team(rev, "1s")}}); err != nil {
			t.Fatal(err)
		}
	}
	r := NewRelay(c)
	last := c.Revision()
	for _, tt := range []struct {
		have    uint64
		changes int
		tree    bool
	}{{last, 0, false}, {last - 1, 1, false}, {last - maxRecentChanges, maxRecentChanges, false}, {last - maxRecentChanges - 1, 0, true}, {0, 0, true}} {
		e, err := r.event(tt.have)
		if err != nil || len(e.Changes) != tt.changes || len(e.SnapshotJson) > 0 != tt.tree {
			t.Fatalf("event for a watcher at %d: %d changes, tree of %d bytes, %v; want %d, %v",
				tt.have, len(e.GetChanges()), len(e.GetSnapshotJson()), err, tt.changes, tt.tree)
		}
		v := settings.NewView()
		if tt.have > 0 && !tt.tree {
			continue
		}
		if got, err := advance(v, e); err != nil || got.Revision() != last {
			t.Fatalf("the tree has revision %d, %v", got.Revision(), err)
		}
	}
}
