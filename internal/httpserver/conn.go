package httpserver

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// trackedConn counts the bytes that were given to nbio and not yet to the kernel.
//
// What goes wrong without it: nbio takes every write at once and keeps what the
// kernel has no room for; closing the connection then drops the end of an answer
// to a slow reader. Drain waits for unsent to reach zero.
type trackedConn struct {
	*nbio.Conn
	// unsent stays zero on TLS connections, whose writes pass around this type.
	unsent atomic.Int64
	// busy is the number of requests read and not yet answered in full.
	busy atomic.Int64
	// requests counts those that came on the connection.
	requests atomic.Int64
	// came is what has come of the request that is being read, in bytes, and held what is
	// counted of it; guard.mu guards both.
	came, held int64
}

// Write counts and hands on.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.unsent.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// handovers counts connections handed from the accepting goroutine to the reading
// one, which loads it before it touches a connection. nbio orders the two through
// epoll, which neither the memory model nor the race detector knows of.
var handovers atomic.Int64

func (c *trackedConn) quiet() bool {
	if closed, _ := c.IsClosed(); closed {
		return true
	}
	return c.busy.Load() == 0 && c.unsent.Load() <= 0
}

// onWritten is nbio's report of bytes that the kernel took.
func onWritten(c *nbio.Conn, _ []byte, n int) {
	if t := trackedOf(c); t != nil {
		t.unsent.Add(-int64(n))
	}
}

func trackedOf(c *nbio.Conn) *trackedConn {
	g, ok := c.Session().(*guard)
	if !ok {
		return nil
	}
	return g.conn
}

// connSet holds the open connections.
type connSet struct {
	mu sync.Mutex
	m  map[*nbio.Conn]*trackedConn
}

func (s *connSet) add(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = make(map[*nbio.Conn]*trackedConn)
	}
	s.m[c.Conn] = c
}

func (s *connSet) remove(c *nbio.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.m, c)
}

// quiet tells whether no connection has a request or an answer under way.
func (s *connSet) quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.m {
		if !c.quiet() {
			return false
		}
	}
	return true
}

func (s *Server) onClose(c net.Conn, _ error) {
	if nc, ok := c.(*nbio.Conn); ok {
		s.conns.remove(nc)
	}
}

// nbioConn finds the connection below w; nil if w is not nbhttp's.
func nbioConn(w http.ResponseWriter) *nbio.Conn {
	for {
		switch v := w.(type) {
		case *nbhttp.Response:
			return connOf(v)
		case interface{ Unwrap() http.ResponseWriter }:
			w = v.Unwrap()
		default:
			return nil
		}
	}
}

func connOf(res *nbhttp.Response) *nbio.Conn {
	if res.Parser == nil {
		return nil
	}
	hc, ok := res.Parser.Conn.(*nbhttp.Conn)
	if !ok {
		return nil
	}
	switch c := hc.Conn.(type) {
	case *trackedConn:
		return c.Conn
	case *nbio.Conn:
		return c
	case *tls.Conn:
		nc, _ := c.Conn().(*nbio.Conn)
		return nc
	}
	return nil
}

// ConnClosed tells whether the caller's connection is closed. nbhttp neither
// cancels the request's context nor fails a write then, so a handler that streams
// has to poll this. It is false for a ResponseWriter that is not nbhttp's.
func ConnClosed(w http.ResponseWriter) bool {
	c := nbioConn(w)
	if c == nil {
		return false
	}
	closed, _ := c.IsClosed()
	return closed
}

// Abort closes the caller's connection: the part of an answer that it has stays without
// its proper end, which is the only way to tell it that the rest won't come.
func Abort(w http.ResponseWriter) {
	if c := nbioConn(w); c != nil {
		_ = c.Close()
	}
}

// clearReadDeadline takes off the deadline for reading the request. nbhttp leaves
// it on while the handler runs, which would close a stream longer than it.
func clearReadDeadline(w http.ResponseWriter) {
	if c := nbioConn(w); c != nil {
		_ = c.SetReadDeadline(time.Time{})
	}
}
