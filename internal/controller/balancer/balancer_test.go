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
	f.Announce(server("s1", 1))
	f.Announce(server("s1", 2))
	if f.told != 1 {
		t.Errorf("told %d times of one new server", f.told)
	}
	leaving := server("s1", 3)
	leaving.Draining = true
	f.Announce(leaving)
	f.End("s1")
	f.End("s1")
	if f.told != 3 {
		t.Errorf("told %d times in all", f.told)
	}
	if n := strings.Count(f.log.String(), `"event":"server-heard"`); n != 3 {
		t.Errorf("%d lines for 3 changes: %s", n, &f.log)
	}
}

func TestWhatOneHostHearsServesAnother(t *testing.T) {
	a, b := newFixture(2), newFixture(2)
	a.Announce(server("s1", 1))
	b.Merge(a.Servers(), time.Millisecond)
	if got := b.chosen(t); got != "s1" {
		t.Fatalf("chose %q", got)
	}
	a.End("s1")
	b.Merge(a.Servers(), time.Millisecond)
	if got := b.chosen(t); got != "" {
		t.Fatalf("chose %q, which is gone", got)
	}
}

func TestWrongInstanceGetsNothingMore(t *testing.T) {
	f := newFixture(1)
	f.Announce(server("s1", 1))
	l, err := f.Acquire(t.Context(), &balance.Work{Service: service})
	testutil.NoError(t, err)
	l.Wrong()
	l.Done(balance.Served)
	if got := f.chosen(t); got != "" {
		t.Errorf("chose %q again", got)
	}
}

func TestLeasesCountUntilDone(t *testing.T) {
	f := newFixture(1)
	f.Announce(server("s1", 1))
	l, err := f.Acquire(t.Context(), &balance.Work{Service: service})
	testutil.NoError(t, err)
	l.First()
	l.First()
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
		f.First(service)
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
	f.Announce(server("s1", 1))
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
