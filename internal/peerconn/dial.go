package peerconn

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Dial opens a TCP connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// attemptTimeouts are the timeouts of the first attempts to connect; the last attempt has the
// rest of the time.
var attemptTimeouts = []time.Duration{250 * time.Millisecond, 250 * time.Millisecond}

// DialWithRetries returns a dialer for gRPC that does not wait for the kernel to retransmit a
// lost packet.
//
// If the first packet of a connection is lost in a partition, the kernel retransmits it after
// one, three and seven seconds. When the partition ends in between, the host would reconnect
// seconds after all others.
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
