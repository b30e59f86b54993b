package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// resetServer answers a request on its headers alone, without a length, and resets the connection while the request's body
// is still being written. It goes on accepting connections.
func resetServer(head, part string) func(*backend) serve {
	return func(*backend) serve {
		return func(_ int, c net.Conn, r *bufio.Reader) bool {
			req, err := http.ReadRequest(r)
			if err != nil {
				return false
			}
			_, _ = io.WriteString(c, withID(head, req.Header.Get(hID))+part)
			time.Sleep(20 * time.Millisecond) // until the caller's side waits for room to write
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}
	}
}

// Guards against a part of an unframed answer that the caller takes for the whole one, since the reset of its connection was
// reported to the goroutine that wrote the request and not to the one that read the answer.
func TestUnframedAnswerResetDuringTheUploadIsNeverWhole(t *testing.T) {
	const rounds = 30 // which goroutine is told of the reset varies
	for name, c := range map[string]struct {
		kind       routes.Kind
		head, part string
	}{
		"plain":    {routes.NonIdempotent, "HTTP/1.1 200 OK\r\nName: ID\r\n\r\n", wholeBody[:5]},
		"no bytes": {routes.NonIdempotent, "HTTP/1.1 200 OK\r\nName: ID\r\n\r\n", ""},
		"HTTP/1.0": {routes.NonIdempotent, "HTTP/1.0 200 OK\r\nName: ID\r\n\r\n", wholeBody[:5]},
		"stream":   {routes.Stream, "HTTP/1.1 200 OK\r\nName: ID\r\nContent-Type: text/event-stream\r\n\r\n", event(1)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host, seen := entryHost(t, routes.Route{Kind: c.kind}, newBackend(t, resetServer(c.head, c.part)))
			whole, answered := 0, 0
			for n := range rounds {
				id := "r" + strconv.Itoa(n)
				a := dialCaller(t, host).ask(id, "/", strings.Repeat("x", longBody))
				x := seen.wait(t, id)
				if a.status == http.StatusOK && a.whole {
					whole++
				}
				if x.Attempts[0].Cause == engineclient.CauseAnswered {
					answered++
				}
				if a.header.Get("Ran") == string(errkind.RanNo) {
					t.Errorf("the caller was told that the request did not run")
				}
			}
			if whole > 0 || answered > 0 {
				t.Errorf("of %d answers that were reset, %d looked whole, and %d attempts have no failure on the log", rounds, whole, answered)
			}
		})
	}
}

// Guards against failing a whole answer whose server closes the connection in the regular way and resets it afterwards, since
// it doesn't read the rest of the request.
func TestUnframedAnswerClosedBeforeAResetIsWhole(t *testing.T) {
	const rounds = 30
	for name, pause := range map[string]time.Duration{"reset at once": 0, "reset later": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host, _ := entryHost(t, routes.Route{Kind: routes.NonIdempotent}, newBackend(t, func(*backend) serve {
				return func(_ int, c net.Conn, r *bufio.Reader) bool {
					req, err := http.ReadRequest(r)
					if err != nil {
						return false
					}
					_, _ = io.WriteString(c, withID("HTTP/1.1 200 OK\r\nName: ID\r\n\r\n", req.Header.Get(hID))+wholeBody)
					time.Sleep(20 * time.Millisecond) // until the caller's side waits for room to write
					_ = c.(*net.TCPConn).CloseWrite()
					time.Sleep(pause)
					_ = c.(*net.TCPConn).SetLinger(0)
					return false
				}
			}))
			for n := range rounds {
				a := dialCaller(t, host).ask("r"+strconv.Itoa(n), "/", strings.Repeat("x", longBody))
				if a.status != http.StatusOK || !a.whole || a.body != wholeBody {
					t.Fatalf("round %d: the caller got %+v", n, a)
				}
			}
		})
	}
}
