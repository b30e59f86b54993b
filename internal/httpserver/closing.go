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

// Cause says why a connection ended.
type Cause string

// The causes. The caller's own doing are CauseCaller and CauseReset; for CauseSlowSender,
// CauseUnreadable and CauseStalled the server closes for what the caller does.
const (
	// CauseCaller: the caller closed the connection.
	CauseCaller Cause = "caller"
	// CauseUnexplained: the poller was told that the caller's side has ended, and had not read
	// that end. An event of another connection does that, see pollBarrier; so does a caller who
	// closed behind more bytes than were read in one turn.
	CauseUnexplained Cause = "unexplained"
	// CauseReset: the caller's side reset the connection or did not acknowledge any more.
	CauseReset Cause = "reset"
	// CauseIdle: no request began within the idle timeout.
	CauseIdle Cause = "idle"
	// CauseWriteStalled: the caller took nothing of an answer within the idle timeout.
	CauseWriteStalled Cause = "write-stalled"
	// CauseWriteOverflow: more of an answer waits for the caller than MaxQueuedBytes.
	CauseWriteOverflow Cause = "write-overflow"
	// CauseAborted: Abort broke an answer off.
	CauseAborted Cause = "aborted"
	// CauseSlowSender: a request did not arrive whole in time.
	CauseSlowSender Cause = "slow-sender"
	// CauseUnreadable: what the caller sent can't be read as a request.
	CauseUnreadable Cause = "unreadable"
	// CauseNoRoom: there was no room for the request's body, see Config.MaxBodiesBytes.
	CauseNoRoom Cause = "no-room"
	// CauseStopped: the server stopped.
	CauseStopped Cause = "stopped"
	// CauseLibrary: nbhttp closed the connection for a reason of its own.
	CauseLibrary Cause = "library"
)

// ByCaller tells whether the connection ended by the caller's doing.
func (c Cause) ByCaller() bool { return c == CauseCaller || c == CauseReset }

// closeError is what nbio is told when the server itself closes a connection.
type closeError struct {
	cause Cause
	// err is what led to it, if that was an error.
	err error
}

// Error implements error.
func (e *closeError) Error() string {
	if e.err != nil {
		return string(e.cause) + ": " + e.err.Error()
	}
	return string(e.cause)
}

// causeOf reads the cause from the error with which nbio closed a connection. ended: the end of
// the caller's side was read.
func (s *Server) causeOf(err error, ended bool) Cause {
	var own *closeError
	switch {
	case errors.As(err, &own):
		return own.cause
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

// closeWithCause gives the connection up for a reason of the server's own: it shuts the socket down in
// both directions, which the poller sees as an event of this connection, and closes it. See
// trackedConn for why it isn't closed here.
func (c *trackedConn) closeWithCause(cause Cause, err error) {
	own := &closeError{cause, err}
	c.Lock() // as long as it is held, nbio doesn't close the socket
	first := !c.isClosed() && c.closeReason.CompareAndSwap(nil, own)
	if first {
		_ = c.onSocket(func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_RDWR) })
	}
	c.Unlock()
	if first {
		c.reportEnd(own)
		return
	}
	c.reportIfClosed()
}

// reportIfClosed reports the end of the connection if it is closed and nbio has said why.
func (c *trackedConn) reportIfClosed() {
	if closed, err := c.IsClosed(); closed && err != nil {
		c.reportEnd(err)
	}
}

// reportEnd counts the end of the connection, and logs it if a request was open or the
// kernel had not taken the whole answer.
//
// What goes wrong without the line: a caller sees its connection closed with no answer, and
// nothing tells whether it left by itself, or which of the server's own reasons closed it.
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

// NameRequest gives the request that w answers the id under which its own line stands in the
// log: the line of a connection that ends under it then has it, too.
func NameRequest(w http.ResponseWriter, id string) {
	if c := connOf(w); c != nil {
		c.requestID.Store(&id)
	}
}

// closeCounters counts the closeCounters of a server's connections by cause.
type closeCounters struct {
	// all connections, and those among them on which a request was open.
	all, withRequest expvar.Map
	// notAccepted counts connections that could not be accepted.
	notAccepted expvar.Int
	vars        expvar.Map
}

func newCloseCounters() *closeCounters {
	e := &closeCounters{}
	e.vars.Set("closed", &e.all)
	e.vars.Set("closed_with_request", &e.withRequest)
	e.vars.Set("not_accepted", &e.notAccepted)
	return e
}

func (e *closeCounters) add(cause Cause, busy bool) {
	e.all.Add(string(cause), 1)
	if busy {
		e.withRequest.Add(string(cause), 1)
	}
}

// Vars are the server's counters: the ends of its connections by Cause, of all under
// "closed" and of those with a request open under "closed_with_request"; and under
// "not_accepted" the connections that could not be accepted.
func (s *Server) Vars() expvar.Var { return &s.closes.vars }

// CloseCause says why the caller's connection is closed; false while it is open, and for a
// ResponseWriter that is not nbhttp's.
func CloseCause(w http.ResponseWriter) (Cause, bool) {
	c := connOf(w)
	if c == nil {
		return "", false
	}
	if own := c.closeReason.Load(); own != nil {
		return own.cause, true
	}
	closed, err := c.IsClosed()
	if !closed {
		return "", false
	}
	c.reportIfClosed()
	if err == nil && !c.server.draining.Load() {
		return CauseCaller, true // nbio notes the error just after it marks the connection
	}
	return c.server.causeOf(err, c.endRead.Load()), true
}
