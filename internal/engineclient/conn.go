package engineclient

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// answerAfterWrite bounds the wait for an answer after a write has failed. What the
// server sent before it closed is with the kernel already, or a packet behind.
const answerAfterWrite = 500 * time.Millisecond

// errUnexpectedData ends a kept connection on which something came that no request waits for.
var errUnexpectedData = errors.New("bytes or an end came on the idle connection")

// countingConn counts what passes over a connection to a backend server, and lets reading
// alone decide how a request ends of which part was written.
//
// What goes wrong without the counts: net/http doesn't tell whether any byte of a request
// that failed on a kept connection was written. One that surely did not reach the server
// would have to be answered as one that may have run, and its caller would neither be
// served by another server nor be told that it may send it again.
//
// What goes wrong if a failed write ends a request: a server that answers before it has
// read a long body, and closes, is answered with 502, since net/http takes the failure to
// write for the end of the exchange and drops the answer that has come. One would notice
// attempts half_sent at servers that say they refused them.
type countingConn struct {
	net.Conn
	read, written atomic.Int64
	// readEnded: a Read has failed, for good.
	readEnded atomic.Bool
	// writeErr is the first failure of a Write.
	writeErr atomic.Pointer[error]

	// Of the request under way, set before its first Write: how many bytes had passed, and
	// whether the connection was kept idle before it.
	startRead, startWritten int64
	checkBeforeWrite                    bool
}

// begin notes that a request was given the connection.
func (c *countingConn) begin(kept bool) {
	c.startRead, c.startWritten, c.checkBeforeWrite = c.read.Load(), c.written.Load(), kept
}

// Read counts the bytes read.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	if err != nil {
		c.readEnded.Store(true)
	}
	return n, err
}

// Write counts the bytes that the kernel took. It writes nothing of a request to a kept
// connection that is not sound any more. Once a part of a request was written, further
// failures are kept for writeFailure and the rest is dropped.
func (c *countingConn) Write(b []byte) (int, error) {
	if c.checkBeforeWrite {
		c.checkBeforeWrite = false
		if err := c.checkIdle(); err != nil {
			c.failWrite(err)
			return 0, err
		}
	}
	if err := c.writeFailure(); err != nil {
		return c.afterFailure(b, err)
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	if err == nil {
		return n, nil
	}
	c.failWrite(err)
	_ = c.SetReadDeadline(time.Now().Add(answerAfterWrite))
	return c.afterFailure(b, err)
}

// afterFailure is the result of a Write that failed, or came after a failed one.
func (c *countingConn) afterFailure(b []byte, err error) (int, error) {
	if c.written.Load() == c.startWritten {
		return 0, err // nothing was written: there is no answer to wait for
	}
	return len(b), nil
}

func (c *countingConn) failWrite(err error) { c.writeErr.CompareAndSwap(nil, &err) }

// writeFailure is the first failure of a Write; nil: none.
func (c *countingConn) writeFailure() error {
	if err := c.writeErr.Load(); err != nil {
		return *err
	}
	return nil
}

// checkIdle tells whether a kept connection is still as its last answer left it: open,
// with nothing to read.
//
// What goes wrong without it: the server closes an idle connection, or sends an answer
// twice, and the goroutine that would notice has not run yet, as on a host short of
// processor time. The next request is written to the dead connection and its outcome is
// unknown, or it is answered with bytes meant for another one. One would notice resets
// and answers of other requests that come in the first millisecond after idle times.
// Asking the kernel in the moment of the write leaves only what is still on its way.
func (c *countingConn) checkIdle() error {
	if err := c.writeFailure(); err != nil {
		return err // of the request before, whose answer came all the same
	}
	if c.read.Load() != c.startRead {
		return errUnexpectedData
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
		return errUnexpectedData // an end of the stream, or bytes
	case errors.Is(peekErr, unix.ECONNRESET), errors.Is(peekErr, unix.EPIPE), errors.Is(peekErr, unix.ETIMEDOUT):
		return peekErr
	}
	return nil // nothing to read, or the system can't tell
}

// withCounting makes dial return connections that count.
func withCounting(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c}, nil
	}
}
