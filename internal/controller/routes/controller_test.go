package routes

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
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

// table is a sound table of a revision.
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

// fixture is a controller with hosts that it can ask.
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
		Changed: func(_, after *routes.Index) { f.changes = append(f.changes, after.Revision()) },
		Now:     func() time.Time { return f.now },
		Log:     zerolog.Nop(),
	})
	return f
}

// sortedAsked lists the hosts that were asked so far.
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
		t.Error("the refusal does not say when to come back")
	}
}

func TestTableWaitsForAConfirmation(t *testing.T) {
	// Symptom: a host that has just started runs requests under keys that were taken away.
	// Sequence: it starts, and hears first of a host that was cut off and has an old table.
	// Cause: the first table heard of was put in force at once.
	f := newFixture()
	f.Take("peer", &pb.FetchRoutesReply{Routes: table(t, 4)})
	_, err := f.Current()
	testutil.Refused(t, err, errkind.HostNotReady, "before a confirmation")
	f.Take("peer", &pb.FetchRoutesReply{Routes: &pb.Routes{Revision: 5}, Confirmed: true})
	_, err = f.Current()
	testutil.Refused(t, err, errkind.HostNotReady, "a newer one is confirmed")
	f.Take("peer", &pb.FetchRoutesReply{Routes: table(t, 5), Confirmed: true})
	x, err := f.Current()
	testutil.NoError(t, err)
	if x.Revision() != 5 {
		t.Errorf("revision %d is in force", x.Revision())
	}
}

func TestUnconfirmedTableServesInTheEnd(t *testing.T) {
	// Symptom: a host that starts during a partition serves nobody until it is over.
	// Sequence: no host that it hears of is in contact with a quorum.
	// Cause: it waits for a confirmation without bound.
	f := newFixture()
	f.Take("peer", &pb.FetchRoutesReply{Routes: table(t, 4)})
	f.now = start.Add(unconfirmedGrace)
	if _, err := f.Current(); err != nil {
		t.Errorf("still refused: %v", err)
	}
}

func TestReconcileAsksWhoeverHasANewerTable(t *testing.T) {
	f := newFixture()
	f.Take("peer", &pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
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

// Symptom: after a loss of power hosts serve nobody for a second longer than they must.
// Sequence: a host starts; of the control hosts that it knows one is not back yet and
// gives no answer, another has what a quorum confirmed.
// Cause: they are asked in turn, and each is waited for.
func TestSilentControlHostIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.Take("peer", &pb.FetchRoutesReply{Routes: table(t, 4)})
		f.sources = []Source{
			{Address: "plain", Revision: 4}, {Address: "silent", Revision: 4, Control: true}, {Address: "sound", Revision: 4, Control: true},
			{Address: "lost", Revision: 4, Control: true},
		}
		f.replies["sound"] = &pb.FetchRoutesReply{Routes: &pb.Routes{Revision: 4}, Confirmed: true}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(3 * confirmEvery) // less than waiting for the silent one would take
		if _, err := f.Current(); err != nil {
			t.Fatal(err)
		}
		asked := f.sortedAsked()
		if slices.Contains(asked, "plain") || !slices.Contains(asked, "silent") {
			t.Errorf("asked %v", asked)
		}
		time.Sleep(time.Second)
		if again := f.sortedAsked(); len(again) != len(asked) {
			t.Errorf("asked on after the confirmation: %v", again)
		}
		cancel()
		synctest.Wait()
	})
}

// Symptom: after a loss of power callers are refused by hosts that serve a moment later,
// come back, and are refused again.
// Sequence: a request comes to a host whose table is confirmed 100 ms later; another to
// one whose start takes longer.
// Cause: both are refused at once, with a time to come back at which nothing has changed.
func TestRequestsWaitForTheEndOfAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.cfg.Now = time.Now
		f.started = time.Now()
		go func() {
			time.Sleep(startWait + 100*time.Millisecond)
			f.Take("peer", &pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
		}()
		_, err := f.Await(t.Context())
		testutil.Refused(t, err, errkind.HostNotReady, "long before the end of the start")
		waited := time.Since(f.started)
		if back := errkind.From(err).RetryAfter; waited > startWait+startLook || back < usualStart-startWait-startLook {
			t.Errorf("refused after %v, to come back in %v", waited, back)
		}
		if x, err := f.Await(t.Context()); err != nil || x.Revision() != 4 {
			t.Errorf("refused shortly before the end of the start: %v", err)
		}
	})
}

