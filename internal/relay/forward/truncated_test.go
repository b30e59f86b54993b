package forward

import (
	"net/http"
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// framings are the ways in which a server may mark the end of a stream.
var framings = map[relay.Framing]func(*http.Response){
	relay.Unframed:       func(res *http.Response) { res.ContentLength = -1 },
	relay.FramedByChunks: func(res *http.Response) { res.ContentLength, res.TransferEncoding = -1, []string{"chunked"} },
	relay.FramedByLength: func(*http.Response) {},
}

// closedStream returns a stream of the given content whose connection is then closed in the regular
// way.
func closedStream(content string, frame func(*http.Response)) *http.Response {
	res := stream(content, nil)
	frame(res)
	return res
}

// Guards against ending the caller's answer properly when a server's stream ends inside an event
// without a read error.
func TestStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	all := event(1) + event(2) + event(3) + event(4)
	for framing, frame := range framings {
		t.Run(string(framing), func(t *testing.T) {
			r := newRun(t, routes.Stream, answers(closedStream(event(1)+event(2)+"id: 3\nda", frame)), answers(closedStream(event(3)+event(4), frame)))
			r.route.Resumable = true
			if err := r.do(); err != nil || r.aborted {
				t.Fatalf("got %v, aborted %v", err, r.aborted)
			}
			if got := r.w.Body.String(); got != all {
				t.Errorf("the caller got %q", got)
			}
			if len(r.servers.got) != 2 || r.servers.got[1].Header.Get(hAfter) != "2" {
				t.Errorf("%d attempts, want a second one that resumes after event 2", len(r.servers.got))
			}
		})
	}
}

// Guards against the same on a route whose streams can't be resumed.
func TestStreamThatEndsInsideAnEventIsAborted(t *testing.T) {
	for framing, frame := range framings {
		t.Run(string(framing), func(t *testing.T) {
			r := newRun(t, routes.Stream, answers(closedStream(event(1)+"id: 2\ndata: x\n", frame)))
			wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanYes)
			if !r.aborted || r.w.Body.String() != event(1) {
				t.Errorf("aborted %v, the caller got %q", r.aborted, r.w.Body)
			}
		})
	}
}

// Guards against a stream of half an event that is passed on as a whole answer.
func TestStreamThatEndsInsideItsFirstEvent(t *testing.T) {
	for framing, frame := range framings {
		t.Run(string(framing), func(t *testing.T) {
			r := newRun(t, routes.Stream, answers(closedStream("id: 1\nda", frame)), answers(closedStream(event(1), frame)))
			r.route.Resumable = true
			if err := r.do(); err != nil || r.w.Body.String() != event(1) {
				t.Errorf("resumable: got %v, %q", err, r.w.Body)
			}
			r = newRun(t, routes.Stream, answers(closedStream("id: 1\nda", frame)))
			wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanUnknown)
			if r.aborted || r.w.Body.Len() > 0 {
				t.Errorf("not resumable: aborted %v, the caller got %q", r.aborted, r.w.Body)
			}
		})
	}
}

// Guards against joining a resumed stream to part of an event: an event too large to be buffered is
// passed on in parts.
func TestStreamTruncatedInsideALargeEventIsNotResumed(t *testing.T) {
	large := "id: 2\ndata: " + strings.Repeat("x", 2<<20)
	r := newRun(t, routes.Stream, answers(closedStream(event(1)+large, framings[relay.Unframed])))
	r.route.Resumable = true
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanYes)
	if !r.aborted {
		t.Error("the answer was not aborted")
	}
}

// Guards against passing on half an event as a whole answer because a parameter of the Content-Type
// can't be parsed.
func TestStreamWithMalformedContentTypeParameter(t *testing.T) {
	for _, kind := range []string{"text/event-stream; charset", "Text/Event-Stream; charset=utf-8; charset=utf-8", "text/event-stream;charset=\"utf-8"} {
		res := closedStream(event(1)+"id: 2\nda", framings[relay.Unframed])
		res.Header.Set("Content-Type", kind)
		r := newRun(t, routes.Stream, answers(res))
		if err := r.do(); err == nil {
			t.Errorf("%s: the caller got %q as a whole answer", kind, r.w.Body)
		}
	}
}

// Guards against an event that the caller gets twice: a server that resumes a stream begins its part
// with a byte-order mark, which hides the ID of its first event, and then breaks off as well.
func TestByteOrderMarkOfAResumedStream(t *testing.T) {
	const mark = "\xEF\xBB\xBF"
	r := newRun(t, routes.Stream, answers(stream(mark+event(1), errReset)), answers(stream(mark+event(2), errReset)), answers(stream(event(3), nil)))
	r.route.Resumable, r.route.MaxAttempts = true, 3
	if err := r.do(); err != nil || r.w.Body.String() != mark+event(1)+event(2)+event(3) {
		t.Errorf("got %v, %q", err, r.w.Body)
	}
	if after := r.servers.got[2].Header.Get(hAfter); after != "2" {
		t.Errorf("resumed after %q, want 2", after)
	}
}

// Guards against blaming a request for a crash where no connection was lost: a stream has its last
// chunk or byte, so that the server goes on, although its last event is incomplete.
func TestFramedEndInsideAnEventIsNoLostConnection(t *testing.T) {
	for _, framing := range []relay.Framing{relay.FramedByLength, relay.FramedByChunks} {
		got := &admission{}
		r := newRun(t, routes.Stream, answers(closedStream(event(1)+"id: 2\nda", framings[framing])))
		r.route.MaxAttempts, r.admission = 1, got
		_ = r.do()
		if got.broke > 0 || got.answered > 0 || r.x.Attempts[0].Cause != engineclient.CauseIncompleteEvent {
			t.Errorf("%s: %+v, cause %s", framing, *got, r.x.Attempts[0].Cause)
		}
	}
}
