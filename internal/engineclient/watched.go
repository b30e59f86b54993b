package engineclient

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// unheardTimeout is how long the other end of an idle connection may be quiet. It acknowledges
	// a keepalive probe each fastKeepAliveIdle.
	unheardTimeout = fastKeepAliveIdle + 200*time.Millisecond
	// requestAckTimeout bounds the time until a request's bytes are acknowledged. It is above the
	// second or so for which a sound server may be silent.
	requestAckTimeout = 1750 * time.Millisecond
)

// errUnheard ends an idle connection whose other end no longer acknowledges keepalive probes.
var errUnheard = errors.New("idle connection's keepalive probes are not acknowledged")

// watchedConn is a connection to a server that may become unreachable without a reset. A request
// that is not under way yet needs less patience than an answer that is: the connection takes no
// further request as soon as one keepalive probe is unacknowledged, and gives up a request that
// stays unacknowledged for requestAckTimeout. TCP itself aborts the connection only after several
// unacknowledged probes, when a server that was silent for a moment has gone on.
//
// Requests and answers alternate on a connection, as in HTTP/1.1 without pipelining.
type watchedConn struct {
	*net.TCPConn
	// waiting is set from the first Write of a request until the first Read of its answer.
	waiting atomic.Bool
	// ackTimer runs while waiting is set.
	ackTimer *time.Timer
}

// withWatch wraps dial so that it returns watchedConns.
func withWatch(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		w := &watchedConn{TCPConn: tcp}
		w.ackTimer = time.AfterFunc(requestAckTimeout, w.checkAcknowledged)
		w.ackTimer.Stop()
		return w, nil
	}
}

// Write writes b. At the beginning of a request it writes nothing if the other end has become quiet.
func (c *watchedConn) Write(b []byte) (int, error) {
	if !c.waiting.Load() {
		if info, ok := c.info(); ok && quietFor(info) >= unheardTimeout {
			return 0, errUnheard
		}
		c.waiting.Store(true)
		c.ackTimer.Reset(requestAckTimeout)
	}
	return c.TCPConn.Write(b)
}

// Read reads into b.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.waiting.Swap(false) {
		c.ackTimer.Stop()
	}
	return n, err
}

// Close closes the connection.
func (c *watchedConn) Close() error {
	c.ackTimer.Stop()
	return c.TCPConn.Close()
}

// checkAcknowledged ends the connection if the other end has acknowledged nothing since the
// request was written.
func (c *watchedConn) checkAcknowledged() {
	info, ok := c.info()
	if !ok || !c.waiting.Load() || info.Unacked == 0 || quietFor(info) < requestAckTimeout {
		return
	}
	// A deadline rather than Close, so that the request ends as timed out.
	_ = c.SetReadDeadline(time.Now())
}

// info returns the kernel's state of the connection; ok is false if it can't be determined.
func (c *watchedConn) info() (info *unix.TCPInfo, ok bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, false
	}
	var getErr error
	err = raw.Control(func(fd uintptr) {
		info, getErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, err == nil && getErr == nil
}

// quietFor returns how long nothing has arrived on a connection.
func quietFor(info *unix.TCPInfo) time.Duration {
	return time.Duration(min(info.Last_data_recv, info.Last_ack_recv)) * time.Millisecond
}
