package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// statusFramings are the fields and the bodies, which are wholeBody, of answers with each framing.
var statusFramings = map[string]string{
	"length":  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(wholeBody), wholeBody),
	"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(wholeBody), wholeBody),
	"closed":  "\r\n" + wholeBody,
}

// Guards against a server's status that reaches the caller as another one.
func TestStatusReachesTheCallerAsGiven(t *testing.T) {
	server := newBackend(t, func(b *backend) serve {
		return func(_ int, c net.Conn, r *bufio.Reader) bool {
			req, ok := b.read(r)
			if !ok {
				return false
			}
			var status int
			var framing string
			_, _ = fmt.Sscanf(strings.ReplaceAll(req.URL.Path, "/", " "), "%d %s", &status, &framing)
			_, err := fmt.Fprintf(c, "HTTP/1.1 %d\r\n%s: %s\r\n%s", status, hID, req.Header.Get(hID), statusFramings[framing])
			return err == nil && framing != "closed"
		}
	})
	address, _ := entryHost(t, routes.Route{Kind: routes.NonIdempotent}, server)
	for framing := range statusFramings {
		caller := dialCaller(t, address)
		for status := 200; status <= 599; status++ {
			switch status {
			case http.StatusNoContent, http.StatusNotModified: // have no body
				continue
			case http.StatusMisdirectedRequest: // is not the answer of the server that was asked
				continue
			}
			id := fmt.Sprintf("%s-%d", framing, status)
			a := caller.ask(id, fmt.Sprintf("/%d/%s", status, framing), "")
			if a.status != status || a.body != wholeBody || !a.whole || a.header.Get(hID) != id {
				t.Fatalf("%s: %+v", id, a)
			}
		}
	}
}

// Guards against a stream whose status reaches the caller as another one.
func TestStatusOfAStreamReachesTheCallerAsGiven(t *testing.T) {
	server := newBackend(t, func(b *backend) serve {
		return func(_ int, c net.Conn, r *bufio.Reader) bool {
			req, ok := b.read(r)
			if !ok {
				return false
			}
			_, err := io.WriteString(c, strings.Replace(answerTo(req), "200 OK", strings.TrimPrefix(req.URL.RawQuery, "status="), 1))
			return err == nil
		}
	})
	address, _ := entryHost(t, routes.Route{Kind: routes.Stream}, server)
	caller := dialCaller(t, address)
	for status := 200; status <= 599; status++ {
		if status == http.StatusNoContent || status == http.StatusNotModified || status == http.StatusMisdirectedRequest {
			continue
		}
		id := fmt.Sprintf("r%d", status)
		a := caller.ask(id, fmt.Sprintf("/stream?status=%d", status), "")
		if a.status != status || a.body != allEvents() || !a.whole {
			t.Fatalf("%s: %+v", id, a)
		}
	}
}
