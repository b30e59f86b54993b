package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// Guards against an empty answer that looks whole: the server crashes after the headers of a stream
// whose end is the end of its connection.
func TestUnframedStreamWithoutEventsIsTruncated(t *testing.T) {
	empty := func() *http.Response { return closedStream("", framings[relay.Unframed]) }
	r := newRun(t, routes.Stream, answers(empty()), answers(closedStream(event(1), framings[relay.Unframed])))
	r.route.Resumable = true
	if err := r.do(); err != nil || r.w.Body.String() != event(1) || len(r.servers.got) != 2 {
		t.Errorf("resumable: got %v, %q after %d attempts", err, r.w.Body, len(r.servers.got))
	}
	r = newRun(t, routes.Stream, answers(empty()))
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanUnknown)
}

// An empty stream with a length or a last chunk is whole.
func TestFramedStreamWithoutEventsIsWhole(t *testing.T) {
	for _, framing := range []relay.Framing{relay.FramedByLength, relay.FramedByChunks} {
		r := newRun(t, routes.Stream, answers(closedStream("", framings[framing])))
		if err := r.do(); err != nil || r.w.Code != http.StatusOK {
			t.Errorf("%s: got %v, status %d", framing, err, r.w.Code)
		}
	}
}

// dyingServer runs a server whose process ends in the middle of its first answer: after the given
// bytes the kernel closes its listener and all its connections in the regular way.
func dyingServer(t *testing.T, answer func(*http.Request) string) *backend {
	t.Helper()
	l := testutil.Listen(t)
	b := &backend{t: t, address: l.Addr().String(), runs: map[string]int{}}
	var mu sync.Mutex
	var open []net.Conn
	handle := func(c net.Conn) {
		req, ok := b.read(bufio.NewReader(c))
		if !ok {
			return
		}
		if _, err := io.WriteString(c, answer(req)); err != nil {
			return
		}
		_ = l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			_ = c.Close()
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			go handle(c)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return b
}

// unframedHead is the beginning of an answer that ends with its connection.
func unframedHead(req *http.Request, kind string) string {
	return "HTTP/1.1 200 OK\r\n" + hID + ": " + req.Header.Get(hID) + "\r\nContent-Type: " + kind + "\r\nConnection: close\r\n\r\n"
}

// Guards against taking the crash of a server for the end of its answer where the answer ends with its
// connection and nothing in its bytes shows that it is truncated. That the server refuses connections
// right afterwards does show it.
func TestEndWithTheServersProcessIsNotTheEndOfTheAnswer(t *testing.T) {
	events := func(r *http.Request) string { return unframedHead(r, "text/event-stream") + event(1) + event(2) }
	half := func(r *http.Request) string { return unframedHead(r, "text/plain") + wholeBody[:5] }
	for name, c := range map[string]struct {
		route routes.Route
		path  string
		sent  func(*http.Request) string
		want  string // the answer of the second server; empty if none may be asked
	}{
		"resumable, between two events":     {routes.Route{Kind: routes.Stream, Resumable: true}, "/stream", events, allEvents()},
		"not resumable, between two events": {routes.Route{Kind: routes.Stream}, "/stream", events, ""},
		"idempotent, no stream":             {routes.Route{Kind: routes.Idempotent}, "/whole", half, wholeBody},
		"not idempotent, no stream":         {routes.Route{Kind: routes.NonIdempotent}, "/whole", half, ""},
	} {
		t.Run(name, func(t *testing.T) {
			address, log := entryHost(t, c.route, dyingServer(t, c.sent), newBackend(t, healthy))
			g := dialCaller(t, address).ask("r1", c.path, "x")
			x := log.wait(t, "r1")
			if c.want == "" && g.status == http.StatusOK && g.whole || c.want != "" && g.body != c.want {
				t.Errorf("the caller got %d, whole %v, %q; ending %s, attempts %+v", g.status, g.whole, g.body, x.Ending, x.Attempts)
			}
		})
	}
}

// An unframed answer of a server that goes on is whole, whatever its length.
func TestUnframedAnswerOfALivingServerIsWhole(t *testing.T) {
	p := &plans{left: map[string][]arrival{}}
	for path, route := range map[string]routes.Route{"/stream": {Kind: routes.Stream, Resumable: true}, "/whole": {Kind: routes.Idempotent}} {
		first, second := newBackend(t, p.scripted), newBackend(t, p.scripted)
		address, _ := entryHost(t, route, first, second)
		p.set("r1", []arrival{{unframed: true, sent: whole, piece: whole}})
		g := dialCaller(t, address).ask("r1", path, "x")
		if want := map[string]string{"/stream": allEvents(), "/whole": wholeBody}[path]; !g.whole || g.body != want || second.ran("r1") > 0 {
			t.Errorf("%s: the caller got %q, whole %v; the second server ran %d", path, g.body, g.whole, second.ran("r1"))
		}
	}
}

// Guards against failing a whole answer of a server that stops right after it, as it has announced or
// as the output cap shows.
func TestWholeAnswerBeforeAnAnnouncedEnd(t *testing.T) {
	for name, prepare := range map[string]func(*run, *http.Response){
		"leaving":    func(_ *run, res *http.Response) { res.Header.Set(hLeaving, "1") },
		"output cap": func(r *run, _ *http.Response) { r.outputCap = 4 },
	} {
		res := closedStream(event(1), framings[relay.Unframed])
		r := newRun(t, routes.Stream, answers(res))
		r.accepts = func(string) bool { return false }
		prepare(r, res)
		if err := r.do(); err != nil || r.aborted {
			t.Errorf("%s: got %v, aborted %v", name, err, r.aborted)
		}
	}
}
