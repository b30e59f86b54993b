package forward

import (
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// Guards against events that reach the caller twice: a stream that breaks off after an event without
// an ID can't be resumed, since the server would go on after the last event that had one.
func TestStreamIsNotResumedAfterAnEventWithoutID(t *testing.T) {
	sent := event(1) + "data: no id\n\n"
	r := newRun(t, routes.Stream, answers(closedStream(sent+"id: 3\nda", framings[relay.Unframed])))
	r.route.Resumable = true
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanYes)
	if got := r.w.Body.String(); !r.aborted || got != sent {
		t.Errorf("aborted %v, the caller got %q", r.aborted, got)
	}
}

// Guards against refusing to resume a stream because a comment was the last that arrived.
func TestStreamIsResumedAfterAComment(t *testing.T) {
	r := newRun(t, routes.Stream, answers(closedStream(event(1)+": comment\n\nid: 2\nda", framings[relay.Unframed])), answers(closedStream(event(2), framings[relay.Unframed])))
	r.route.Resumable = true
	if err := r.do(); err != nil || r.servers.got[1].Header.Get(hAfter) != "1" {
		t.Errorf("got %v, %q", err, r.w.Body)
	}
}
