package forward

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/streamorigin"
)

// Guards against continuing an answer at a server of another software version: the balancer has to be
// asked for one of the version that sent the first event, which a first attempt without events did not.
func TestResumedStreamRequiresTheVersionOfItsFirstEvent(t *testing.T) {
	r := newRun(t, routes.Stream, answers(stream("id: 1\nda", errReset)), answers(stream(event(1), errReset)), answers(stream(event(2), nil)))
	r.route.Resumable, r.route.MaxAttempts = true, 3
	r.leases.versions = map[string]string{"b": "v2", "c": "v2"}
	if err := r.do(); err != nil || r.w.Body.String() != event(1)+event(2) {
		t.Fatalf("got %v, %q", err, r.w.Body)
	}
	if got := r.leases.work.Versions; !slices.Equal(got, []string{"v2"}) {
		t.Errorf("the last attempt was restricted to the versions %q", got)
	}
}

// Guards against streams that begin at a version of which other hosts don't know, so that one of them takes another version for
// the only one; and against refusing all streams at a host that is cut off from those that keep versions.
func TestStreamBeginsAtASharedVersion(t *testing.T) {
	for _, test := range []struct {
		name       string
		kind       routes.Kind
		resumable  bool
		origin     *streamorigin.Origin
		version    string
		known      []string
		begins     bool
		restricted []string
	}{
		{name: "shared", kind: routes.Stream, resumable: true, version: "v2", known: []string{"v1", "v2"}, begins: true},
		{name: "not shared", kind: routes.Stream, resumable: true, version: "v2", known: []string{"v1"}, restricted: []string{"v1"}},
		{name: "none shared", kind: routes.Stream, resumable: true, version: "v2", known: []string{}, begins: true},
		{name: "not known", kind: routes.Stream, resumable: true, known: []string{"v1"}, begins: true},
		{name: "resumed", kind: routes.Stream, resumable: true, origin: &streamorigin.Origin{Version: "v2"}, version: "v2", known: []string{"v1"}, begins: true},
		{name: "not resumable", kind: routes.Stream, version: "v2", known: []string{"v1"}, begins: true},
		{name: "no stream", kind: routes.Idempotent, version: "v2", known: []string{"v1"}, begins: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			x := &relay.Exchange{
				Route: &routes.Route{Kind: test.kind, Resumable: test.resumable}, Service: &routes.Service{Name: "pool"}, Origin: test.origin,
			}
			task := &task{f: &Filter{Versions: sharedVersions{known: test.known}}, x: x, ctx: t.Context(), work: &balance.Work{}}
			begins := task.versionShared(&lease{l: &leases{versions: map[string]string{"a": test.version}}, id: "a"})
			if begins != test.begins || !slices.Equal(task.work.Versions, test.restricted) {
				t.Errorf("begins %v, restricted to %q", begins, task.work.Versions)
			}
		})
	}
}

// Guards against events of a server that came back under its ID with another software version after it was
// chosen: they must not follow those of the first server.
func TestEventsOfAnotherVersionAreDropped(t *testing.T) {
	r := newRun(t, routes.Stream, answers(stream(event(1), errReset)), answers(stream(event(2), nil)))
	r.route.Resumable = true
	r.leases.versions = map[string]string{"b": ""}
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanYes)
	if !r.aborted || r.w.Body.String() != event(1) || r.x.Attempts[1].Cause != engineclient.CauseOtherVersion {
		t.Errorf("aborted %v, the caller got %q, cause %s", r.aborted, r.w.Body, r.x.Attempts[1].Cause)
	}
}

// Guards against guessing the version of a stream that a server of unknown version began.
func TestStreamOfUnknownVersionIsNotResumed(t *testing.T) {
	r := newRun(t, routes.Stream, answers(stream(event(1), errReset)))
	r.route.Resumable = true
	r.leases.versions = map[string]string{"a": ""}
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanYes)
	if !r.aborted || r.w.Body.String() != event(1) {
		t.Errorf("aborted %v, the caller got %q", r.aborted, r.w.Body)
	}
}

// Guards against keeping the version of a server that was asked but brought no event, and against keeping
// an origin for a shorter time than callers may resume the stream.
func TestOriginIsThatOfTheFirstEvent(t *testing.T) {
	r := newRun(t, routes.Stream, answers(stream("id: 1\nda", errReset)), answers(stream(event(1), errReset)), answers(stream(event(2), nil)))
	r.route.Resumable, r.route.MaxAttempts = true, 3
	r.leases.versions = map[string]string{"b": "v2", "c": "v2"}
	if err := r.do(); err != nil {
		t.Fatal(err)
	}
	if got := r.origins.origins[requestID]; !slices.Equal(got, []streamorigin.Origin{{Service: "pool", Version: "v2"}}) {
		t.Errorf("recorded %+v", got)
	}
	if len(r.origins.lifetimes) != 1 || r.origins.lifetimes[0] < r.route.Timeout.Std()+time.Second {
		t.Errorf("lifetimes %v of a request that may take %v", r.origins.lifetimes, r.route.Timeout.Std())
	}
}

