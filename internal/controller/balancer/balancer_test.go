package balancer

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/retry"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const service = "lookup"

type fixture struct {
	*Balancer
	told int
	log  bytes.Buffer
}

func newFixture(hosts int) *fixture {
	f := &fixture{}
	f.Balancer = New(Config{
		Host: "a", Zone: "z", Retry: retry.Bounds{Window: time.Hour, Share: 0.5, Extra: 4},
		Hosts: func() int { return hosts }, Changed: func(*pb.ServerState) { f.told++ }, Log: zerolog.New(&f.log),
	})
	return f
}

func server(id string, seq uint64) instance.Announcement {
	return instance.Announcement{ID: id, Service: service, Address: "10.0.0.1:80", Zone: "z", Slots: 2, Seq: seq}
}

func (f *fixture) chosen(t *testing.T) string {
	t.Helper()
	l, err := f.Acquire(t.Context(), &balance.Work{Service: service})
	if err != nil {
		testutil.Refused(t, err, errkind.NoBackendServer, "acquire")
		return ""
	}
	defer l.Done(balance.Served)
	return l.Choice().Instance.ID
}

func TestPeersAreToldAtOnceOfChangesOnly(t *testing.T) {
	// A server that leaves gets nothing from any host two seconds after one host has heard
	// it; the peers hear it with the next heartbeat, which Changed brings forward.
	f := newFixture(1)
	testutil.NoError(t, f.Announce(server("s1", 1)))
	testutil.NoError(t, f.Announce(server("s1", 2)))
	if f.told != 1 {
		t.Errorf("told %d times of one new server", f.told)
	}
	leaving := server("s1", 3)
	leaving.Draining = true
	testutil.NoError(t, f.Announce(leaving))
	testutil.NoError(t, f.EndKnown("s1"))
	testutil.NoError(t, f.EndKnown("s1"))
	if f.told != 3 {
		t.Errorf("told %d times in all", f.told)
	}
	if n := strings.Count(f.log.String(), `"event":"server-heard"`); n != 3 {
		t.Errorf("%d lines for 3 changes: %s", n, &f.log)
	}
}

func TestWhatOneHostHearsServesAnother(t *testing.T) {
	a, b := newFixture(2), newFixture(2)
	testutil.NoError(t, a.Announce(server("s1", 1)))
	b.Merge(a.Servers(), time.Millisecond)
	if got := b.chosen(t); got != "s1" {
		t.Fatalf("chose %q", got)
	}
	testutil.NoError(t, a.End(instance.Incarnation{ID: "s1"}))
	b.Merge(a.Servers(), time.Millisecond)
	if got := b.chosen(t); got != "" {
		t.Fatalf("chose %q, which is gone", got)
	}
}

func TestWrongInstanceGetsNothingMore(t *testing.T) {
	f := newFixture(1)
	testutil.NoError(t, f.Announce(server("s1", 1)))
	l, err := f.Acquire(t.Context(), &balance.Work{Service: service})
	testutil.NoError(t, err)
	l.WrongInstance()
	l.Done(balance.Served)
	if got := f.chosen(t); got != "" {
		t.Errorf("chose %q again", got)
	}
}

func TestLeasesCountUntilDone(t *testing.T) {
	f := newFixture(1)
	testutil.NoError(t, f.Announce(server("s1", 1)))
	l, err := f.Acquire(t.Context(), &balance.Work{Service: service})
	testutil.NoError(t, err)
	l.FirstByte()
	l.FirstByte()
	l.Report(balance.Load{Running: 1, Slots: 2})
	if n := f.Running(); n != 1 {
		t.Errorf("%d running", n)
	}
	l.Done(balance.Served)
	if n := f.Running(); n != 0 {
		t.Errorf("%d running after all are done", n)
	}
}

func TestRetriesAreSharedBetweenHosts(t *testing.T) {
	f := newFixture(2)
	for range 4 {
		f.CountRequest(service)
	}
	allowed := 0
	for range 10 {
		if f.Allow(service) {
			allowed++
		}
	}
	if allowed != 4 { // half of 4 requests, and half of 4 that two hosts share
		t.Errorf("%d further attempts for 4 requests", allowed)
	}
}

