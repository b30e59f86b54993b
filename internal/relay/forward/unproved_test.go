package forward

import (
	"net/http"
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// Guards against a resumed stream that ends without the event of which the first server had sent a
// part.
func TestResumedStreamLacksTheEventThatBrokeOff(t *testing.T) {
	for framing, frame := range framings {
		t.Run(string(framing), func(t *testing.T) {
			r := newRun(t, routes.Stream, answers(closedStream(event(1)+"id: 2\nda", frame)), answers(closedStream("", frame)))
			r.route.Resumable = true
			wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanYes)
			if !r.aborted || r.w.Body.String() != event(1) {
				t.Errorf("aborted %v, the caller got %q", r.aborted, r.w.Body)
			}
		})
	}
}

// Guards against an answer without content, or of another status, that is taken for the rest of a
// stream.
func TestStreamIsNotResumedWithAnotherStatus(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusPartialContent} {
		second := closedStream("", framings[relay.FramedByLength])
		second.StatusCode = status
		r := newRun(t, routes.Stream, answers(stream(event(1), errReset)), answers(second))
		r.route.Resumable = true
		wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanYes)
		if !r.aborted {
			t.Errorf("%d: the answer was not aborted", status)
		}
	}
}

// Guards against a part of an unframed answer that gets the length of the part, and so looks whole.
func TestUnframedAnswerThatEndsInsideItsContent(t *testing.T) {
	for kind, content := range map[string]string{"application/json": `{"a":[1,2`, "text/event-stream": event(1) + "id: 2\nda"} {
		part := answer(http.StatusOK, content, "Content-Type", kind)
		if kind != "application/json" {
			part.StatusCode = http.StatusNotFound // the body of an error, not a stream
		}
		part.ContentLength = -1
		r := newRun(t, routes.Idempotent, answers(part), answers(answer(http.StatusOK, `{"a":[1,2]}`)))
		if err := r.do(); err != nil || r.w.Body.String() != `{"a":[1,2]}` {
			t.Errorf("%s: got %v, %q", kind, err, r.w.Body)
		}
	}
}

// Guards against refusing an unframed answer that is too large to be judged by its content.
func TestLargeUnframedAnswerIsPassedOn(t *testing.T) {
	content := `["` + strings.Repeat("x", 2*maxBuffered) + `"]`
	large := answer(http.StatusOK, content, "Content-Type", "application/json")
	large.ContentLength = -1
	r := newRun(t, routes.Idempotent, answers(large))
	if err := r.do(); err != nil || r.w.Body.String() != content {
		t.Errorf("got %v, %d bytes", err, r.w.Body.Len())
	}
}
