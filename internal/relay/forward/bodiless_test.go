package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// Guards against sending bytes of a body after an answer that has none, to a HEAD request or
// without content: the caller would read them as the beginning of the next answer on its kept-alive
// connection.
func TestAnswersWithoutContentLeaveNoBytes(t *testing.T) {
	for name, c := range map[string]struct{ method, answer string }{
		"HEAD with a length":    {http.MethodHead, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\n"},
		"HEAD without a length": {http.MethodHead, "HTTP/1.1 200 OK\r\nId: r1\r\n\r\n"},
		"HEAD of a stream":      {http.MethodHead, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"},
		"HEAD refused":          {http.MethodHead, "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 9\r\n\r\n"},
		"no content":            {http.MethodDelete, "HTTP/1.1 204 No Content\r\nId: r1\r\n\r\n"},
		"not modified":          {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nId: r1\r\nContent-Length: 9\r\n\r\n"},
		"empty":                 {http.MethodGet, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n"},
	} {
		b := newBackend(t, func(b *backend) serve {
			return func(_ int, c2 net.Conn, r *bufio.Reader) bool {
				_, ok := b.read(r)
				if ok {
					_, _ = io.WriteString(c2, c.answer)
				}
				return ok
			}
		})
		address, _ := entryHost(t, routes.Route{Kind: routes.NonIdempotent}, b)
		caller := dialCaller(t, address)
		for range 2 {
			_, err := fmt.Fprintf(caller.c, "%s /whole HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n", c.method)
			testutil.NoError(t, err)
			res, err := http.ReadResponse(caller.r, &http.Request{Method: c.method})
			if err != nil {
				t.Errorf("%s: %v", name, err)
				break
			}
			if content, _ := io.ReadAll(res.Body); len(content) > 0 || caller.r.Buffered() > 0 {
				rest, _ := caller.r.Peek(caller.r.Buffered())
				t.Errorf("%s: content %q, and %q after it", name, content, rest)
			}
		}
	}
}
