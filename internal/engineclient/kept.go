package engineclient

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// errOutOfStep ends a kept connection on which something came that no request waits for.
var errOutOfStep = errors.New("bytes or an end came on the idle connection")

// checkIdle tells whether a kept connection is still as its last answer left it: open,
// with nothing to read.
//
// What goes wrong without it: the server closes an idle connection, or sends an answer
// twice, and the goroutine that would notice has not run yet, as on a host short of
// processor time. The next request is written to the dead connection and its outcome is
// unknown, or it is answered with bytes meant for another one. One would notice resets
// and answers of other requests that come in the first millisecond after idle times.
// Asking the kernel in the moment of the write leaves only what is still on its way.
func (c *countedConn) checkIdle() error {
	if c.read.Load() != c.idleRead {
		return errOutOfStep
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return err // closed at this end
	case peekErr == nil:
		return errOutOfStep // an end of the stream, or bytes
	case errors.Is(peekErr, unix.ECONNRESET), errors.Is(peekErr, unix.EPIPE), errors.Is(peekErr, unix.ETIMEDOUT):
		return peekErr
	}
	return nil // nothing to read, or the system can't tell
}
