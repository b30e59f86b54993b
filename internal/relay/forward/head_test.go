package forward

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// cutAnswers are heads of answers, and what follows them, by how the end of the body is marked.
var cutAnswers = map[string]struct{ head, body string }{
	"length":           {"HTTP/1.1 200 OK\r\nName: ID\r\nContent-Length: 14\r\n\r\n", wholeBody},
	"no body":          {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nName: ID\r\n\r\n", ""},
	"chunks":           {"HTTP/1.1 200 OK\r\nName: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "e\r\n" + wholeBody + "\r\n0\r\n\r\n"},
	"trailer":          {"HTTP/1.1 200 OK\r\nName: ID\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n", "e\r\n" + wholeBody + "\r\n0\r\nSum: 5\r\n\r\n"},
	"unframed":         {"HTTP/1.1 200 OK\r\nName: ID\r\nContent-Type: text/plain\r\n\r\n", wholeBody},
	"unframed, no LF":  {"HTTP/1.1 200 OK\nName: ID\n\n", wholeBody},
	"HTTP/1.0":         {"HTTP/1.0 200 OK\r\nName: ID\r\n\r\n", wholeBody},
	"interim answer":   {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nName: ID\r\n\r\n", wholeBody},
	"announced end":    {"HTTP/1.1 200 OK\r\nName: ID\r\nConnection: close\r\n\r\n", wholeBody},
	"stream, unframed": {"HTTP/1.1 200 OK\r\nName: ID\r\nContent-Type: text/event-stream\r\n\r\n", "id: 1\ndata: x\n\n"},
	"stream, chunks":   {"HTTP/1.1 200 OK\r\nName: ID\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "e\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n"},
}

// withID sets the request's ID in an answer.
func withID(answer, id string) string { return strings.ReplaceAll(answer, "Name: ID", hID+": "+id) }

// cutServer sends the first bytes of an answer, as many as length, and ends the connection, by a reset if reset is set. It
// answers the first request of a connection whole if kept is set. It goes on accepting connections.
func cutServer(answer string, length *atomic.Int64, reset, kept bool) func(b *backend) serve {
	return func(b *backend) serve {
		whole := healthy(b)
		return func(n int, c net.Conn, r *bufio.Reader) bool {
			if kept && n == 1 {
				return whole(n, c, r)
			}
			req, ok := b.read(r)
			if !ok {
				return false
			}
			_, _ = io.WriteString(c, withID(answer, req.Header.Get(hID))[:length.Load()])
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return false
		}
	}
}

// framed reports whether each cut of an answer shows: inside its head, or anywhere if a length or chunks mark its end.
func framed(head string) bool {
	return strings.Contains(head, "Content-Length") || strings.Contains(head, "chunked")
}

// Guards against an empty or short answer that the caller takes for whole, since its server stopped inside the head, the size
// of a chunk or the trailer and closed the connection, and against telling the caller that such a request did not run.
func TestAnswerCutInItsHeadOrFramingIsNeverWhole(t *testing.T) {
	for name, answer := range cutAnswers {
		for _, reset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				t.Run(name+map[bool]string{true: ", reset"}[reset]+map[bool]string{true: ", second answer"}[kept], func(t *testing.T) {
					t.Parallel()
					kind := routes.NonIdempotent
					if strings.HasPrefix(name, "stream") {
						kind = routes.Stream
					}
					var length atomic.Int64
					host, seen := entryHost(t, routes.Route{Kind: kind}, newBackend(t, cutServer(answer.head+answer.body, &length, reset, kept)))
					caller := dialCaller(t, host)
					cuts := len(withID(answer.head, "cut1000"))
					if framed(answer.head) {
						cuts += len(answer.body)
					}
					for n := range cuts {
						length.Store(int64(n))
						if kept {
							caller.askWhole("first" + strconv.Itoa(n))
						}
						id := "cut" + strconv.Itoa(1000+n)
						a := caller.ask(id, "/", "body")
						x := seen.wait(t, id)
						if a.status == 200 && a.whole {
							t.Errorf("cut after %d bytes: the caller got %q as a whole answer", n, a.body)
						}
						if ran := a.header.Get("Ran"); ran == string(errkind.RanNo) {
							t.Errorf("cut after %d bytes: the caller was told that the request did not run", n)
						}
						if cause := x.Attempts[0].Cause; cause == engineclient.CauseAnswered {
							t.Errorf("cut after %d bytes: the attempt has no failure on the log", n)
						}
						if a.status == 0 {
							caller = dialCaller(t, host)
						}
					}
				})
			}
		}
	}
}
