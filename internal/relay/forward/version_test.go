package forward

import (
	"slices"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/routes"
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
