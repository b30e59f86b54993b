package forward

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// longBody exceeds what the socket buffers between two ends hold, in bytes.
const longBody = 4 << 20

// Guards against reusing a connection before the request's body was written completely. A server
// that answers on the headers alone, keeps its connection and reads on later would take the
// beginning of the next request for the rest of that body.
func TestEarlyAnswerKeepsBodiesApart(t *testing.T) {
	readOn, rest := make(chan struct{}), make(chan []byte, 1)
	b := newBackend(t, func(b *backend) serve {
		whole := healthy(b)
		return func(n int, c net.Conn, r *bufio.Reader) bool {
			head, err := r.Peek(len("POST /early"))
			if err != nil || !bytes.HasSuffix(head, []byte("/early")) {
				return whole(n, c, r)
			}
			req, err := http.ReadRequest(r)
			if err != nil {
				return false
			}
			_, _ = io.WriteString(c, answerTo(req))
			<-readOn
			got, _ := io.ReadAll(r) // until the connection is closed
			rest <- got
			return false
		}
	})
	address, log := entryHost(t, routes.Route{Kind: routes.NonIdempotent}, b)
	caller := dialCaller(t, address)
	if g := caller.ask("r1", "/early", strings.Repeat("x", longBody)); g.status != http.StatusOK || g.body != wholeBody {
		t.Errorf("the caller got %+v", g)
	}
	if x := log.wait(t, "r1"); !x.Attempts[0].Early || x.Ending != relay.EndAnswered {
		t.Errorf("attempt %+v, ending %s", x.Attempts[0], x.Ending)
	}
	if g := caller.ask("r2", "/whole", "y"); g.status != http.StatusOK || g.body != wholeBody {
		t.Errorf("the second request got %+v", g)
	}
	close(readOn)
	if got := <-rest; strings.Trim(string(got), "x") != "" {
		t.Errorf("the server read other bytes in place of the rest of the body")
	}
}

// Guards against taking a failure to write the request for the end of the exchange although the
// answer has arrived. A full server that rejects a request on its headers alone and closes the
// connection, while the request is still being written, would cause a 502.
func TestEarlyRejectionIsRead(t *testing.T) {
	const rounds = 30 // the order of the answer and the write error varies
	full := newBackend(t, func(*backend) serve {
		return func(_ int, c net.Conn, r *bufio.Reader) bool {
			req, err := http.ReadRequest(r)
			if err != nil {
				return false
			}
			_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\n"+hID+": "+req.Header.Get(hID)+"\r\n"+hNotRun+": 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.CopyN(io.Discard, r, longBody/2)
			return false
		}
	})
	address, _ := entryHost(t, routes.Route{Kind: routes.NonIdempotent}, full, newBackend(t, healthy))
	caller := dialCaller(t, address)
	lost := 0
	for range rounds {
		if g := caller.ask("r1", "/whole", strings.Repeat("x", longBody)); g.status != http.StatusOK {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d requests that a server rejected early were not served by the other one", lost, rounds)
	}
}
