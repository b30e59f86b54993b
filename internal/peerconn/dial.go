package peerconn

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Dial opens a TCP connection, as net.Dialer does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// attemptTimeouts are how long the first attempts to open a connection may take; the last one has
// the rest of the time.
var attemptTimeouts = []time.Duration{250 * time.Millisecond, 250 * time.Millisecond}

// DialWithRetries makes a dialer for gRPC that does not wait for the kernel to repeat a lost packet.
//
// What goes wrong otherwise: the first packet of a connection is lost in a partition, and the
// kernel sends it again after one, three and seven seconds. The partition ends in between, and
// the host finds its way back seconds after everybody else.
func DialWithRetries(dial Dial) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		for _, length := range attemptTimeouts {
			tryCtx, cancel := context.WithTimeout(ctx, length)
			conn, err := dial(tryCtx, "tcp", address)
			timedOut := tryCtx.Err() != nil
			cancel()
			if err == nil || !timedOut {
				return conn, errors.Wrapf(err, "dial %s", address)
			}
		}
		conn, err := dial(ctx, "tcp", address)
		return conn, errors.Wrapf(err, "dial %s", address)
	}
}
