package routes

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// Guards against hosts that, after a power failure of the whole fleet, reject a route as unknown that
// the newest confirmed table contains. The control hosts answer a starting host, but have no leader
// yet and confirm nothing. The host served 2 s after its start under the older table of one of them,
// on the false assumption that a reachable quorum confirms within a second.
func TestHostThatReachesControlHostsWaitsForConfirmation(t *testing.T) {
	f := newFixture()
	f.sources = []Source{{Address: "control", Revision: 4, Control: true}}
	f.replies["control"] = &pb.FetchRoutesReply{Routes: table(t, 4)}
	for f.now.Before(start.Add(20 * time.Second)) {
		f.Reconcile(t.Context())
		f.fetches.Wait()
		_, err := f.Current()
		testutil.Refused(t, err, errkind.HostNotReady, "without a confirmation")
		f.now = f.now.Add(confirmEvery)
	}
	f.replies["control"] = &pb.FetchRoutesReply{Routes: table(t, 5), Confirmed: true}
	for range 3 {
		f.Reconcile(t.Context())
		f.fetches.Wait()
	}
	x, err := f.Current()
	testutil.NoError(t, err)
	if x.Revision() != 5 {
		t.Errorf("revision %d is in force", x.Revision())
	}
}

// A control group split into halves elects no leader although all of its replicas answer. A host that
// starts meanwhile must serve under the table that they have.
func TestHostServesUnconfirmedTableWithoutQuorum(t *testing.T) {
	f := newFixture()
	f.sources = []Source{{Address: "control", Revision: 4, Control: true}}
	f.replies["control"] = &pb.FetchRoutesReply{Routes: table(t, 4)}
	f.Reconcile(t.Context())
	f.fetches.Wait()
	f.replies["control"] = &pb.FetchRoutesReply{Routes: table(t, 4), WithoutQuorum: true}
	f.now = start.Add(unconfirmedGrace - confirmEvery)
	f.Reconcile(t.Context())
	f.fetches.Wait()
	_, err := f.Current()
	testutil.Refused(t, err, errkind.HostNotReady, "within the grace period after the last contact with a quorum")
	f.now = start.Add(unconfirmedGrace + confirmEvery)
	f.Reconcile(t.Context())
	f.fetches.Wait()
	if _, err := f.Current(); err != nil {
		t.Errorf("still rejected: %v", err)
	}
}

// running runs a controller with the clock of a synctest bubble for the duration of test.
func running(t *testing.T, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.cfg.Now, f.started = time.Now, time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		f.Apply("control", &pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
		go f.Run(ctx)
		test(t, f)
		cancel()
		synctest.Wait()
	})
}

// Guards against hosts that reject as unknown what a table confirmed 4 s earlier contains: the host's
// own table was confirmed long ago, and the newer one has not reached it.
func TestNewestRenewsTheConfirmation(t *testing.T) {
	running(t, func(t *testing.T, f *fixture) {
		if _, err := f.Newest(t.Context()); err != nil {
			t.Errorf("rejected right after a confirmation: %v", err)
		}
		time.Sleep(time.Minute)
		f.mu.Lock()
		f.sources = []Source{{Address: "control", Revision: 4, Control: true}}
		f.replies["control"] = &pb.FetchRoutesReply{Routes: table(t, 5), Confirmed: true}
		f.mu.Unlock()
		x, err := f.Newest(t.Context())
		testutil.NoError(t, err)
		if x.Revision() != 5 {
			t.Errorf("got revision %d, want 5", x.Revision())
		}
		asked := len(f.sortedAsked())
		time.Sleep(time.Minute)
		if again := len(f.sortedAsked()); again > asked+int(retryUnconfirmed/confirmEvery)+1 {
			t.Errorf("asked %d more times without a request for a confirmation", again-asked)
		}
	})
}

func TestNewestFailsWithoutConfirmation(t *testing.T) {
	running(t, func(t *testing.T, f *fixture) {
		time.Sleep(time.Minute)
		for _, most := range []time.Duration{awaitTimeout + awaitPollInterval, 0} { // the second call fails at once
			asked := time.Now()
			_, err := f.Newest(t.Context())
			testutil.Refused(t, err, errkind.HostNotReady, "without a control host")
			if back := errkind.From(err).RetryAfter; back == 0 || time.Since(asked) > most {
				t.Errorf("rejected after %v, Retry-After %v", time.Since(asked), back)
			}
		}
		if x, err := f.Current(); err != nil || x.Revision() != 4 {
			t.Errorf("Current fails as well: %v", err)
		}
	})
}

// Guards against a host that serves under an older table for seconds while others have a newer one,
// and can't get its own confirmed meanwhile. The first host from which it fetched the newer table was
// frozen, and the loop waited for its answer, 1 s and then twice as long each time, before it called
// any other host.
func TestFrozenHostDoesNotDelayNewerTable(t *testing.T) {
	running(t, func(t *testing.T, f *fixture) {
		f.mu.Lock()
		f.replies["sound"] = &pb.FetchRoutesReply{Routes: table(t, 5)}
		f.replies["control"] = &pb.FetchRoutesReply{Routes: &pb.Routes{Revision: 5}, Confirmed: true}
		f.sources = []Source{
			{Address: "sound", Revision: 5}, {Address: "silent", Revision: 5}, {Address: "control", Control: true},
		}
		f.mu.Unlock()
		time.Sleep(hedgeAfter + 2*reconcileEvery)
		if f.Revision() != 5 {
			t.Fatalf("revision %d is in force, want 5", f.Revision())
		}
		time.Sleep(time.Minute)
		if _, err := f.Newest(t.Context()); err != nil {
			t.Errorf("not confirmed: %v", err)
		}
	})
}
