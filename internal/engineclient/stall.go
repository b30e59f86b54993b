package engineclient

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stallCheck is the interval between checks whether a server reads.
	stallCheck = 500 * time.Millisecond
	// unwatchedBytes is how much of a request is written without these checks: the kernel takes it.
	unwatchedBytes = 16 << 10
	// unsentInKernel bounds what the kernel takes beyond what it can send, receiveBuffer what it keeps of
	// an answer that is not read, both in bytes. They count as the process's memory too.
	unsentInKernel = 32 << 10
	receiveBuffer  = 64 << 10
)

// errNotReading ends a request of which the server has read nothing for too long.
var errNotReading = errors.New("the server does not read the request")

// stallWatch bounds how long the server may read nothing of a request. The zero value does not.
type stallWatch struct {
	raw     syscall.RawConn
	limit   time.Duration
	observe func(address string, unsent int64, quiet time.Duration)
}

// newStallWatch also bounds what the kernel holds of the connection. It returns the zero value for connections without a descriptor: the deadline of a
// connection through a peer can't be extended.
func newStallWatch(c net.Conn, limit time.Duration, observe func(string, int64, time.Duration)) stallWatch {
	sc, ok := c.(syscall.Conn)
	if !ok || limit <= 0 {
		return stallWatch{}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return stallWatch{}
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentInKernel)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
	return stallWatch{raw, limit, observe}
}

// pending returns how many written bytes the server's machine has not acknowledged.
func (s stallWatch) pending() (n int64) {
	_ = s.raw.Control(func(fd uintptr) {
		v, _ := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
		n = int64(v)
	})
	return n
}

// write writes b and counts what the kernel accepted. It fails with errNotReading if the server's
// machine acknowledges nothing for the limit before an answer begins. An answer may begin before the
// server has read the request.
func (c *countingConn) write(b []byte) (int, error) {
	if c.stall.raw == nil || c.written.Load()-c.startWritten+int64(len(b)) <= unwatchedBytes {
		n, err := c.Conn.Write(b)
		c.written.Add(int64(n))
		return n, err
	}
	defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
	total, quiet, acknowledged := 0, time.Duration(0), c.written.Load()-c.stall.pending()
	for {
		_ = c.SetWriteDeadline(time.Now().Add(stallCheck))
		n, err := c.Conn.Write(b[total:])
		total += n
		c.written.Add(int64(n))
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return total, err
		}
		quiet += stallCheck // counted by checks: a process that was paused has not watched meanwhile
		if now := c.written.Load() - c.stall.pending(); now > acknowledged || c.read.Load() > c.startRead {
			acknowledged, quiet = now, 0
		}
		if quiet >= c.stall.limit {
			if c.stall.observe != nil {
				c.stall.observe(c.RemoteAddr().String(), int64(len(b)-total), quiet)
			}
			return total, errNotReading
		}
	}
}
