package engineclient

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// exchangeTrace observes one request and the connection that it was given. Its fields may be
// read once RoundTrip has returned: net/http waits for its writing goroutine before it returns
// an error.
type exchangeTrace struct {
	conn *countingConn
	// reused: the connection was used or idle before this request.
	reused bool
	// reuse is the decision whether the connection may be used again.
	reuse *reuse
	// readBefore and writtenBefore are the connection's byte counts before this request.
	readBefore, writtenBefore int64
	// encoded: the whole request was written to the connection's buffer.
	encoded atomic.Bool
}

// withTrace returns ctx with the hooks through which net/http reports to the trace.
func (t *exchangeTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: t.gotConn,
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			t.encoded.Store(info.Err == nil)
		},
	})
}

func (t *exchangeTrace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	t.conn, t.reused = c, info.Reused
	t.readBefore, t.writtenBefore = c.read.Load(), c.written.Load()
	t.reuse = c.begin(info.Reused)
}

// decideReuse decides whether the connection may be used again. Else it is closed.
func (t *exchangeTrace) decideReuse(allowed bool) {
	if t.conn == nil {
		return
	}
	t.reuse.decide(allowed)
	if !allowed {
		_ = t.conn.Close()
	}
}

// hasConn reports whether the request was given a connection.
func (t *exchangeTrace) hasConn() bool { return t.conn != nil }

// opened returns when the connection was opened.
func (t *exchangeTrace) opened() time.Time {
	if t.conn == nil {
		return time.Now()
	}
	return t.conn.opened
}

// via returns the peer through which the connection went; empty: none.
func (t *exchangeTrace) via() string {
	if t.conn == nil {
		return ""
	}
	return t.conn.peer()
}

// unsent reports whether no byte of the request was written.
func (t *exchangeTrace) unsent() bool {
	return t.conn == nil || t.conn.written.Load() == t.writtenBefore
}

// fullyWritten reports whether the whole request was written.
func (t *exchangeTrace) fullyWritten() bool { return t.encoded.Load() && t.conn.writeFailure() == nil }

// answerBegun reports whether a byte was received after the request was given the connection.
func (t *exchangeTrace) answerBegun() bool { return t.conn != nil && t.conn.read.Load() > t.readBefore }

// failure returns the error of an exchange that brought no answer.
func (t *exchangeTrace) failure(ctx context.Context, err error) *Error {
	e := &Error{Ran: errkind.RanUnknown, Message: t.message(err)}
	if t.unsent() {
		e.Ran = errkind.RanNo
	}
	if t.hasConn() {
		e.Cause = exchangeCause(ctx, t, err)
	} else {
		e.Cause = dialCause(ctx, err)
	}
	return e
}

// message returns the text of err, preceded by that of the write error that led to it, if any.
func (t *exchangeTrace) message(err error) string {
	if t.conn != nil {
		if write := t.conn.writeFailure(); write != nil && write.Error() != err.Error() {
			return write.Error() + "; then " + err.Error()
		}
	}
	return err.Error()
}
