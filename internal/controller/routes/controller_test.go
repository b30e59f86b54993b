package routes

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
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
	now     time.Time
	sources []Source
	asked   []string
	replies map[string]*pb.FetchRoutesReply
	changes []uint64
}

func newFixture() *fixture {
	f := &fixture{now: start, replies: map[string]*pb.FetchRoutesReply{}}
	f.Controller = New(Config{
		Sources: func() []Source { return f.sources },
		Fetch: func(_ context.Context, address string, _ *pb.FetchRoutesRequest) (*pb.FetchRoutesReply, error) {
			f.asked = append(f.asked, address)
			reply := f.replies[address]
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
	f.Take(&pb.FetchRoutesReply{Routes: table(t, 4)})
	_, err := f.Current()
	testutil.Refused(t, err, errkind.HostNotReady, "before a confirmation")
	f.Take(&pb.FetchRoutesReply{Routes: &pb.Routes{Revision: 5}, Confirmed: true})
	_, err = f.Current()
	testutil.Refused(t, err, errkind.HostNotReady, "a newer one is confirmed")
	f.Take(&pb.FetchRoutesReply{Routes: table(t, 5), Confirmed: true})
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
	f.Take(&pb.FetchRoutesReply{Routes: table(t, 4)})
	f.now = start.Add(unconfirmedGrace)
	if _, err := f.Current(); err != nil {
		t.Errorf("still refused: %v", err)
	}
}

func TestReconcileAsksWhoeverHasANewerTable(t *testing.T) {
	f := newFixture()
	f.Take(&pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
	f.sources = []Source{{Address: "same", Revision: 4}, {Address: "older", Revision: 3, Control: true}, {Address: "newer", Revision: 6}}
	f.replies["newer"] = &pb.FetchRoutesReply{Routes: table(t, 6)}
	f.Reconcile(t.Context())
	f.Reconcile(t.Context())
	if len(f.asked) != 1 || f.asked[0] != "newer" || f.Revision() != 6 {
		t.Errorf("asked %v, has revision %d", f.asked, f.Revision())
	}
}

func TestReconcileLooksForAConfirmationFirst(t *testing.T) {
	// Until a table is confirmed all control hosts are asked in turn, also those that tell no
	// newer one: one of them may be out of reach.
	f := newFixture()
	f.Take(&pb.FetchRoutesReply{Routes: table(t, 4)})
	f.sources = []Source{{Address: "sound", Revision: 4, Control: true}, {Address: "plain", Revision: 4}, {Address: "lost", Revision: 4, Control: true}}
	f.replies["sound"] = &pb.FetchRoutesReply{Routes: &pb.Routes{Revision: 4}, Confirmed: true}
	for range 2 {
		f.Reconcile(t.Context())
	}
	if _, err := f.Current(); err != nil || len(f.asked) != 2 {
		t.Fatalf("asked %v: %v", f.asked, err)
	}
	f.Reconcile(t.Context())
	if len(f.asked) != 2 {
		t.Errorf("asked on after the confirmation: %v", f.asked)
	}
}

func TestUnreadableTableIsNotTaken(t *testing.T) {
	f := newFixture()
	f.Take(&pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
	f.Take(&pb.FetchRoutesReply{Routes: &pb.Routes{Revision: 5, TableJson: []byte(`{"routes":[{}]}`)}, Confirmed: true})
	if x, err := f.Current(); err != nil || x.Revision() != 4 {
		t.Errorf("revision %d in force: %v", f.Revision(), err)
	}
}

func TestHostsAnswerWithWhatTheyHave(t *testing.T) {
	f := newFixture()
	f.Take(&pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
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
			f.Take(&pb.FetchRoutesReply{Routes: offered, Confirmed: rapid.Bool().Draw(t, "confirmed")})
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
