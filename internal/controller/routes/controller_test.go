package routes

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

var start = time.Unix(1000, 0)

// table returns a valid table with a revision.
func table(t testutil.TB, revision uint64) *pb.Routes {
	t.Helper()
	b, err := json.Marshal(routes.Table{
		Routes: []routes.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: routes.Idempotent, Timeout: settings.Duration(time.Second), MaxAttempts: 1,
			Targets: []routes.Target{{Service: "s", Weight: 1}},
		}},
		Services: []routes.Service{{Name: "s"}},
	})
	testutil.NoError(t, err)
	return &pb.Routes{Revision: revision, TableJson: b}
}

// fixture is a controller with the replies of other hosts.
type fixture struct {
	*Controller
	mu      sync.Mutex
	now     time.Time
	sources []Source
	asked   []string
	replies map[string]*pb.FetchRoutesReply
	changes []uint64
}

func newFixture() *fixture {
	f := &fixture{now: start, replies: map[string]*pb.FetchRoutesReply{}}
	f.Controller = New(Config{
		Sources: func() []Source {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.sources
		},
		Fetch: func(ctx context.Context, address string, _ *pb.FetchRoutesRequest) (*pb.FetchRoutesReply, error) {
			f.mu.Lock()
			f.asked = append(f.asked, address)
			reply := f.replies[address]
			f.mu.Unlock()
			if address == "silent" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			if reply == nil {
				return nil, errors.New("out of reach")
			}
			return reply, nil
		},
		OnChange: func(_, after *routes.Index) { f.changes = append(f.changes, after.Revision()) },
		Now:      func() time.Time { return f.now },
		Log:      zerolog.Nop(),
	})
	return f
}

// sortedAsked returns the hosts called so far, sorted.
func (f *fixture) sortedAsked() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(slices.Values(f.asked))
}

func TestNothingIsServedWithoutATable(t *testing.T) {
	f := newFixture()
	f.now = start.Add(time.Hour)
	_, err := f.Current()
	testutil.Refused(t, err, errkind.HostNotReady, "without a table")
	if errkind.From(err).RetryAfter == 0 {
		t.Error("the refusal has no Retry-After")
	}
}

func TestTableIsNotServedBeforeConfirmation(t *testing.T) {
	// Guards against a starting host that accepts revoked keys because it serves under the
	// first table it gets, which may come from a partitioned host and be old.
	f := newFixture()
	f.Apply("peer", &pb.FetchRoutesReply{Routes: table(t, 4)})
	_, err := f.Current()
	testutil.Refused(t, err, errkind.HostNotReady, "before a confirmation")
	f.Apply("peer", &pb.FetchRoutesReply{Routes: &pb.Routes{Revision: 5}, Confirmed: true})
	_, err = f.Current()
	testutil.Refused(t, err, errkind.HostNotReady, "while a newer one is confirmed")
	f.Apply("peer", &pb.FetchRoutesReply{Routes: table(t, 5), Confirmed: true})
	x, err := f.Current()
	testutil.NoError(t, err)
	if x.Revision() != 5 {
		t.Errorf("revision %d is in force", x.Revision())
	}
}

func TestUnconfirmedTableIsServedAfterGrace(t *testing.T) {
	// Guards against a host that starts during a partition and serves nobody until it ends: no
	// host that it reaches is in contact with a quorum, and it waits for a confirmation without
	// bound.
	f := newFixture()
	f.Apply("peer", &pb.FetchRoutesReply{Routes: table(t, 4)})
	f.now = start.Add(unconfirmedGrace)
	if _, err := f.Current(); err != nil {
		t.Errorf("still rejected: %v", err)
	}
}

