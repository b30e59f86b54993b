package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// connDeath is where a server's kept connection ends under its second request.
type connDeath struct {
	name string
	// request is handed the connection in place of an answer; nil: the connection ends
	// before the request.
	request func(b *backend, c net.Conn, r *bufio.Reader)
	// causes that the log may name; a request that was written in part may have been read
	// in whole.
	causes []engineclient.Cause
	// served: even a request that may run once only is served, since it surely has not run.
	served bool
	// begins: the caller of a stream has events by then.
	begins bool
}

// cutAnswer is the share of an answer that a server sends before it breaks off: more than
// the head of each answer here.
const cutAnswer = 0.85

func connDeaths() []connDeath {
	return []connDeath{
		{name: "before the request", served: true},
		{name: "after half of the request", causes: []engineclient.Cause{engineclient.CauseHalfSent, engineclient.CauseReset, engineclient.CauseClosed},
			request: func(_ *backend, c net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r) // its head
				_ = c.(*net.TCPConn).SetLinger(0)
			}},
		{name: "after all of the request", causes: []engineclient.Cause{engineclient.CauseClosed},
			request: func(b *backend, _ net.Conn, r *bufio.Reader) { b.read(r) }},
		{name: "after all of the request, by a reset", causes: []engineclient.Cause{engineclient.CauseReset},
			request: func(b *backend, c net.Conn, r *bufio.Reader) {
				b.read(r)
				_ = c.(*net.TCPConn).SetLinger(0)
			}},
		{name: "after the status line", causes: []engineclient.Cause{engineclient.CauseCutHead},
			request: func(b *backend, c net.Conn, r *bufio.Reader) {
				b.read(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			}},
		{name: "in the answer", begins: true, causes: []engineclient.Cause{engineclient.CauseCutBody, engineclient.CauseCutStream},
			request: func(b *backend, c net.Conn, r *bufio.Reader) {
				if req, ok := b.read(r); ok {
					answer := answerTo(req)
					_, _ = io.WriteString(c, answer[:int(float64(len(answer))*cutAnswer)])
				}
			}},
	}
}

// script answers the first request of a connection and lets the connection end at the
// second one; ended is closed once the first connection has ended.
func (d connDeath) script(ended chan struct{}, answered <-chan struct{}) func(b *backend) serve {
	return func(b *backend) serve {
		whole := sound(b)
		var died atomic.Bool
		return func(n int, c net.Conn, r *bufio.Reader) bool {
			if n == 1 || died.Swap(true) {
				return whole(n, c, r)
			}
			if d.request == nil {
				<-answered
				_ = c.Close()
			} else {
				d.request(b, c, r)
			}
			close(ended)
			return false
		}
	}
}

// Symptom: a caller's kept connection is closed without an answer, a request runs twice,
// or a caller that is told "did not run" sends a request again that has run.
// Sequence: a server's kept connection ends under a request, at any point of it.
// Cause: an answer that counts as begun before the caller has a byte of it; a repeat of
// what may have run; a promise that rests on the last attempt alone.
func TestServersConnectionDies(t *testing.T) {
	kinds := map[string]routes.Route{
		"idempotent":       {Kind: routes.Idempotent},
		"non-idempotent":   {Kind: routes.NonIdempotent},
		"plain stream":     {Kind: routes.Stream},
		"resumable stream": {Kind: routes.Stream, Resumable: true},
	}
	for name, route := range kinds {
		for _, d := range connDeaths() {
			t.Run(name+"/"+d.name, func(t *testing.T) { testConnDeath(t, route, d) })
		}
	}
}

func testConnDeath(t *testing.T, route routes.Route, d connDeath) {
	answered, ended := make(chan struct{}), make(chan struct{})
	first, second := newBackend(t, d.script(ended, answered)), newBackend(t, sound)
	address, log := entryHost(t, route, first, second)
	path, want := "/whole", wholeBody
	if route.Kind == routes.Stream {
		path, want = "/stream", allEvents()
	}
	caller := dialCaller(t, address)
	if g := caller.ask("r1", path, "x"); g.status != http.StatusOK || g.body != want {
		t.Fatalf("first request: %+v", g)
	}
	close(answered)
	if d.request == nil {
		<-ended
	}
	g := caller.ask("r2", path, strings.Repeat("x", 64<<10))
	x := log.of(t, "r2")
	if g.status == 0 {
		t.Fatalf("the caller's connection was closed without an answer: %+v", x)
	}
	switch {
	case d.served || route.Repeatable():
		wantServed(t, g, x, want)
	case route.Kind == routes.Stream && d.begins:
		wantTruncated(t, g, x, want)
		return // its connection is gone
	default:
		wantUnknown(t, g, x)
	}
	wantRuns(t, route, first.ran("r2")+second.ran("r2"))
	wantCause(t, d, x)
	if g := caller.ask("r3", path, "x"); g.status != http.StatusOK || g.body != want {
		t.Errorf("the request after it on the same connection: %+v", g)
	}
}

func wantServed(t *testing.T, g got, x *relay.Exchange, want string) {
	t.Helper()
	if g.status != http.StatusOK || !g.whole || g.body != want {
		t.Errorf("the caller got %+v, want all of %q", g, want)
	}
	if x.Ending != relay.EndAnswered || g.header.Get(hID) != "r2" {
		t.Errorf("ending %s, answer to %s", x.Ending, g.header.Get(hID))
	}
}

// wantTruncated: the caller has the beginning, and can see that the end is missing.
func wantTruncated(t *testing.T, g got, x *relay.Exchange, want string) {
	t.Helper()
	if g.status != http.StatusOK || g.whole || g.body == "" || !strings.HasPrefix(want, g.body) || x.Ending != relay.EndBrokenOff {
		t.Errorf("the caller got %+v, ending %s; want a part that doesn't look whole", g, x.Ending)
	}
}

// wantUnknown: an answer that promises nothing.
func wantUnknown(t *testing.T, g got, x *relay.Exchange) {
	t.Helper()
	if g.status != http.StatusBadGateway || !g.whole || g.header.Get("Ran") != "unknown" || x.Ending != relay.EndRefused {
		t.Errorf("the caller got %+v, ending %s; want 502 that says unknown", g, x.Ending)
	}
}

func wantRuns(t *testing.T, route routes.Route, runs int) {
	t.Helper()
	if runs > 1 && !route.Repeatable() || runs > maxAttempts {
		t.Errorf("the request ran %d times", runs)
	}
}

// wantCause: the log tells the first attempt's failure from the others.
func wantCause(t *testing.T, d connDeath, x *relay.Exchange) {
	t.Helper()
	cause := x.Attempts[0].Cause
	if d.request == nil {
		if len(x.Attempts) != 1 || cause != engineclient.CauseAnswered {
			t.Errorf("attempts %+v; a kept connection that ended is no attempt", x.Attempts)
		}
		return
	}
	for _, allowed := range d.causes {
		if cause == allowed {
			return
		}
	}
	t.Errorf("cause %s, want one of %v (%s)", cause, d.causes, x.Attempts[0].Detail)
}
