package httpserver

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

// trackedConn is a caller's connection. It writes directly what the kernel accepts at once,
// counts what has to wait, and leaves the closing to the poller.
//
// A handler's goroutine must not close the connection. nbio fetches events in batches and
// finds the connection of an event by its descriptor number. The current batch may still hold
// the end of a connection that a handler closes; its number is reused for the next connection
// accepted, whose request is then read and handed on, and whose connection is closed as if the
// caller had left. Only the poller, while it handles an event of a connection, knows that the
// batch holds no other event of it.
type trackedConn struct {
	*nbio.Conn
	server *Server
	opened time.Time
	// unsent counts the bytes that were passed to nbio but not yet to the kernel. Closing the
	// connection drops them, so Drain waits for zero.
	unsent atomic.Int64
	// held is the account of unsent; nil: none is kept.
	held Held
	// progress is used by the idle watch.
	progress progress
	// openRequests is the number of requests read and not yet answered completely.
	openRequests atomic.Int64
	// requestID is the ID of the request whose handler runs, once set by NameRequest.
	requestID atomic.Pointer[string]
	// requests counts the requests received on the connection.
	requests atomic.Int64
	// written is the number of bytes accepted by the kernel, writtenBefore its value when the
	// first of the open requests was read.
	written, writtenBefore atomic.Int64
	// lastActive is the time of the last activity on the connection, in nanoseconds after
	// opened.
	lastActive atomic.Int64
	// writtenAtSweep is the value of written at the last sweep of the idle watch.
	writtenAtSweep int64
	// closeReason is why the server closes the connection; nil while it does not. Once it is
	// set, no request is started and nothing is written.
	closeReason atomic.Pointer[closeError]
	// endRead: the poller has read the end of the caller's side.
	endRead atomic.Bool
	// ended guards reportEnd, so that the end is counted once.
	ended sync.Once
	// received is the number of bytes received of the request being read. counted is how many
	// of its received or expected bytes are included in Server.heldBytes. guard.mu guards both.
	received, counted int64
}

// SetReadDeadline does nothing, see libraryKeepalive.
func (c *trackedConn) SetReadDeadline(time.Time) error { return nil }

// Write passes to the kernel what it accepts and lets nbio queue the rest. It fails if the
// connection is closed or its queue is full. Writes to one connection are sequential.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.unsent.Load()+int64(len(b)) > int64(c.server.cfg.MaxQueuedBytes) {
		c.closeWithCause(CauseWriteOverflow, nbio.ErrOverflow)
	}
	n, err := c.writeNow(b)
	if err != nil {
		c.closeWithCause(CauseReset, err)
		return 0, err
	}
	if n == len(b) {
		return n, nil
	}
	c.unsent.Add(int64(len(b) - n))
	if c.held != nil {
		c.held.Queued(len(b) - n)
	}
	if _, err := c.server.writes.write(func() (int, error) { return c.Conn.Write(b[n:]) }); err != nil {
		return n, err
	}
	return len(b), nil
}

// writeNow passes to the kernel what it accepts of b, nothing if bytes are already queued.
func (c *trackedConn) writeNow(b []byte) (int, error) {
	c.Lock()
	defer c.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	if c.unsent.Load() > 0 {
		return 0, nil
	}
	var n int
	var err error
	if rawErr := c.onSocket(func(fd int) { n, err = syscall.Write(fd, b) }); rawErr != nil {
		return 0, rawErr
	}
	if n > 0 {
		c.written.Add(int64(n))
		c.server.countBytes(0, n)
	}
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		err = nil
	}
	return max(n, 0), err
}

// Close is called by nbhttp.
func (c *trackedConn) Close() error {
	c.closeWithCause(CauseLibrary, nil)
	return nil
}

// handovers counts connections passed from the accepting goroutine to the poller, which loads
// the counter before it uses a connection. nbio orders the two through epoll, which neither
// the memory model nor the race detector knows.
var handovers atomic.Int64

// isClosed reports whether the connection is closed or will be as soon as the poller handles
// it.
func (c *trackedConn) isClosed() bool {
	if c.closeReason.Load() != nil {
		return true
	}
	closed, _ := c.IsClosed()
	return closed
}

// isDrained reports whether every request is answered and every answer passed to the kernel.
func (c *trackedConn) isDrained() bool {
	return c.openRequests.Load() == 0 && c.unsent.Load() <= 0
}

// onWritten is called by nbio with the number of bytes that the kernel accepted.
func onWritten(c *nbio.Conn, _ []byte, n int) {
	if t := trackedOf(c); t != nil {
		t.written.Add(int64(n))
		t.unsent.Add(-int64(n))
		if t.held != nil {
			t.held.Sent(n)
		}
		t.server.countBytes(0, n)
	}
}

func trackedOf(c *nbio.Conn) *trackedConn {
	if g := guardOf(c); g != nil {
		return g.conn
	}
	return nil
}

func (s *Server) countBytes(in, out int) {
	if s.cfg.CountBytes != nil {
		s.cfg.CountBytes(in, out)
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	return len(s.conns.m)
}

// Opened returns the number of connections accepted since the start.
func (s *Server) Opened() int64 { return s.opened.Load() }

// connSet is the set of open connections.
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

// appendTo appends the connections to list.
func (s *connSet) appendTo(list []*trackedConn) []*trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.m {
		list = append(list, c)
	}
	return list
}

func (s *connSet) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.m) == 0
}

// isDrained reports whether no connection has an open request or an unfinished answer.
func (s *connSet) isDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.m {
		if !c.isClosed() && !c.isDrained() {
			return false
		}
	}
	return true
}

func (s *Server) onClose(c net.Conn, err error) {
	nc, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	s.conns.remove(nc)
	if t := trackedOf(nc); t != nil {
		t.release()
		t.reportEnd(err)
	}
}

// connOf returns the connection of w; nil if w is not from this package.
//
// It uses this package's response and not nbhttp's, which returns to a pool when the handler
// returns: code that keeps w for longer would find another caller's connection there.
func connOf(w http.ResponseWriter) *trackedConn {
	if res := responseOf(w); res != nil {
		return res.conn
	}
	return nil
}

// responseOf returns this package's response wrapped by w; nil if there is none.
func responseOf(w http.ResponseWriter) *response {
	for {
		switch v := w.(type) {
		case *response:
			return v
		case interface{ Unwrap() http.ResponseWriter }:
			w = v.Unwrap()
		default:
			return nil
		}
	}
}

// underlyingConn returns the connection of a response that nbhttp has just passed to the
// handler.
func underlyingConn(w http.ResponseWriter) *trackedConn {
	res, ok := w.(*nbhttp.Response)
	if !ok || res.Parser == nil {
		return nil
	}
	hc, ok := res.Parser.Conn.(*nbhttp.Conn)
	if !ok {
		return nil
	}
	switch c := hc.Conn.(type) {
	case *trackedConn:
		return c
	case *tls.Conn:
		tracked, _ := c.Conn().(*trackedConn)
		return tracked
	}
	return nil
}

// ConnClosed reports whether the caller's connection is closed. nbhttp neither cancels the
// request's context nor fails a write in that case, so a handler that streams has to poll
// this. It is false for a ResponseWriter that is not nbhttp's.
func ConnClosed(w http.ResponseWriter) bool {
	_, closed := CloseCause(w)
	return closed
}

// Abort closes the caller's connection. The answer sent so far then lacks its proper end,
// which is the only way to show the caller that the rest won't follow. Abort does nothing once
// the handler has returned, since another request may then be open on the connection.
func Abort(w http.ResponseWriter) {
	if res := responseOf(w); res != nil {
		res.abort()
	}
}
