package engineclient

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bluebellsail/bluebellsail/internal/engineclient/answerhead"
)

// answerAfterWrite bounds the wait for an answer after a write has failed. What the server
// sent before it closed the connection is in the kernel already, or at most a packet behind.
const answerAfterWrite = 500 * time.Millisecond

// errUnexpectedData ends an idle connection on which bytes or the end of the stream arrived
// although no request was waiting for an answer.
var errUnexpectedData = errors.New("idle connection received unexpected data or was closed by the server")

// errSingleUse ends a connection through a peer that net/http took for a reusable one.
var errSingleUse = errors.New("the connection through a peer is used for one request")

// countingConn counts the bytes read and written on a connection to a backend server. Once
// part of a request was written, it hides write errors, so that only the reading side decides
// how the request ends. It passes no answer on whose head is malformed.
//
// The counts are needed because net/http does not tell whether any byte of a request that
// failed on a reused connection was written. A request that certainly did not reach the server
// would have to be answered as one that may have run: it could not be sent to another server,
// and its caller would not learn that it may be sent again.
//
// Write errors are hidden because a server may answer before it has read a long body, and
// close the connection. net/http takes the failed write for the end of the exchange and drops
// the answer that has arrived, so the caller would get a 502 and the log would show half_sent
// attempts at servers that report rejections.
type countingConn struct {
	net.Conn
	stall         stallWatch
	opened        time.Time
	read, written atomic.Int64
	// readEnded is set once a Read has failed; no further Read succeeds.
	readEnded atomic.Bool
	// writeErr is the first failure of a Write.
	writeErr atomic.Pointer[error]

	// headMu guards head: net/http reads while it gives the connection a request.
	headMu sync.Mutex
	head   answerhead.Checker

	// startRead and startWritten are the byte counts when the request under way was given the
	// connection. checkBeforeWrite is set if the connection was idle before that and is
	// cleared by the first Write.
	startRead, startWritten int64
	checkBeforeWrite        bool
	// reuse and previous are the decisions after the request under way and after the one before it; nil: there is none.
	reuse, previous *reuse
}

// begin records that a request was given the connection, and returns the decision that is due after it. reused reports
// whether the connection was used or idle before.
func (c *countingConn) begin(reused bool) *reuse {
	c.startRead, c.startWritten, c.checkBeforeWrite = c.read.Load(), c.written.Load(), reused
	c.previous, c.reuse = c.reuse, newReuse()
	if reused { // a new connection expects a head already, of which a part may have arrived
		c.headMu.Lock()
		defer c.headMu.Unlock()
		c.head.Expect()
	}
	return c.reuse
}

// Read counts the bytes read. It fails if they show that the answer's head is malformed.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	if err != nil {
		c.readEnded.Store(true)
	}
	if malformed := c.checkHead(b[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// checkHead checks bytes that were read.
func (c *countingConn) checkHead(b []byte) error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.head.Check(b)
}

// Write writes b and counts the bytes that the kernel accepted. It writes nothing of a request
// to a reused connection that is no longer usable. Once part of a request was written, the
// first error is kept for writeFailure and the remaining bytes are dropped.
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
	n, err := c.write(b)
	if err == nil {
		return n, nil
	}
	c.failWrite(err)
	_ = c.SetReadDeadline(time.Now().Add(answerAfterWrite))
	return c.afterFailure(b, err)
}

// afterFailure returns the result of a Write that failed or that follows a failed one.
func (c *countingConn) afterFailure(b []byte, err error) (int, error) {
	if c.written.Load() == c.startWritten {
		return 0, err // nothing was written, so no answer can come
	}
	return len(b), nil
}

func (c *countingConn) failWrite(err error) { c.writeErr.CompareAndSwap(nil, &err) }

// writeFailure returns the first error of a Write; nil: none.
func (c *countingConn) writeFailure() error {
	if err := c.writeErr.Load(); err != nil {
		return *err
	}
	return nil
}

// checkIdle returns an error unless an idle connection is still as its last answer left it:
// open, with nothing to read.
//
// The server may close an idle connection, or send an answer twice, and the goroutine of
// net/http that would notice may not have run yet, for example on a host short of processor
// time. Without the check the next request would be written to the dead connection and its
// outcome would be unknown, or it would be answered with bytes meant for another request. Such
// resets and mismatched answers show within the first millisecond after an idle period. Asking
// the kernel right before the write leaves only what is still in transit.
func (c *countingConn) checkIdle() error {
	if !c.previous.wait() {
		return errOutOfStep
	}
	if err := c.writeFailure(); err != nil {
		return err // of the previous request, whose answer arrived nevertheless
	}
	if c.read.Load() != c.startRead {
		return errUnexpectedData
	}
	if c.peer() != "" {
		return errSingleUse
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
		return err // closed on this side
	case peekErr == nil:
		return errUnexpectedData // the end of the stream, or unexpected bytes
	case errors.Is(peekErr, unix.ECONNRESET), errors.Is(peekErr, unix.EPIPE), errors.Is(peekErr, unix.ETIMEDOUT):
		return peekErr
	}
	return nil // nothing to read, or the state can't be determined
}

// peer returns the peer host through which the connection goes; empty: none.
func (c *countingConn) peer() string {
	if through, ok := c.Conn.(interface{ Peer() string }); ok {
		return through.Peer()
	}
	return ""
}

// withCounting wraps dial so that it returns countingConns.
func withCounting(dial DialFunc, stall time.Duration, observe func(string, int64, time.Duration)) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, opened: time.Now(), stall: newStallWatch(c, stall, observe)}, nil
	}
}
