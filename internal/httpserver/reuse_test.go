package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/lesismal/nbio"
)

// readStop blocks the reading goroutine when it has read bytes of one connection.
type readStop struct{ reached, release chan struct{} }

// stopAt installs a readStop on the server's end of c.
func (h *gatedServer) stopAt(t *testing.T, c net.Conn) *readStop {
	t.Helper()
	s := &readStop{make(chan struct{}), make(chan struct{})}
	conn := h.serverSide(t, c)
	read := conn.DataHandler()
	conn.OnData(func(nc *nbio.Conn, data []byte) {
		close(s.reached)
		<-s.release
		read(nc, data)
	})
	return s
}

// serverSide returns the server's end of a caller's connection.
func (h *gatedServer) serverSide(t *testing.T, c net.Conn) *trackedConn {
	t.Helper()
	var found *trackedConn
	await(t, "the connection is accepted", func() bool {
		h.conns.mu.Lock()
		defer h.conns.mu.Unlock()
		for _, conn := range h.conns.m {
			if conn.RemoteAddr().String() == c.LocalAddr().String() {
				found = conn
			}
		}
		return found != nil
	})
	return found
}

func TestLateEventClosesNoOtherConnection(t *testing.T) {
	// Guards against a stale event that closes a new connection, as if its caller had left.
	// The reading goroutine fetches a batch of events, among them that a caller closed its
	// connection. Before it reaches that event, a handler closes the same connection and a new
	// one is accepted under the same descriptor number, by which nbio finds the connection of
	// an event.
	for name, end := range map[string]func(w http.ResponseWriter){
		"answer is aborted": Abort,
		"write fails": func(w http.ResponseWriter) {
			for !ConnClosed(w) {
				_, _ = io.WriteString(w, "more")
				w.(http.Flusher).Flush()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			const callers = 8
			begun, leave := make(chan struct{}), make(chan struct{})
			h := startGated(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/leave" {
					begun <- struct{}{}
					<-leave
					end(w)
					return
				}
				_, _ = io.WriteString(w, "ran")
			})})
			first, second := dial(t, h.Server), dial(t, h.Server)
			var gone []net.Conn
			var ended []*trackedConn
			for range callers {
				c := dial(t, h.Server)
				gone, ended = append(gone, c), append(ended, h.serverSide(t, c))
				_, _ = io.WriteString(c, "GET /leave HTTP/1.1\r\nHost: h\r\n\r\n")
				<-begun
			}
			// The batch holds what arrives while the reading goroutine is at the first
			// connection.
			atFirst, atSecond := h.stopAt(t, first), h.stopAt(t, second)
			_, _ = io.WriteString(first, plainRequest)
			<-atFirst.reached
			_, _ = io.WriteString(second, plainRequest)
			for _, c := range gone {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
			close(atFirst.release)
			<-atSecond.reached
			// Now the reading goroutine is at the second connection, and the ends of the others come next.
			close(leave)
			for _, c := range ended {
				await(t, "the handlers have closed", c.isClosed)
			}
			var fresh []net.Conn
			for range callers {
				c := dial(t, h.Server)
				fresh = append(fresh, c)
				_, _ = io.WriteString(c, plainRequest)
				h.serverSide(t, c)
			}
			close(atSecond.release)
			for i, c := range fresh {
				if !answered(bufio.NewReader(c)) {
					t.Errorf("new connection %d was closed without an answer", i)
				}
			}
		})
	}
}
