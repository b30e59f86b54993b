package httpserver

import (
	"expvar"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/log"
)

// Cause is the reason why a connection ended.
type Cause string

// Causes. CauseCaller and CauseReset are the caller's actions; with CauseSlowSender,
// CauseUnreadable and CauseWriteStalled the server closes the connection because of the
// caller's behavior.
const (
	// CauseCaller: the caller closed the connection.
	CauseCaller Cause = "caller"
	// CauseUnexplained: the poller received an event that the caller's side has ended, but had
	// not read the end. The event of another connection can cause this, see pollBarrier, and
	// so can a caller that closes after more bytes than were read in one turn.
	CauseUnexplained Cause = "unexplained"
	// CauseReset: the caller's side reset the connection or stopped acknowledging data.
	CauseReset Cause = "reset"
	// CauseIdle: no request began within the idle timeout.
	CauseIdle Cause = "idle"
	// CauseWriteStalled: the caller accepted nothing of an answer within the idle timeout, or
	// within StallTimeout where Config.Hold is set.
	CauseWriteStalled Cause = "write-stalled"
	// CauseWriteOverflow: more than MaxQueuedBytes of an answer wait for the caller.
	CauseWriteOverflow Cause = "write-overflow"
	// CauseAborted: Abort ended an answer.
	CauseAborted Cause = "aborted"
	// CauseSlowSender: a request was not received completely in time.
	CauseSlowSender Cause = "slow-sender"
	// CauseUnreadable: the bytes received are not a valid request.
	CauseUnreadable Cause = "unreadable"
	// CauseNoRoom: there was no room for the request's body, see Config.MaxBodiesBytes.
	CauseNoRoom Cause = "no-room"
	// CauseStopped: the server stopped.
	CauseStopped Cause = "stopped"
	// CauseLibrary: nbhttp closed the connection for its own reasons.
	CauseLibrary Cause = "library"
)

// ByCaller reports whether the caller ended the connection.
func (c Cause) ByCaller() bool { return c == CauseCaller || c == CauseReset }

// closeError is the error passed to nbio when the server itself closes a connection.
type closeError struct {
	cause Cause
	// err is the underlying error; may be nil.
	err error
}

// Error implements error.
func (e *closeError) Error() string {
	if e.err != nil {
		return string(e.cause) + ": " + e.err.Error()
	}
	return string(e.cause)
}

// causeOf determines the cause from the error with which nbio closed a connection. ended
// reports whether the end of the caller's side was read.
func (s *Server) causeOf(err error, ended bool) Cause {
	var reason *closeError
	switch {
	case errors.As(err, &reason):
		return reason.cause
	case err == nil && s.draining.Load():
		return CauseStopped
	case errors.Is(err, io.EOF) && ended:
		return CauseCaller
	case errors.Is(err, io.EOF):
		return CauseUnexplained
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ETIMEDOUT):
		return CauseReset
	}
	return CauseLibrary
}

// closeWithCause closes the connection for a reason of the server. It shuts the socket down in
// both directions; the poller gets this as an event of the connection and closes it. See
// trackedConn for why it isn't closed here.
func (c *trackedConn) closeWithCause(cause Cause, err error) {
	reason := &closeError{cause, err}
	c.Lock() // while it is held, nbio doesn't close the socket
	first := !c.isClosed() && c.closeReason.CompareAndSwap(nil, reason)
	if first {
		_ = c.onSocket(func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_RDWR) })
	}
	c.Unlock()
	if first {
		c.release()
		c.reportEnd(reason)
		return
	}
	c.reportIfClosed()
}

// reportIfClosed reports the end of the connection if it is closed and nbio has recorded the
// error.
func (c *trackedConn) reportIfClosed() {
	if closed, err := c.IsClosed(); closed && err != nil {
		c.reportEnd(err)
	}
}

// reportEnd counts the end of the connection, and logs it if a request was open or the kernel
// had not accepted the whole answer. Without the log line, a connection that was closed
// without an answer could not be traced to the caller or to one of the server's own reasons.
func (c *trackedConn) reportEnd(err error) {
	c.ended.Do(func() {
		cause, open := c.server.causeOf(err, c.endRead.Load()), !c.isDrained()
		c.server.closes.add(cause, open)
		if open {
			c.logEnd(cause, err)
		}
	})
}

func (c *trackedConn) logEnd(cause Cause, err error) {
	level := zerolog.WarnLevel
	if cause.ByCaller() {
		level = zerolog.InfoLevel
	}
	event := log.WithLevel(level).Str("event", "connection-closed").Str("server", c.server.cfg.Name).Str("cause", string(cause))
	if id := c.requestID.Load(); id != nil {
		event = event.Str("request", *id)
	}
	event.
		Int64("open", c.openRequests.Load()).Int64("sent", c.written.Load()-c.writtenBefore.Load()).Int64("unsent", max(c.unsent.Load(), 0)).
		Int64("requests", c.requests.Load()).Dur("age", time.Since(c.opened)).Stringer("remote", c.RemoteAddr()).
		AnErr("error", err).Send()
}

// NameRequest sets the ID under which the request that w answers is logged, so that a log line
// about the connection's end during the request carries the same ID.
func NameRequest(w http.ResponseWriter, id string) {
	if c := connOf(w); c != nil {
		c.requestID.Store(&id)
	}
}

// closeCounters counts the ends of a server's connections by cause.
type closeCounters struct {
	// all counts all connections, withRequest those on which a request was open.
	all, withRequest expvar.Map
	// notAccepted counts connections that could not be accepted.
	notAccepted expvar.Int
	vars        expvar.Map
}

func newCloseCounters() *closeCounters {
	c := &closeCounters{}
	c.vars.Set("closed", &c.all)
	c.vars.Set("closed_with_request", &c.withRequest)
	c.vars.Set("not_accepted", &c.notAccepted)
	return c
}

func (c *closeCounters) add(cause Cause, withRequest bool) {
	c.all.Add(string(cause), 1)
	if withRequest {
		c.withRequest.Add(string(cause), 1)
	}
}

// Vars returns the server's counters: the ends of its connections by Cause, of all under
// "closed" and of those with an open request under "closed_with_request", and the connections
// that could not be accepted under "not_accepted".
func (s *Server) Vars() expvar.Var { return &s.closes.vars }

// CloseCause returns why the caller's connection is closed; false while it is open, and for a
// ResponseWriter that is not nbhttp's.
func CloseCause(w http.ResponseWriter) (Cause, bool) {
	c := connOf(w)
	if c == nil {
		return "", false
	}
	if reason := c.closeReason.Load(); reason != nil {
		return reason.cause, true
	}
	closed, err := c.IsClosed()
	if !closed {
		return "", false
	}
	c.reportIfClosed()
	if err == nil && !c.server.draining.Load() {
		return CauseCaller, true // nbio sets the error just after it marks the connection as closed
	}
	return c.server.causeOf(err, c.endRead.Load()), true
}