func TestLostAndRegainedServersAreLogged(t *testing.T) {
	f := newFixture(1)
	testutil.NoError(t, f.Announce(server("s1", 1)))
	for _, r := range []balance.Result{balance.Broken, balance.Served, balance.Served} {
		l, err := f.Acquire(t.Context(), &balance.Work{Service: service})
		for err != nil { // it pauses
			time.Sleep(10 * time.Millisecond)
			l, err = f.Acquire(t.Context(), &balance.Work{Service: service})
		}
		l.Done(r)
	}
	for _, event := range []string{"server-lost", "server-regained"} {
		if n := strings.Count(f.log.String(), `"event":"`+event+`"`); n != 1 {
			t.Errorf("%d lines %s: %s", n, event, &f.log)
		}
	}
}

// restarted is a run of a server.
func restarted(started, seq uint64) instance.Announcement {
	a := server("s1", seq)
	a.Started = started
	return a
}

// Symptom: a host takes a server that was started again for the one that was lost, or tells
// its peers so.
// Sequence: a request of the former run is answered that another server has the address,
// after the new run has announced itself.
// Cause: the lease ended what the id named now.
func TestLeaseOfAFormerRunEndsThatRun(t *testing.T) {
	f := newFixture(1)
	testutil.NoError(t, f.Announce(restarted(100, 9)))
	l, err := f.Acquire(t.Context(), &balance.Work{Service: service})
	testutil.NoError(t, err)
	testutil.NoError(t, f.Announce(restarted(200, 1)))
	told := f.told
	l.WrongInstance()
	l.Report(balance.Load{Running: 9, Waiting: 9, Slots: 2})
	l.Done(balance.Broken)
	if got := f.chosen(t); got != "s1" || f.told != told {
		t.Errorf("chose %q, told the peers %d times", got, f.told-told)
	}
	for started, want := range map[uint64]bool{100: false, 200: true, 300: true} {
		if got := f.Usable(instance.Incarnation{ID: "s1", Started: started}); got != want {
			t.Errorf("run %d usable: %v", started, got)
		}
	}
}

// Symptom: one faulty announcement or one faulty state of a peer costs a server, or a host
// all the servers in the same message.
// Sequence: between good ones come such with fields missing or out of any bounds.
// Cause: what could be decoded was taken for what a server says.
func TestFaultyEntriesAreDroppedAlone(t *testing.T) {
	f := newFixture(1)
	testutil.NoError(t, f.Announce(server("s1", 1)))
	for name, change := range map[string]func(*instance.Announcement){
		"no slots":   func(a *instance.Announcement) { a.Slots = 0 },
		"no address": func(a *instance.Announcement) { a.Address = "nowhere" },
		"no service": func(a *instance.Announcement) { a.Service = "" },
		"bad id":     func(a *instance.Announcement) { a.ID = "s1\xff" },
	} {
		a := server("s1", 5)
		a.Draining = true
		change(&a)
		testutil.Refused(t, f.Announce(a), errkind.BadRequest, name)
	}
	testutil.Refused(t, f.EndKnown(""), errkind.BadRequest, "end of nobody")
	testutil.Refused(t, f.End(instance.Incarnation{ID: "\x00"}), errkind.BadRequest, "end of nobody")
	if f.told != 1 {
		t.Errorf("told the peers %d times of one server", f.told)
	}
	f.Merge([]*pb.ServerState{
		nil, {}, {Id: "s1", Seq: 9, Leaving: true}, {Gone: true}, {Id: "s1", Services: []string{service}, Slots: 1, Address: ":80"},
		{Id: "s2", Services: []string{service}, Slots: 1, Address: "10.0.0.2:80", Seq: 1},
	}, 0)
	if n := len(f.Servers()); n != 2 {
		t.Errorf("%d servers known, want two: %v", n, f.Servers())
	}
	if got := f.chosen(t); got == "" {
		t.Error("no server is left")
	}
}

// Symptom: a server gets requests of other hosts long after one host acknowledged its end.
// Sequence: it tells its end to a host that was started a moment ago and knows no server;
// then a peer tells that host of the server.
// Cause: only that host knew that the run had ended, and told nobody.
func TestEndThatWasHeardFirstIsTold(t *testing.T) {
	f := newFixture(1)
	testutil.NoError(t, f.EndKnown("s1"))
	told := f.told
	f.Merge([]*pb.ServerState{
		{Id: "s1", Incarnation: 100, Services: []string{service}, Slots: 1, Address: "10.0.0.2:80", Seq: 7},
	}, 0)
	if got := f.chosen(t); got != "" || f.told != told+1 {
		t.Errorf("chose %q, told the peers %d times more", got, f.told-told)
	}
}
