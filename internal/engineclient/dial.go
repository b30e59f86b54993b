package engineclient

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// fastKeepAliveIdle, fastKeepAliveInterval and fastKeepAliveCount are for connections with a
	// bound on unacknowledged bytes. Linux lets that bound decide instead of the count; other
	// systems give up after the count, which comes to the same time. TCP counts keepalive times in
	// whole seconds.
	fastKeepAliveIdle     = time.Second
	fastKeepAliveInterval = time.Second
	fastKeepAliveCount    = 2
)

// tcpDialer returns a dialer with TCP keepalive. A connection that the network has lost is
// detected by its missing keepalive acknowledgments after keepAliveIdle +
// keepAliveCount*keepAliveInterval. With a bound on unacknowledged bytes it is detected when that
// bound is reached, or, while it is idle or an answer is awaited, at the first probe that is due
// after the bound while an earlier one is unacknowledged.
func tcpDialer(cfg Config) *net.Dialer {
	d := &net.Dialer{Timeout: cfg.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}}
	if cfg.Unacknowledged > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{
			Enable: true, Idle: fastKeepAliveIdle, Interval: fastKeepAliveInterval, Count: fastKeepAliveCount}
		d.Control = boundUnacknowledged(cfg.Unacknowledged)
	}
	if cfg.Source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(cfg.Source)}
	}
	return d
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Direct returns the function that opens TCP connections as cfg says; its Dial is ignored. Read of such a connection returns
// io.EOF only after a regular close by the other end.
func Direct(cfg Config) DialFunc {
	dial := withResets(tcpDialer(cfg).DialContext)
	if cfg.Unacknowledged > 0 {
		dial = withWatch(dial)
	}
	return withTiming(dial, cfg.ObserveDial)
}

// withTiming wraps dial so that observe is called with how long each connection took to open.
func withTiming(dial DialFunc, observe func(time.Duration)) DialFunc {
	if observe == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		started := time.Now()
		conn, err := dial(ctx, network, address)
		if err == nil {
			observe(time.Since(started))
		}
		return conn, err
	}
}

// boundUnacknowledged makes TCP close a connection on which sent bytes, including keepalives,
// stay unacknowledged for longer than limit.
//
// Without it, TCP retransmits for minutes after a server's machine has disappeared or the
// network has lost a connection, and requests to that one server end at their deadline without
// an answer.
func boundUnacknowledged(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err == nil {
			err = setErr
		}
		return errors.Wrap(err, "bound unacknowledged bytes")
	}
}
