package httpserver

import (
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"github.com/bluebellsail/bluebellsail/internal/httpserver/framing"
	"github.com/bluebellsail/bluebellsail/internal/panics"
)

// Times of the idle watch.
const (
	// sweepShare is the fraction of the idle timeout, one in so many, between two sweeps. A
	// connection is closed at most that much late.
	sweepShare = 8
	// minSweep bounds the work under a short timeout. A sweep of 1000 connections takes about
	// 50 µs.
	minSweep = 5 * time.Millisecond
	// maxSweep bounds the delay until a timeout lowered in the settings takes effect.
	maxSweep = time.Second
	// libraryKeepalive is the deadline that nbhttp sets on a connection at accept; the idle
	// watch clears it at its next sweep, within maxSweep.
	//
	// While it is set, nbio closes the connection from a timer regardless of later activity: a
	// request that arrives as it expires is passed on, and its caller gets a closed connection
	// instead of an answer. Whether a connection is idle is instead decided by
	// guard.closeIfIdle, where its bytes are read. The deadline must not be years either: nbio
	// does not stop the timer when a write fails, so that the ended connection, 1.2 KB and
	// more, would stay in memory for as long.
	libraryKeepalive = time.Minute
)

// idleWatch closes idle connections. One timer serves all connections and runs while there are
// any; a timer per connection would have to be reset with each request.
type idleWatch struct {
	server *Server
	// conns is used only by sweep, of which one runs at a time.
	conns []*trackedConn

	mu sync.Mutex
	// timer is nil before the first connection.
	timer *time.Timer
	// running: the timer is set, or a sweep is in progress.
	running bool
}

// start starts the watch; it is called after a connection was added.
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

// sweep closes idle connections and sets the timer again unless no connection is left.
func (w *idleWatch) sweep() {
	defer panics.Log(w.server.log, "watching for idle connections")
	interval := maxSweep
	defer func() { w.reschedule(interval) }()
	limit := w.server.limits().IdleTimeout
	w.conns = w.server.conns.appendTo(w.conns[:0])
	defer clear(w.conns)
	for _, c := range w.conns {
		_ = c.Conn.SetReadDeadline(time.Time{}) // see libraryKeepalive
		c.checkProgress(time.Now())
		if g := guardOf(c.Conn); g != nil {
			g.closeIfIdle(limit)
		}
	}
	interval = w.interval()
}

// reschedule sets the timer unless no connection is left. If a connection was added in the
// meantime, start has found the watch running.
func (w *idleWatch) reschedule(interval time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = !w.server.conns.empty()
	if w.running {
		w.timer.Reset(interval)
	}
}

// closeIfIdle closes the connection if there was no activity on it for limit.
//
// It holds the lock under which bytes are read and requests begin: a request is either seen
// here, or it comes after the close and is not read. It may run on any goroutine.
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
		// A host short of processor time reads late, which must not count against the caller.
	case !g.conn.isDrained():
		g.conn.closeWithCause(CauseWriteStalled, nil)
	default:
		g.conn.closeWithCause(cause, nil)
	}
}

// reading reports whether part of a request has been received; the slow-sender timer bounds
// the rest.
func (g *guard) reading() bool { return !g.rejected && g.frames.Phase() != framing.Idle }

// markActive records activity on the connection.
func (c *trackedConn) markActive() { c.lastActive.Store(int64(time.Since(c.opened))) }

// idleTime returns the time since the last activity on the connection.
func (c *trackedConn) idleTime() time.Duration {
	return time.Since(c.opened) - time.Duration(c.lastActive.Load())
}

// wroteSinceSweep reports whether the kernel has accepted more of an answer since the last
// sweep. It is called only by the idle watch.
func (c *trackedConn) wroteSinceSweep() bool {
	before := c.writtenAtSweep
	c.writtenAtSweep = c.written.Load()
	return c.writtenAtSweep != before
}

// hasUnread reports whether the kernel holds unread bytes from the caller.
func (c *trackedConn) hasUnread() bool {
	c.Lock() // nbio closes the socket under this lock; its number may belong to another connection afterwards
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

// onSocket calls f with the connection's descriptor. The caller holds the connection's lock
// and has checked that it is open.
func (c *trackedConn) onSocket(f func(fd int)) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// guardOf returns the guard of a connection; nil if it has none.
func guardOf(c *nbio.Conn) *guard {
	g, _ := c.Session().(*guard)
	return g
}