func TestReconcileFetchesOnlyNewerTables(t *testing.T) {
	f := newFixture()
	f.Apply("peer", &pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
	f.sources = []Source{{Address: "same", Revision: 4}, {Address: "older", Revision: 3, Control: true}, {Address: "newer", Revision: 6}}
	f.replies["newer"] = &pb.FetchRoutesReply{Routes: table(t, 6)}
	f.Reconcile(t.Context())
	f.fetches.Wait()
	f.Reconcile(t.Context())
	f.fetches.Wait()
	if len(f.asked) != 1 || f.asked[0] != "newer" || f.Revision() != 6 {
		t.Errorf("asked %v, has revision %d", f.asked, f.Revision())
	}
}

// Guards against hosts that serve nobody for a second longer than necessary after a power failure:
// they ask the control hosts in turn and wait for the answer of one that is not back yet, although
// another one can confirm the table.
func TestSilentControlHostIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.Apply("peer", &pb.FetchRoutesReply{Routes: table(t, 4)})
		f.sources = []Source{
			{Address: "plain", Revision: 4}, {Address: "silent", Revision: 4, Control: true}, {Address: "sound", Revision: 4, Control: true},
			{Address: "lost", Revision: 4, Control: true},
		}
		f.replies["sound"] = &pb.FetchRoutesReply{Routes: &pb.Routes{Revision: 4}, Confirmed: true}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(3 * confirmEvery) // less than the timeout of the silent host
		if _, err := f.Current(); err != nil {
			t.Fatal(err)
		}
		asked := f.sortedAsked()
		if slices.Contains(asked, "plain") || !slices.Contains(asked, "silent") {
			t.Errorf("asked %v", asked)
		}
		time.Sleep(time.Second)
		if again := f.sortedAsked(); len(again) != len(asked) {
			t.Errorf("asked again after the confirmation: %v", again)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against callers that are rejected after a power failure by hosts that would serve a moment
// later, and rejected again when they retry. A host whose table is confirmed 100 ms later rejected
// requests at once, as did one whose start takes longer, both with a Retry-After that was too short.
func TestAwaitWaitsForTheEndOfAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.cfg.Now = time.Now
		f.started = time.Now()
		go func() {
			time.Sleep(startAwaitTimeout + 100*time.Millisecond)
			f.Apply("peer", &pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
		}()
		_, err := f.Await(t.Context())
		testutil.Refused(t, err, errkind.HostNotReady, "long before the end of the start")
		waited := time.Since(f.started)
		if back := errkind.From(err).RetryAfter; waited > startAwaitTimeout+awaitPollInterval || back < typicalStart-startAwaitTimeout-awaitPollInterval {
			t.Errorf("rejected after %v, Retry-After %v", waited, back)
		}
		if x, err := f.Await(t.Context()); err != nil || x.Revision() != 4 {
			t.Errorf("rejected shortly before the end of the start: %v", err)
		}
	})
}

// A host that can't serve long after its start is no reason for a long wait.
func TestAwaitIsShortAfterTheStart(t *testing.T) {
	for uptime, want := range map[time.Duration]time.Duration{
		0: startAwaitTimeout, typicalStart - 400*time.Millisecond: 400 * time.Millisecond, typicalStart: awaitTimeout, time.Hour: awaitTimeout,
	} {
		if got := awaitBound(uptime); got != want {
			t.Errorf("%s after the start: waits for %s, want %s", uptime, got, want)
		}
	}
}

