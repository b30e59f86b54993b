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

// connDeath is the point at which a server's kept-alive connection ends during its second request.
type connDeath struct {
	name string
	// request handles the connection in place of an answer; nil if the connection ends before the
	// request.
	request func(b *backend, c net.Conn, r *bufio.Reader)
	// causes are the causes that may be logged. There are several where the outcome varies, since a
	// request that was written in part may have been read completely.
	causes []engineclient.Cause
	// served is set if the request certainly did not run, so that even a non-idempotent one is
	// retried.
	served bool
	// begins is set if the caller of a stream has received events by then.
	begins bool
}

// cutAnswer is the share of an answer that a server sends before it breaks the connection; it
// covers the headers of each answer used here.
const cutAnswer = 0.85

func connDeaths() []connDeath {
	return []connDeath{
		{name: "before the request", served: true},
		{name: "after half of the request", causes: []engineclient.Cause{engineclient.CauseHalfSent, engineclient.CauseReset, engineclient.CauseClosed},
			request: func(_ *backend, c net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r) // its headers
				_ = c.(*net.TCPConn).SetLinger(0)
			}},
		{name: "after all of the request", causes: []engineclient.Cause{engineclient.CauseClosed},
			request: func(b *backend, _ net.Conn, r *bufio.Reader) { b.read(r) }},
		{name: "after all of the request, by a reset", causes: []engineclient.Cause{engineclient.CauseReset},
			request: func(b *backend, c net.Conn, r *bufio.Reader) {
				b.read(r)
				_ = c.(*net.TCPConn).SetLinger(0)
			}},
		{name: "after the status line", causes: []engineclient.Cause{engineclient.CauseHeadTruncated},
			request: func(b *backend, c net.Conn, r *bufio.Reader) {
				b.read(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			}},
		{name: "in the answer", begins: true, causes: []engineclient.Cause{engineclient.CauseBodyTruncated, engineclient.CauseStreamTruncated},
			request: func(b *backend, c net.Conn, r *bufio.Reader) {
				if req, ok := b.read(r); ok {
					answer := answerTo(req)
					_, _ = io.WriteString(c, answer[:int(float64(len(answer))*cutAnswer)])
				}
			}},
	}
}

// script returns a server script that answers the first request of a connection and ends the first
// connection at its second request. It closes ended once that connection has ended.
func (d connDeath) script(ended chan struct{}, answered <-chan struct{}) func(b *backend) serve {
	return func(b *backend) serve {
		whole := healthy(b)
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

// Guards against three faults when a server's kept-alive connection ends at any point of a request:
// an answer that counts as begun before the caller has a byte of it, so that the caller's own
// connection is closed without an answer; a retry of a request that may have run; and a "did not
// run" that only holds for the last attempt.
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
	first, second := newBackend(t, d.script(ended, answered)), newBackend(t, healthy)
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
	x := log.wait(t, "r2")
	if g.status == 0 {
		t.Fatalf("the caller's connection was closed without an answer: %+v", x)
	}
	switch {
	case d.served || route.Repeatable():
		wantServed(t, g, x, want)
	case route.Kind == routes.Stream && d.begins:
		wantTruncated(t, g, x, want)
		return // the caller's connection is closed
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

// wantTruncated checks that the caller received the beginning of the answer and can see that it is
// incomplete.
func wantTruncated(t *testing.T, g got, x *relay.Exchange, want string) {
	t.Helper()
	if g.status != http.StatusOK || g.whole || g.body == "" || !strings.HasPrefix(want, g.body) || x.Ending != relay.EndBrokenOff {
		t.Errorf("the caller got %+v, ending %s; want an answer that is visibly truncated", g, x.Ending)
	}
}

// wantUnknown checks that the refusal states that it is unknown whether the request ran.
func wantUnknown(t *testing.T, g got, x *relay.Exchange) {
	t.Helper()
	if g.status != http.StatusBadGateway || !g.whole || g.header.Get("Ran") != "unknown" || x.Ending != relay.EndRefused {
		t.Errorf("the caller got %+v, ending %s; want a 502 with Ran: unknown", g, x.Ending)
	}
}

func wantRuns(t *testing.T, route routes.Route, runs int) {
	t.Helper()
	if runs > 1 && !route.Repeatable() || runs > maxAttempts {
		t.Errorf("the request ran %d times", runs)
	}
}

// wantCause checks the logged cause of the first attempt.
func wantCause(t *testing.T, d connDeath, x *relay.Exchange) {
	t.Helper()
	cause := x.Attempts[0].Cause
	if d.request == nil {
		if len(x.Attempts) != 1 || cause != engineclient.CauseAnswered {
			t.Errorf("attempts %+v; an idle connection that ended must not count as an attempt", x.Attempts)
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
