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

// trackedConn is a caller's connection. It writes by itself what the kernel takes at once,
// counts what has to wait, and leaves the closing to the poller.
//
// What goes wrong if a handler's goroutine closes: nbio fetches events in batches and finds the
// connection of an event by the number of its socket. A batch that is under way may hold the end
// of the connection that is closed here; its number goes to the next one accepted, whose request
// is then read, handed on, and its connection closed as if the caller had left. Only the poller,
// while it is at the event of a connection, knows that the batch has no other of it.
type trackedConn struct {
	*nbio.Conn
	server *Server
	opened time.Time
	// unsent counts the bytes that were given to nbio and not yet to the kernel. Closing the
	// connection drops them: Drain waits for zero.
	unsent atomic.Int64
	// openRequests is the number of requests read and not yet answered in full.
	openRequests atomic.Int64
	// requestID is the id of the one whose handler runs, if that has named it.
	requestID atomic.Pointer[string]
	// requests counts those that came on the connection.
	requests atomic.Int64
	// written is the number of bytes that the kernel took, writtenBefore what it was when the
	// first of the requests that are open was read.
	written, writtenBefore atomic.Int64
	// lastActive is when something last moved on the connection, in nanoseconds after opened.
	lastActive atomic.Int64
	// writtenAtSweep is what taken was at the idle watch's last look.
	writtenAtSweep int64
	// closeReason is why the server closes the connection; nil as long as it does not. From then on
	// no request is begun and nothing is written.
	closeReason atomic.Pointer[closeError]
	// endRead: the poller has read the end of the caller's side.
	endRead atomic.Bool
	// ended: the end was counted.
	ended sync.Once
	// received is what has come of the request that is being read, in bytes, and counted what is
	// counted of it; guard.mu guards both.
	received, counted int64
}

// SetReadDeadline does nothing: see libraryKeepalive.
func (c *trackedConn) SetReadDeadline(time.Time) error { return nil }

// Write gives the kernel what it takes and has nbio keep the rest. It fails if the connection
// is closed or its queue full. Calls for one connection come one after the other.
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
	if _, err := c.server.writes.write(func() (int, error) { return c.Conn.Write(b[n:]) }); err != nil {
		return n, err
	}
	return len(b), nil
}

// writeNow gives the kernel what it takes of b, nothing if bytes wait already.
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
	}
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		err = nil
	}
	return max(n, 0), err
}

// Close is what nbhttp calls.
func (c *trackedConn) Close() error {
	c.closeWithCause(CauseLibrary, nil)
	return nil
}

// handovers counts connections handed from the accepting goroutine to the
// poller, which loads it before it touches a connection. nbio orders the two through
// epoll, which neither the memory model nor the race detector knows of.
var handovers atomic.Int64

// isClosed tells whether the connection is closed, or will be as soon as the poller
// comes to it.
func (c *trackedConn) isClosed() bool {
	if c.closeReason.Load() != nil {
		return true
	}
	closed, _ := c.IsClosed()
	return closed
}

// isDrained tells whether every request is answered and every answer with the kernel.
func (c *trackedConn) isDrained() bool {
	return c.openRequests.Load() == 0 && c.unsent.Load() <= 0
}

// onWritten is nbio's report of bytes that the kernel took.
func onWritten(c *nbio.Conn, _ []byte, n int) {
	if t := trackedOf(c); t != nil {
		t.written.Add(int64(n))
		t.unsent.Add(-int64(n))
	}
}

func trackedOf(c *nbio.Conn) *trackedConn {
	if g := guardOf(c); g != nil {
		return g.conn
	}
	return nil
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

// isDrained tells whether no connection has a request or an answer under way.
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
		t.reportEnd(err)
	}
}

// connOf finds the connection below w; nil if w is not of this package.
//
// It asks the response of this package and not nbhttp's, which goes back to a pool when the
// handler returns: whoever holds w for longer would find another caller's connection there.
func connOf(w http.ResponseWriter) *trackedConn {
	if res := responseOf(w); res != nil {
		return res.conn
	}
	return nil
}

// responseOf finds the response of this package below w; nil if there is none.
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

// underlyingConn finds the connection of a response that its handler is just given.
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

// ConnClosed tells whether the caller's connection is closed. nbhttp neither
// cancels the request's context nor fails a write then, so a handler that streams
// has to poll this. It is false for a ResponseWriter that is not nbhttp's.
func ConnClosed(w http.ResponseWriter) bool {
	_, closed := CloseCause(w)
	return closed
}

// Abort closes the caller's connection: the part of an answer that it has stays without
// its proper end, which is the only way to tell it that the rest won't come. It does
// nothing once the handler has returned, when another request may be open there.
func Abort(w http.ResponseWriter) {
	if res := responseOf(w); res != nil {
		res.abort()
	}
}
