package httpserver

import (
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxProgressStep bounds how much of StallTimeout one sweep of the idle watch may count: a process
	// that was paused has not watched meanwhile.
	maxProgressStep = 2 * time.Second
	// unsentInKernel bounds what the kernel takes beyond what it can send, in bytes, where Config.Hold
	// is set.
	unsentInKernel = 32 << 10
)

// Held is the account of the bytes that are queued for one connection. Its methods do not block and
// do not call the server.
type Held interface {
	// Queued adds n bytes, Sent takes them back.
	Queued(n int)
	Sent(n int)
	// Close takes back the rest. Nothing is counted afterwards.
	Close()
}

// HeldOf returns the account of the connection of w; nil if none is kept.
func HeldOf(w http.ResponseWriter) Held {
	if c := connOf(w); c != nil {
		return c.held
	}
	return nil
}

// release closes the account of the connection, if there is one.
func (c *trackedConn) release() {
	if c.held != nil {
		c.held.Close()
	}
}

// boundUnsent limits the bytes that wait in the kernel, which count as the process's memory too.
// Without the option they are bounded by the system's settings.
func (c *trackedConn) boundUnsent() {
	c.Lock()
	defer c.Unlock()
	_ = c.onSocket(func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentInKernel)
	})
}

// progress is what the idle watch knows of a caller's reading while bytes are queued for it.
type progress struct {
	// acknowledged is how many bytes the caller's machine had acknowledged at the last sweep.
	acknowledged int64
	swept        time.Time
	// quiet is for how long it has acknowledged no more.
	quiet time.Duration
}

// checkProgress closes the connection if bytes are queued and the caller's machine has acknowledged
// nothing for StallTimeout. It is called only by the idle watch.
func (c *trackedConn) checkProgress(now time.Time) {
	switch {
	case c.held == nil:
	case c.unsent.Load() <= 0:
		c.progress = progress{}
	case c.progress.update(now, c.acknowledged()) >= c.server.cfg.StallTimeout:
		c.closeWithCause(CauseWriteStalled, nil)
	}
}

// update records what is acknowledged at now and returns for how long that has not grown.
func (p *progress) update(now time.Time, acknowledged int64) time.Duration {
	if !p.swept.IsZero() && acknowledged <= p.acknowledged {
		p.quiet += min(now.Sub(p.swept), maxProgressStep)
	} else {
		p.quiet = 0
	}
	p.swept, p.acknowledged = now, acknowledged
	return p.quiet
}

// acknowledged returns how many bytes the caller's machine has acknowledged.
func (c *trackedConn) acknowledged() int64 {
	c.Lock()
	defer c.Unlock()
	if c.isClosed() {
		return 0
	}
	pending := 0
	_ = c.onSocket(func(fd int) { pending, _ = unix.IoctlGetInt(fd, unix.TIOCOUTQ) })
	return c.written.Load() - int64(pending)
}