// Guards against recording an origin that may be wrong: the server has come back under its ID with another
// version, or the route's streams can't be resumed and nobody asks.
func TestUnneededOrUnknownOriginIsNotRecorded(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		r := newRun(t, routes.Stream, answers(stream(event(1), nil)))
		r.route.Resumable = resumable
		if resumable {
			r.leases.versions = map[string]string{"a": ""}
		}
		if err := r.do(); err != nil || len(r.origins.origins) > 0 {
			t.Errorf("resumable %v: got %v, recorded %+v", resumable, err, r.origins.origins)
		}
	}
}

// Guards against continuing a caller's stream at another version than the one of its origin. The attempt that
// continues it is recorded under its own ID as well, for callers that name the last attempt.
func TestCallersStreamRequiresTheVersionOfItsOrigin(t *testing.T) {
	origin := streamorigin.Origin{Service: "pool", Version: "v2"}
	r := newRun(t, routes.Stream, answers(stream(event(4), nil)), answers(stream(event(4), nil)))
	r.route.Resumable, r.origin = true, &origin
	r.leases.versions = map[string]string{"b": "v2"} // a runs v1 by now
	if err := r.do(); err != nil || r.w.Body.String() != event(4) || len(r.servers.got) != 2 {
		t.Fatalf("got %v, %q after %d attempts", err, r.w.Body, len(r.servers.got))
	}
	if r.x.Attempts[0].Cause != engineclient.CauseOtherVersion || !slices.Equal(r.leases.work.Versions, []string{"v2"}) {
		t.Errorf("cause %s, versions %q", r.x.Attempts[0].Cause, r.leases.work.Versions)
	}
	if got := r.origins.origins[requestID]; !slices.Equal(got, []streamorigin.Origin{origin}) {
		t.Errorf("recorded %+v", got)
	}
}

// openedAgo has a step's connection opened a while ago.
func openedAgo(d time.Duration, step func(context.Context, *engineclient.Forward) (*http.Response, error)) func(context.Context, *engineclient.Forward) (*http.Response, error) {
	return func(ctx context.Context, f *engineclient.Forward) (*http.Response, error) {
		f.Opened = time.Now().Add(-d)
		return step(ctx, f)
	}
}

// Guards against taking a server that comes back under its ID for its former incarnation, whose version is
// known, before the host can have heard of the new one.
func TestVersionIsKnownOnceARestartWouldBe(t *testing.T) {
	origin := streamorigin.Origin{Service: "pool", Version: "v1"}
	for _, test := range []struct {
		name     string
		started  uint64
		ago      time.Duration
		recorded bool
	}{
		{"new connection to a server whose incarnations share an ID, none of which has followed", 7, 0, true},
		{"connection from before any restart that is not known", 7, restartKnown, true},
		{"new connection to a server whose incarnations have IDs of their own", 0, 0, true},
	} {
		r := newRun(t, routes.Stream, openedAgo(test.ago, answers(stream(event(1), errReset))), openedAgo(test.ago, answers(stream(event(2), nil))))
		r.route.Resumable, r.leases.started = true, test.started
		err := r.do()
		if got := r.origins.recorded(requestID); (len(got) > 0) != test.recorded || test.recorded && got[0] != origin {
			t.Errorf("%s: recorded %+v", test.name, got)
		}
		if (err == nil) != test.recorded || r.aborted == test.recorded {
			t.Errorf("%s: got %v, aborted %v, %q", test.name, err, r.aborted, r.w.Body)
		}
	}
}

// Guards against keeping the version of the former incarnation, and against resuming a stream at it: the one
// that has sent the first event is heard of only after that.
func TestStreamOfARestartedServerIsOfUnknownVersion(t *testing.T) {
	r := newRun(t, routes.Stream, openedAgo(0, answers(stream(event(1), errReset))))
	r.route.Resumable, r.leases.started = true, 7
	time.AfterFunc(restartKnown/2, func() { r.leases.setVersion("a", "") })
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanYes)
	time.Sleep(restartKnown)
	if got := r.origins.recorded(requestID); !r.aborted || len(got) > 0 {
		t.Errorf("aborted %v, recorded %+v", r.aborted, got)
	}
}

// Guards against forgetting a stream whose caller has left before its version was known.
func TestOriginIsKeptForCallersThatLeaveEarly(t *testing.T) {
	r := newRun(t, routes.Stream, openedAgo(0, answers(stream(event(1), nil))))
	r.route.Resumable, r.leases.started = true, 7
	if err := r.do(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * restartKnown)
	if got := r.origins.recorded(requestID); !slices.Equal(got, []streamorigin.Origin{{Service: "pool", Version: "v1"}}) {
		t.Errorf("recorded %+v", got)
	}
}

// Guards against events of a restarted server in a stream that goes on: the first one waits until a restart
// would be known.
func TestResumedStreamWaitsUntilARestartWouldBeKnown(t *testing.T) {
	r := newRun(t, routes.Stream, openedAgo(0, answers(stream(event(4), nil))))
	r.route.Resumable, r.route.MaxAttempts, r.origin, r.leases.started = true, 1, &streamorigin.Origin{Service: "pool", Version: "v1"}, 7
	start := time.Now()
	time.AfterFunc(restartKnown/2, func() { r.leases.setVersion("a", "v2") })
	if err := r.do(); err == nil || r.w.Body.Len() > 0 {
		t.Errorf("after %v: got %v, %q", time.Since(start), err, r.w.Body)
	}
}
