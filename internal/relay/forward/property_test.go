package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

func TestMain(m *testing.M) {
	testutil.RunRapid(m, map[string]string{"rapid.seed": "20", "rapid.nofailfile": "true"})
}

// arrival is what a server does with one arrival of a request.
type arrival struct {
	// unread is set if the connection ends before the request's body was read.
	unread bool
	// unframed is set if the answer has neither a length nor chunks and ends with its connection.
	unframed bool
	// sent is how much of the answer is sent, in thousandths of it; the constant whole means all of
	// it. With inBody the header is sent in any case, and sent is in thousandths of the body.
	sent   int
	inBody bool
	// piece is how much is written at a time, in bytes.
	piece int
	// reset is set if a connection that ends early ends with a reset.
	reset bool
}

const whole = 1000

// cut returns how many bytes of the answer are sent.
func (a arrival) cut(answer string) int {
	head := 0
	if a.inBody {
		head = strings.Index(answer, "\r\n\r\n") + len("\r\n\r\n")
	}
	return head + (len(answer)-head)*a.sent/whole
}

func arrivals(t *rapid.T) []arrival {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) arrival {
		a := arrival{
			unread: rapid.IntRange(0, 9).Draw(t, "unread") == 0, unframed: rapid.Bool().Draw(t, "unframed"),
			sent: rapid.IntRange(0, whole).Draw(t, "sent"), piece: rapid.IntRange(1, 200).Draw(t, "piece"),
			reset: rapid.Bool().Draw(t, "reset"), inBody: rapid.Bool().Draw(t, "in body"),
		}
		if rapid.Bool().Draw(t, "sound") {
			a.sent = whole
		}
		return a
	}), 2, 2).Draw(t, "arrivals")
}

// plans holds what servers do with the arrivals of each request.
type plans struct {
	mu   sync.Mutex
	left map[string][]arrival
}

func (p *plans) set(id string, all []arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left[id] = all
}

// next returns what to do with this arrival. A request without a plan is answered.
func (p *plans) next(id string) arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.left[id]
	if len(all) == 0 {
		return arrival{sent: whole, piece: whole}
	}
	p.left[id] = all[1:]
	return all[0]
}

// scripted returns a server script that follows the plans.
func (p *plans) scripted(b *backend) serve {
	return func(_ int, c net.Conn, r *bufio.Reader) bool {
		req, err := http.ReadRequest(r)
		if err != nil {
			return false
		}
		a := p.next(req.Header.Get(hID))
		if a.unread {
			return false
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		b.count(req.Header.Get(hID))
		answer := answerTo(req)
		if a.unframed {
			answer = unframed(req)
		}
		answer = answer[:a.cut(answer)]
		if a.unframed && a.sent < whole && looksWhole(answer) {
			a.reset = true // nothing in the bytes tells a regular close from the end of the answer
		}
		for len(answer) > 0 {
			n := min(a.piece, len(answer))
			if _, err := io.WriteString(c, answer[:n]); err != nil {
				return false
			}
			answer = answer[n:]
		}
		if a.sent < whole && a.reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return a.sent == whole && !a.unframed
	}
}

// looksWhole reports whether an unframed answer of which only the given part was sent looks like a
// whole one if its connection is closed in the regular way: a stream that ends between two events,
// and any other body.
func looksWhole(sent string) bool {
	head, body, begun := strings.Cut(sent, "\r\n\r\n")
	if !begun {
		return false
	}
	return !strings.Contains(head, "text/event-stream") || strings.HasSuffix(body, "\n\n")
}

// unframed returns the answer to a request in a form that ends with its connection.
func unframed(req *http.Request) string {
	head := "HTTP/1.1 200 OK\r\n" + hID + ": " + req.Header.Get(hID) + "\r\nConnection: close\r\n"
	if req.URL.Path != "/stream" {
		return head + "\r\n" + wholeBody
	}
	after, _ := strconv.Atoi(req.Header.Get(hAfter))
	var events strings.Builder
	for id := after + 1; id <= wholeEvents; id++ {
		events.WriteString(event(id))
	}
	return head + "Content-Type: text/event-stream\r\n\r\n" + events.String()
}

// However servers truncate, split and end their answers, a caller receives a whole answer, a
// visibly truncated one or a true status, and its kept-alive connection is closed in no other case.
// Stream events arrive in order and once each, and a non-idempotent request runs at most once.
func TestAnswersAreCompleteTruncatedOrTrue(t *testing.T) {
	for name, route := range map[string]routes.Route{
		"idempotent":       {Kind: routes.Idempotent},
		"non-idempotent":   {Kind: routes.NonIdempotent},
		"plain stream":     {Kind: routes.Stream},
		"resumable stream": {Kind: routes.Stream, Resumable: true},
	} {
		t.Run(name, func(t *testing.T) { testAnswers(t, route) })
	}
}

func testAnswers(t *testing.T, route routes.Route) {
	p := &plans{left: map[string][]arrival{}}
	servers := []*backend{newBackend(t, p.scripted), newBackend(t, p.scripted)}
	address, log := entryHost(t, route, servers...)
	path, want := "/whole", wholeBody
	if route.Kind == routes.Stream {
		path, want = "/stream", allEvents()
	}
	caller, requests := dialCaller(t, address), 0
	rapid.Check(t, func(rt *rapid.T) {
		requests++
		id := fmt.Sprintf("q%d", requests)
		p.set(id, arrivals(rt))
		g := caller.ask(id, path, strings.Repeat("x", rapid.IntRange(0, 10_000).Draw(rt, "body")))
		x := log.wait(t, id)
		runs := servers[0].ran(id) + servers[1].ran(id)
		if fault := checkAnswer(route, g, x, want, runs); fault != "" {
			rt.Errorf("%s: the caller got %d, whole %v, %q; %d runs, ending %s, attempts %+v", fault, g.status, g.whole, g.body, runs, x.Ending, x.Attempts)
		}
		if !g.whole {
			caller = dialCaller(t, address)
		}
	})
}

// checkAnswer returns what is wrong with an answer; empty if nothing is.
func checkAnswer(route routes.Route, g got, x *relay.Exchange, want string, runs int) string {
	switch {
	case g.status == 0:
		return "closed without an answer"
	case runs > 1 && !route.Repeatable(), runs > maxAttempts:
		return "the request ran too often"
	case g.status == http.StatusOK && g.whole:
		if g.body != want || x.Ending != relay.EndAnswered {
			return "the answer looks complete but is not"
		}
	case g.status == http.StatusOK:
		if route.Kind != routes.Stream || !strings.HasPrefix(want, g.body) || !strings.HasSuffix(g.body, "\n\n") || x.Ending != relay.EndBrokenOff {
			return "the truncated answer is not a prefix of whole events"
		}
	case g.status == http.StatusBadGateway:
		if g.header.Get("Ran") != "unknown" || !g.whole {
			return "the refusal does not state Ran: unknown"
		}
	default:
		if g.header.Get("Ran") != "no" || runs > 0 || !g.whole {
			return "the refusal states that the request did not run, which is false"
		}
	}
	return ""
}
