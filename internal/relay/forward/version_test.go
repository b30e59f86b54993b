package forward

import (
	"slices"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
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
