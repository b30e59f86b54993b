package engineclient

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// unheardTimeout is how long the other end of an idle connection may be quiet. It acknowledges
	// a keepalive probe each fastKeepAliveIdle.
	unheardTimeout = fastKeepAliveIdle + 200*time.Millisecond
	// ackCheckInterval is the interval between checks whether a request is acknowledged. It is above
	// the time after which TCP retransmits a lost packet for the first time.
	ackCheckInterval = 250 * time.Millisecond
	// requestAckTimeout bounds the time for which no byte of a request is acknowledged. It is above
	// the second or so for which a sound server may be silent.
	requestAckTimeout = 1750 * time.Millisecond
)

// errUnheard ends an idle connection whose other end no longer acknowledges anything.
var errUnheard = errors.New("idle connection's other end does not respond")

// watch returns connections that share what they show about their servers.
type watch struct {
	began time.Time

	mu      sync.Mutex
	servers map[string]*watchedServer
}

// watchedServer is what the connections to one address have shown.
type watchedServer struct {
	// suspectBefore is the time, since the watch began, of the newest request that was left
	// unacknowledged for ackCheckInterval.
	suspectBefore atomic.Int64
}

// suspect records a request of the given time that is not acknowledged.
func (s *watchedServer) suspect(sent time.Duration) {
	for {
		old := s.suspectBefore.Load()
		if old >= int64(sent) || s.suspectBefore.CompareAndSwap(old, int64(sent)) {
			return
		}
	}
}

// withWatch wraps dial so that it returns watchedConns.
func withWatch(dial DialFunc) DialFunc {
	w := &watch{began: time.Now(), servers: make(map[string]*watchedServer)}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := c.(*resetConn); ok {
			return w.newConn(tcp, address), nil
		}
		return c, nil
	}
}

func (w *watch) newConn(tcp *resetConn, address string) *watchedConn {
	c := &watchedConn{resetConn: tcp, watch: w, server: w.server(address)}
	c.heard.Store(int64(w.now()))
	c.ackTimer = time.AfterFunc(ackCheckInterval, c.checkAcknowledged)
	c.ackTimer.Stop()
	return c
}

func (w *watch) server(address string) *watchedServer {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[address]
	if s == nil {
		s = &watchedServer{}
		w.servers[address] = s
	}
	return s
}

// now returns the time since the watch began.
func (w *watch) now() time.Duration { return time.Since(w.began) }

// watchedConn is a connection to a server that may become unreachable without a reset. A request
// that is not under way yet needs less patience than an answer that is. The connection takes no
// further request once a keepalive probe, or a later request to the same server, is left
// unacknowledged, and gives up a request that stays unacknowledged for requestAckTimeout. TCP itself
// aborts the connection only after several unacknowledged probes, when a server that was silent for
// a moment has gone on.
//
// Requests and answers alternate on a connection, as in HTTP/1.1 without pipelining.
type watchedConn struct {
	*resetConn
	watch  *watch
	server *watchedServer
	// heard is when something was last read, since the watch began.
	heard atomic.Int64
	// waiting is set from the first Write of a request until the first Read of its answer.
	waiting atomic.Bool
	// ackTimer runs while waiting is set and the request is not acknowledged.
	ackTimer *time.Timer

	mu sync.Mutex
	// writing is set during a Write. written and acknowledged count the request's bytes.
	writing               bool
	written, acknowledged int
	// quietSince is when acknowledged last grew, or the request began.
	quietSince time.Duration
}

// Write writes b. At the beginning of a request it writes nothing if the other end has become quiet.
func (c *watchedConn) Write(b []byte) (int, error) {
	begins := !c.waiting.Load()
	if begins && c.unheard() {
		return 0, errUnheard
	}
	c.beginWrite(begins)
	n, err := c.resetConn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.written += n
	return n, err
}

func (c *watchedConn) beginWrite(begins bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = true
	if !begins {
		return
	}
	c.written, c.acknowledged, c.quietSince = 0, 0, c.watch.now()
	c.waiting.Store(true)
	c.ackTimer.Reset(ackCheckInterval)
}

// Read reads into b.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.resetConn.Read(b)
	if n > 0 {
		c.heard.Store(int64(c.watch.now()))
		if c.waiting.Swap(false) {
			c.ackTimer.Stop()
		}
	}
	return n, err
}

// Close closes the connection.
func (c *watchedConn) Close() error {
	c.ackTimer.Stop()
	return c.resetConn.Close()
}

// unheard reports whether the other end of an idle connection no longer responds.
func (c *watchedConn) unheard() bool {
	if c.heard.Load() < c.server.suspectBefore.Load() {
		return true
	}
	info, err := tcpInfo(c)
	return err == nil && quietFor(info) >= unheardTimeout
}

// checkAcknowledged checks how much of the request is acknowledged, and ends the connection if
// nothing was for too long.
func (c *watchedConn) checkAcknowledged() {
	if !c.waiting.Load() {
		return
	}
	unacknowledged, err := c.unacknowledged()
	if err != nil || unacknowledged == 0 {
		return // closed, or now the keepalive probes tell
	}
	quiet, since := c.updateQuiet(unacknowledged)
	if quiet >= ackCheckInterval {
		c.server.suspect(since)
	}
	if quiet >= requestAckTimeout {
		_ = c.SetReadDeadline(time.Now()) // unlike Close, this ends the request as timed out
		return
	}
	c.ackTimer.Reset(ackCheckInterval)
}

// updateQuiet returns since when no byte of the request was acknowledged, and how long ago that is.
func (c *watchedConn) updateQuiet(unacknowledged int) (quiet, since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.watch.now()
	if acknowledged := c.written - unacknowledged; c.writing || c.windowClosed() || acknowledged > c.acknowledged {
		c.acknowledged, c.quietSince = max(acknowledged, c.acknowledged), now
	}
	return now - c.quietSince, c.quietSince
}

// unacknowledged returns how many written bytes are not acknowledged.
func (c *watchedConn) unacknowledged() (n int, err error) {
	err = control(c, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		return err
	})
	return n, err
}

// windowClosed reports whether the rest of the request waits for a server that does not read,
// but acknowledges the probes of its window.
func (c *watchedConn) windowClosed() bool {
	info, err := tcpInfo(c)
	return err == nil && info.Unacked == 0
}

// quietFor returns how long nothing, not even an acknowledgment, has arrived.
func quietFor(info *unix.TCPInfo) time.Duration {
	return time.Duration(min(info.Last_data_recv, info.Last_ack_recv)) * time.Millisecond
}