// Guards against a host that has just started, reports itself ready, and rejects what all others could
// serve: it has its table, but the heartbeats of hosts and servers arrive a moment later.
func TestStartingHostWaitsForWhatIsMissing(t *testing.T) {
	f := newFixture()
	missing := "a backend server"
	f.cfg.Missing = func(*routes.Index) string { return missing }
	f.Apply("peer", &pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
	_, err := f.Current()
	testutil.Refused(t, err, errkind.HostNotReady, "without servers")
	f.now = start.Add(startGrace + 1)
	if _, err := f.Current(); err != nil {
		t.Errorf("a service without servers keeps the host from serving others: %v", err)
	}
	f.now, missing = start, ""
	if _, err := f.Current(); err != nil {
		t.Errorf("rejected although nothing is missing: %v", err)
	}
}

func TestUnreadableTableIsNotApplied(t *testing.T) {
	f := newFixture()
	f.Apply("peer", &pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
	f.Apply("peer", &pb.FetchRoutesReply{Routes: &pb.Routes{Revision: 5, TableJson: []byte(`{"routes":[{}]}`)}, Confirmed: true})
	if x, err := f.Current(); err != nil || x.Revision() != 4 {
		t.Errorf("revision %d in force: %v", f.Revision(), err)
	}
}

func TestHandleFetchReturnsTheTableIfNewer(t *testing.T) {
	f := newFixture()
	f.Apply("peer", &pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
	if got := f.HandleFetch(&pb.FetchRoutesRequest{Have: 3}); got.GetRoutes().GetRevision() != 4 || got.GetRoutes().GetTableJson() == nil || got.GetConfirmed() {
		t.Errorf("to a host with revision 3: %v", got)
	}
	if got := f.HandleFetch(&pb.FetchRoutesRequest{Have: 4}); got.GetRoutes().GetTableJson() != nil {
		t.Errorf("to a host with revision 4: %v", got)
	}
}

// Guards against a restarted host that sends requests to an evacuated zone: the confirmation of its
// table makes it serve, and must not come before the evacuated zones.
func TestEvacuationsAreAppliedBeforeTheConfirmation(t *testing.T) {
	f := newFixture()
	var got *pb.Evacuations
	f.cfg.OnEvacuations = func(e *pb.Evacuations, _ string) {
		if _, err := f.Current(); err == nil {
			t.Error("the host serves before it knows the evacuated zones")
		}
		got = e
	}
	f.Apply("control", FromReplica(replica{table: table(t, 4), confirmed: true}, &pb.FetchRoutesRequest{}))
	if _, err := f.Current(); err != nil || got.GetRevision() != 3 || got.GetZones()[0].GetZone() != "z" {
		t.Errorf("%v, evacuations %v", err, got)
	}
	f.cfg.Evacuations = func() *pb.Evacuations { return got }
	if reply := f.HandleFetch(&pb.FetchRoutesRequest{RevisionOnly: true}); reply.GetEvacuations().GetRevision() != 3 {
		t.Errorf("the host passes on %v", reply.GetEvacuations())
	}
}

type replica struct {
	table     *pb.Routes
	confirmed bool
}

func (r replica) Routes() (*pb.Routes, bool) { return r.table, r.confirmed }
func (r replica) HeardFromQuorum() bool      { return r.confirmed }
func (r replica) Evacuations() *pb.Evacuations {
	return &pb.Evacuations{Revision: 3, Zones: []*pb.Evacuation{{Zone: "z"}}}
}

func TestReplicaConfirmsTheTableItApplied(t *testing.T) {
	got := FromReplica(replica{table: table(t, 7), confirmed: true}, &pb.FetchRoutesRequest{Have: 7})
	if !got.GetConfirmed() || got.GetRoutes().GetRevision() != 7 || got.GetRoutes().GetTableJson() != nil {
		t.Errorf("got %v", got)
	}
}

// TestRevisionNeverDecreases checks that for all replies in any order the revision in force only
// increases, and that each change is reported once.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		last := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			revision := rapid.Uint64Range(1, 10).Draw(t, "revision")
			offered := table(t, revision)
			if rapid.Bool().Draw(t, "empty") {
				offered = &pb.Routes{Revision: revision}
			}
			f.Apply("peer", &pb.FetchRoutesReply{Routes: offered, Confirmed: rapid.Bool().Draw(t, "confirmed")})
			f.now = f.now.Add(time.Second)
			if f.Revision() < last {
				t.Fatalf("went from %d to %d", last, f.Revision())
			}
			last = f.Revision()
		}
		for i := 1; i < len(f.changes); i++ {
			if f.changes[i] <= f.changes[i-1] {
				t.Fatalf("reported changes: %v", f.changes)
			}
		}
	})
}

// Guards against tables that a host fetches a second after it has heard of them, as it looks seldom while nothing
// changes, and against hosts that look all the time.
func TestNewerTableIsFetchedOnceItIsHeardOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		var looks atomic.Int64
		sources := f.cfg.Sources
		f.cfg.Sources = func() []Source {
			looks.Add(1)
			return sources()
		}
		f.Apply("control", &pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(10 * time.Second)
		if n := looks.Load(); n > 20 {
			t.Errorf("%d looks at the other hosts' revisions in 10 s without a change", n)
		}
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		f.replies["peer"] = &pb.FetchRoutesReply{Routes: table(t, 5)}
		f.sources = []Source{{Address: "peer", Revision: 5}}
		f.mu.Unlock()
		f.Wake()
		synctest.Wait()
		if f.Revision() != 5 {
			t.Errorf("revision %d is in force after the host has heard of 5", f.Revision())
		}
		cancel()
		synctest.Wait()
	})
}
