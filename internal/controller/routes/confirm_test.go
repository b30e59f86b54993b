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

// Symptom: after a loss of power of the whole fleet, hosts refused a route as unknown that a
// table confirmed before the loss had.
// Sequence: a host starts; the control hosts answer it, but their group has no leader yet and
// confirms nothing; 2 s after the start the host serves under the table that one of them had.
// Cause: time passed was taken for knowledge: "whoever is in contact with the quorum confirms
// within a second".
func TestHostInReachOfControlHostsWaitsForAConfirmation(t *testing.T) {
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

// A group cut into halves elects no leader, though all of its replicas can be asked. A host
// that starts meanwhile serves under the table that they have.
func TestHostServesWithoutAConfirmationIfNoQuorumIsThere(t *testing.T) {
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
	testutil.Refused(t, err, errkind.HostNotReady, "so soon after a quorum was there")
	f.now = start.Add(unconfirmedGrace + confirmEvery)
	f.Reconcile(t.Context())
	f.fetches.Wait()
	if _, err := f.Current(); err != nil {
		t.Errorf("still refused: %v", err)
	}
}

// running has a controller look on by the bubble's clock until the test ends.
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

// Symptom: hosts refused as unknown what a table had that was confirmed 4 s before.
// Sequence: the host's own table was confirmed long ago; the newer one has not come to it.
// Cause: what the host's table does not have was taken for unknown.
func TestNewestIsConfirmedAnew(t *testing.T) {
	running(t, func(t *testing.T, f *fixture) {
		if _, err := f.Newest(t.Context()); err != nil {
			t.Errorf("refused right after a confirmation: %v", err)
		}
		time.Sleep(time.Minute)
		f.mu.Lock()
		f.sources = []Source{{Address: "control", Revision: 4, Control: true}}
		f.replies["control"] = &pb.FetchRoutesReply{Routes: table(t, 5), Confirmed: true}
		f.mu.Unlock()
		x, err := f.Newest(t.Context())
		testutil.NoError(t, err)
		if x.Revision() != 5 {
			t.Errorf("revision %d of 5 is called the newest", x.Revision())
		}
		asked := len(f.sortedAsked())
		time.Sleep(time.Minute)
		if again := len(f.sortedAsked()); again > asked+int(retryUnconfirmed/confirmEvery)+1 {
			t.Errorf("asked %d times more with nobody who wants it", again-asked)
		}
	})
}

func TestNewestIsRefusedWithoutAConfirmation(t *testing.T) {
	running(t, func(t *testing.T, f *fixture) {
		time.Sleep(time.Minute)
		for _, most := range []time.Duration{startWait + startLook, 0} { // the second one knows already
			asked := time.Now()
			_, err := f.Newest(t.Context())
			testutil.Refused(t, err, errkind.HostNotReady, "without a control host")
			if back := errkind.From(err).RetryAfter; back == 0 || time.Since(asked) > most {
				t.Errorf("refused after %v, to come back in %v", time.Since(asked), back)
			}
		}
		if x, err := f.Current(); err != nil || x.Revision() != 4 {
			t.Errorf("what the table has is refused: %v", err)
		}
	})
}

// Symptom: a host serves under an older table for seconds while others have a newer one, and
// can't have its own confirmed meanwhile.
// Sequence: a host that has told of a newer table freezes; it is the first to be asked for it.
// Cause: the loop waited for its answer, 1 s and twice as long each time after that, before it
// asked anybody for anything else.
func TestFrozenHostHoldsUpNoNewerTable(t *testing.T) {
	running(t, func(t *testing.T, f *fixture) {
		f.mu.Lock()
		f.replies["sound"] = &pb.FetchRoutesReply{Routes: table(t, 5)}
		f.replies["control"] = &pb.FetchRoutesReply{Routes: &pb.Routes{Revision: 5}, Confirmed: true}
		f.sources = []Source{
			{Address: "sound", Revision: 5}, {Address: "silent", Revision: 5}, {Address: "control", Control: true},
		}
		f.mu.Unlock()
		time.Sleep(hedgeAfter + 2*lookEvery)
		if f.Revision() != 5 {
			t.Fatalf("revision %d of 5 is in force", f.Revision())
		}
		time.Sleep(time.Minute)
		if _, err := f.Newest(t.Context()); err != nil {
			t.Errorf("not confirmed: %v", err)
		}
	})
}
