package engineclient

import (
	"net"
	"testing"

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
