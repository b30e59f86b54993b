package engineclient

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// userTimeout returns a connection's TCP_USER_TIMEOUT, in milliseconds.
func userTimeout(t *testing.T, c *net.TCPConn) (ms int) {
	t.Helper()
	conn, err := c.SyscallConn()
	testutil.NoError(t, err)
	var getErr error
	testutil.NoError(t, conn.Control(func(fd uintptr) {
		ms, getErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	testutil.NoError(t, getErr)
	return ms
}

// Guards against an estimate of the link's delay that takes a server that doesn't answer for a slow
// link.
func TestOnlyOpenedConnectionsAreTimed(t *testing.T) {
	var timed []time.Duration
	fail := errors.New("refused")
	dial := withTiming(func(_ context.Context, _, address string) (net.Conn, error) {
		if address == "down" {
			return nil, fail
		}
		return nil, nil
	}, func(took time.Duration) { timed = append(timed, took) })
	if _, err := dial(t.Context(), "tcp", "down"); !errors.Is(err, fail) || len(timed) != 0 {
		t.Errorf("a failed connection: %v, timed %v", err, timed)
	}
	if _, err := dial(t.Context(), "tcp", "up"); err != nil || len(timed) != 1 {
		t.Errorf("an opened connection: %v, timed %v", err, timed)
	}
}
