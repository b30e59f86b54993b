package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/lesismal/nbio"
)

// stop holds the reading goroutine back when it has read something of one connection.
type stop struct{ reached, release chan struct{} }

// stopAt arms a stop at the server's side of c.
func (h *heldServer) stopAt(t *testing.T, c net.Conn) *stop {
	t.Helper()
	s := &stop{make(chan struct{}), make(chan struct{})}
	conn := h.serverSide(t, c)
	read := conn.DataHandler()
	conn.OnData(func(nc *nbio.Conn, data []byte) {
		close(s.reached)
		<-s.release
		read(nc, data)
	})
	return s
}

// serverSide is the server's end of a caller's connection.
func (h *heldServer) serverSide(t *testing.T, c net.Conn) *trackedConn {
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
	// Symptom: a request on a new connection is passed on, and its caller finds the connection
	// closed at once, as if it had left.
	// Sequence: the reading goroutine fetches a batch of events, among them that a caller closed
	// its connection. Before it comes to that event a handler closes the same connection, a new
	// one is accepted, and its socket gets the number of the old one.
	// Cause: nbio finds the connection of an event by the number of its socket.
	for name, end := range map[string]func(w http.ResponseWriter){
		"answer is broken off": Abort,
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
			h := startHeld(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
			// The batch: what comes while the reading goroutine is at the first connection.
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
			// Now it is at the second one, and the ends of the others are to come.
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
					t.Errorf("new connection %d was closed with no answer", i)
				}
			}
		})
	}
}
