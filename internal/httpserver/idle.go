package httpserver

import (
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"github.com/bluebellsail/bluebellsail/internal/httpserver/framing"
	"github.com/bluebellsail/bluebellsail/internal/panics"
)

// Times of the watch for idle connections.
const (
	// sweepShare of the idle timeout, one in so many, lies between two looks at the connections;
	// a connection is closed that much late at most.
	sweepShare = 8
	// minSweep bounds the work under a short timeout. A look at 1000 connections takes some 50 µs.
	minSweep = 5 * time.Millisecond
	// maxSweep is how late a timeout that settings lowered takes effect at most.
	maxSweep = time.Second
	// libraryKeepalive is the deadline that nbhttp sets to a connection at accept; the idle watch
	// takes it off at its next look, within maxSweep.
	//
	// What goes wrong with one in force: nbio closes from a timer, whatever has happened since it
	// was set. A request that arrives as it runs out is passed on, and its caller gets a closed
	// connection in place of an answer. Which connection is idle is decided by guard.closeIfIdle,
	// where its bytes are taken in. With one of years: nbio does not stop the timer when a write
	// fails, and the ended connection, 1.2 KB and more, stays in memory for as long.
	libraryKeepalive = time.Minute
)

// idleWatch closes idle connections. One timer serves them all and runs while there are any:
// one for each connection would be set anew with each request.
type idleWatch struct {
	server *Server
	// conns is used by look alone, of which one runs at a time.
	conns []*trackedConn

	mu sync.Mutex
	// timer is nil before the first connection.
	timer *time.Timer
	// running: the timer is set, or a look is under way.
	running bool
}

// start begins to watch; it is called after a connection was added.
func (w *idleWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running {
		return
	}
	w.running = true
	if w.timer == nil {
		w.timer = time.AfterFunc(w.interval(), w.sweep)
		return
	}
	w.timer.Reset(w.interval())
}

func (w *idleWatch) interval() time.Duration {
	return min(max(w.server.limits().IdleTimeout/sweepShare, minSweep), maxSweep)
}

// sweep closes what is idle, and sets the timer again unless no connection is left.
func (w *idleWatch) sweep() {
	defer panics.Log(w.server.log, "watching for idle connections")
	interval := maxSweep
	defer func() { w.reschedule(interval) }()
	limit := w.server.limits().IdleTimeout
	w.conns = w.server.conns.appendTo(w.conns[:0])
	defer clear(w.conns)
	for _, c := range w.conns {
		_ = c.Conn.SetReadDeadline(time.Time{}) // see libraryKeepalive
		if g := guardOf(c.Conn); g != nil {
			g.closeIfIdle(limit)
		}
	}
	interval = w.interval()
}

// reschedule sets the timer unless no connection is left. A connection that was added meanwhile has
// found the watch running.
func (w *idleWatch) reschedule(interval time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = !w.server.conns.empty()
	if w.running {
		w.timer.Reset(interval)
	}
}

// closeIfIdle closes the connection if nothing has moved on it for as long as limit.
//
// It holds the lock under which bytes are read and requests begin: a request is seen here, or
// it comes after the close, and then it is not read. It may run on any goroutine.
func (g *guard) closeIfIdle(limit time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	cause := CauseIdle
	if g.rejected {
		cause, limit = g.rejectCause, g.server.cfg.ReadTimeout
	}
	switch {
	case g.reading(), g.conn.openRequests.Load() > 0, g.conn.wroteSinceSweep():
		g.conn.markActive()
	case g.conn.idleTime() < limit:
	case !g.rejected && g.conn.hasUnread():
		// A host short of processor is late to read, which is not its caller's fault.
	case !g.conn.isDrained():
		g.conn.closeWithCause(CauseWriteStalled, nil)
	default:
		g.conn.closeWithCause(cause, nil)
	}
}

// reading tells whether a part of a request has come, whose rest the timer of slow senders
// bounds.
func (g *guard) reading() bool { return !g.rejected && g.frames.Phase() != framing.Idle }

// markActive notes that something moves on the connection now.
func (c *trackedConn) markActive() { c.lastActive.Store(int64(time.Since(c.opened))) }

// idleTime is the time since something moved on the connection.
func (c *trackedConn) idleTime() time.Duration {
	return time.Since(c.opened) - time.Duration(c.lastActive.Load())
}

// wroteSinceSweep tells whether the kernel has taken more of an answer since the last look. It is
// called by the idle watch alone.
func (c *trackedConn) wroteSinceSweep() bool {
	before := c.writtenAtSweep
	c.writtenAtSweep = c.written.Load()
	return c.writtenAtSweep != before
}

// hasUnread tells whether the kernel holds bytes that the caller has sent.
func (c *trackedConn) hasUnread() bool {
	c.Lock() // nbio closes the socket, whose number may then be another one's, under this lock
	defer c.Unlock()
	if c.isClosed() {
		return false
	}
	unread := false
	_ = c.onSocket(func(fd int) {
		n, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}

// onSocket calls f with the number of the connection's socket. The caller holds the
// connection's lock and has seen that it is open.
func (c *trackedConn) onSocket(f func(fd int)) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// guardOf finds the guard of a connection; nil if it has none.
func guardOf(c *nbio.Conn) *guard {
	g, _ := c.Session().(*guard)
	return g
}
