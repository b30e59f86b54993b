package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// invalidInNames returns bytes that no field's name has, all control bytes among them.
func invalidInNames() []byte {
	invalid := []byte(" \x7f\x80\xff\"(),/;<=>?@[\\]{}")
	for b := range byte(' ') {
		invalid = append(invalid, b)
	}
	return invalid
}

// damagedNames returns heads of answers by their damage, a field's name with one invalid byte at each place.
func damagedNames() map[string]string {
	fields := []string{"Other: x", "Content-Length: 14", "Seal: s"}
	heads := map[string]string{}
	for i, field := range fields {
		name, value, _ := strings.Cut(field, ":")
		for _, b := range invalidInNames() {
			for at := range len(name) + 1 {
				damaged := name[:at] + string([]byte{b}) + name[at:]
				all := append([]string{"Name: ID"}, fields...)
				all[i+1] = damaged + ":" + value
				heads[fmt.Sprintf("%q", damaged)] = "HTTP/1.1 200 OK\r\n" + strings.Join(all, "\r\n") + "\r\n\r\n"
			}
		}
	}
	return heads
}

// fixedServer gives the stored answer and closes the connection. If kept is set, it answers the first request of the connection
// whole before.
func fixedServer(answer *atomic.Value, kept bool) func(*backend) serve {
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
			_, _ = io.WriteString(c, withID(answer.Load().(string), req.Header.Get(hID)))
			return false
		}
	}
}

// Guards against an answer whose head has a blank or a control byte in the name of a field: the caller got that line, or
// a body that lacks its length or begins with a part of the head.
func TestAnswerWithADamagedFieldNameIsNotPassedOn(t *testing.T) {
	for _, kept := range []bool{false, true} {
		t.Run(map[bool]string{false: "first answer", true: "second answer"}[kept], func(t *testing.T) {
			t.Parallel()
			var answer atomic.Value
			host, seen := entryHost(t, routes.Route{Kind: routes.NonIdempotent}, newBackend(t, fixedServer(&answer, kept)))
			caller, n := dialCaller(t, host), 0
			for name, head := range damagedNames() {
				n++
				id := fmt.Sprint("r", n)
				if kept {
					caller.askWhole("first" + id)
				}
				answer.Store(head + wholeBody)
				a := caller.ask(id, "/", "")
				if a.status != http.StatusBadGateway || !a.whole || a.header.Get("Ran") != string(errkind.RanUnknown) {
					t.Errorf("%s: the caller got %+v", name, a)
				}
				if x := seen.wait(t, id); x.Attempts[0].Cause != engineclient.CauseGarbled {
					t.Errorf("%s: cause %s", name, x.Attempts[0].Cause)
				}
			}
		})
	}
}

// openServer gives the answer to each request. It closes the connection only where that ends the answer.
func openServer(answer *atomic.Value) func(*backend) serve {
	return func(b *backend) serve {
		return func(_ int, c net.Conn, r *bufio.Reader) bool {
			req, ok := b.read(r)
			if !ok {
				return false
			}
			text := answer.Load().(string)
			_, err := io.WriteString(c, withID(text, req.Header.Get(hID)))
			return err == nil && strings.Contains(strings.ToLower(text), "content-length:")
		}
	}
}

// Guards against failing an answer whose head is unusual and allowed.
func TestAnswerWithAnUnusualHeadIsPassedOn(t *testing.T) {
	var answer atomic.Value
	host, _ := entryHost(t, routes.Route{Kind: routes.NonIdempotent}, newBackend(t, openServer(&answer)))
	for _, head := range []string{
		"HTTP/1.1 200 OK\nName: ID\nContent-Length: 14\n\n",
		"HTTP/1.1 200\r\nName: ID\r\nContent-Length: 14\r\n\r\n",
		"HTTP/1.1 200 \r\nName: ID\r\ncontent-length:\t14 \r\n\r\n",
		"HTTP/1.0 200 OK\r\nName: ID\r\n\r\n",
		"HTTP/1.1 200 OK\r\nName: ID\r\nEmpty:\r\nX!#$%&'*+-.^_`|~1: : a: b\r\nContent-Length: 14\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nName: ID\r\nContent-Length: 14\r\n\r\n",
		"HTTP/1.1 103 Early Hints\n\nHTTP/1.1 200 OK\r\nName: ID\r\nContent-Length: 14\r\n\r\n",
	} {
		answer.Store(head + wholeBody)
		if a := dialCaller(t, host).ask("r1", "/", ""); a.status != http.StatusOK || !a.whole || a.body != wholeBody {
			t.Errorf("%q: the caller got %+v", head, a)
		}
	}
}

// Guards against an answer with a status that HTTP doesn't have, 000 for example: the caller got its body with another status.
func TestAnswerWithAnInvalidStatusIsNotPassedOn(t *testing.T) {
	for kind, answered := range map[routes.Kind]string{
		routes.NonIdempotent: "Content-Length: 14\r\n\r\n" + wholeBody,
		routes.Stream:        "Content-Type: text/event-stream\r\n\r\n" + event(1),
	} {
		for _, kept := range []bool{false, true} {
			var answer atomic.Value
			host, seen := entryHost(t, routes.Route{Kind: kind}, newBackend(t, fixedServer(&answer, kept)))
			caller := dialCaller(t, host)
			for n, status := range []string{"000", "001", "020", "099", "600", "999", "-00", "+20", "-01", "1e2", "0x1", "00", "0000", "20", "2000", ""} {
				id := fmt.Sprint("r", n)
				if kept {
					caller.askWhole("first" + id)
				}
				answer.Store("HTTP/1.1 " + status + " OK\r\nName: ID\r\nSeal: s\r\n" + answered)
				a := caller.ask(id, "/", "")
				if a.status != http.StatusBadGateway || a.header.Get("Seal") != "" || a.header.Get("Ran") != string(errkind.RanUnknown) {
					t.Errorf("%s, status %q: the caller got %+v", kind, status, a)
				}
				if x := seen.wait(t, id); x.Attempts[0].Cause != engineclient.CauseGarbled {
					t.Errorf("%s, status %q: cause %s", kind, status, x.Attempts[0].Cause)
				}
			}
		}
	}
}
