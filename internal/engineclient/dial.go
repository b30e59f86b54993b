package engineclient

import (
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
	// fastKeepAliveIdle, promptInterval and promptCount are for connections with a bound on
	// unacknowledged bytes: TCP counts them in whole seconds.
	fastKeepAliveIdle     = time.Second
	fastKeepAliveInterval = time.Second
	fastKeepAliveCount    = 1
)

// tcpDialer notices a connection that the network has lost by its missing keepalive
// answers, after keepAliveIdle + keepAliveCount*keepAliveInterval, or, with a bound on
// unacknowledged bytes, when that is reached.
func tcpDialer(cfg Config) *net.Dialer {
	d := &net.Dialer{Timeout: cfg.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}}
	if cfg.Unacknowledged > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: fastKeepAliveIdle, Interval: fastKeepAliveInterval, Count: fastKeepAliveCount}
		d.Control = boundUnacknowledged(cfg.Unacknowledged)
	}
	if cfg.Source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(cfg.Source)}
	}
	return d
}

// boundUnacknowledged has TCP give a connection up on which sent bytes, keepalives
// included, stay unacknowledged for longer.
//
// What goes wrong without it: a server is gone without a word, or the network has lost a
// connection, and TCP sends again for minutes. One would notice requests that end at
// their deadline without an answer, all at one server.
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