// Symptom: a host that has just started refuses what all others could serve, and calls
// itself ready.
// Sequence: it gets its table; the heartbeats of hosts and servers come a moment later.
// Cause: the table taken for all that it needs.
func TestStartingHostWaitsForWhatItLacks(t *testing.T) {
	f := newFixture()
	lacks := "a backend server"
	f.cfg.Lacks = func(*routes.Index) string { return lacks }
	f.Take("peer", &pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
	_, err := f.Current()
	testutil.Refused(t, err, errkind.HostNotReady, "without servers")
	f.now = start.Add(startGrace + 1)
	if _, err := f.Current(); err != nil {
		t.Errorf("a service without servers keeps a host from serving the others: %v", err)
	}
	f.now, lacks = start, ""
	if _, err := f.Current(); err != nil {
		t.Errorf("refused with all it needs: %v", err)
	}
}

func TestUnreadableTableIsNotTaken(t *testing.T) {
	f := newFixture()
	f.Take("peer", &pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
	f.Take("peer", &pb.FetchRoutesReply{Routes: &pb.Routes{Revision: 5, TableJson: []byte(`{"routes":[{}]}`)}, Confirmed: true})
	if x, err := f.Current(); err != nil || x.Revision() != 4 {
		t.Errorf("revision %d in force: %v", f.Revision(), err)
	}
}

func TestHostsAnswerWithWhatTheyHave(t *testing.T) {
	f := newFixture()
	f.Take("peer", &pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
	if got := f.HandleFetch(&pb.FetchRoutesRequest{Have: 3}); got.GetRoutes().GetRevision() != 4 || got.GetRoutes().GetTableJson() == nil || got.GetConfirmed() {
		t.Errorf("to one that has 3: %v", got)
	}
	if got := f.HandleFetch(&pb.FetchRoutesRequest{Have: 4}); got.GetRoutes().GetTableJson() != nil {
		t.Errorf("to one that has 4: %v", got)
	}
}

type replica struct {
	table     *pb.Routes
	confirmed bool
}

func (r replica) Routes() (*pb.Routes, bool) { return r.table, r.confirmed }
func (r replica) HeardFromQuorum() bool      { return r.confirmed }

func TestReplicaAnswersConfirmWhatItApplied(t *testing.T) {
	got := FromReplica(replica{table: table(t, 7), confirmed: true}, &pb.FetchRoutesRequest{Have: 7})
	if !got.GetConfirmed() || got.GetRoutes().GetRevision() != 7 || got.GetRoutes().GetTableJson() != nil {
		t.Errorf("got %v", got)
	}
}

// TestNeverGoesBack: whatever answers come in whatever order, the table in force only
// gets newer, and each change is told once.
func TestNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		last := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			revision := rapid.Uint64Range(1, 10).Draw(t, "revision")
			offered := table(t, revision)
			if rapid.Bool().Draw(t, "empty") {
				offered = &pb.Routes{Revision: revision}
			}
			f.Take("peer", &pb.FetchRoutesReply{Routes: offered, Confirmed: rapid.Bool().Draw(t, "confirmed")})
			f.now = f.now.Add(time.Second)
			if f.Revision() < last {
				t.Fatalf("went from %d to %d", last, f.Revision())
			}
			last = f.Revision()
		}
		for i := 1; i < len(f.changes); i++ {
			if f.changes[i] <= f.changes[i-1] {
				t.Fatalf("told %v", f.changes)
			}
		}
	})
}
