package engineclient

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// exchangeTrace follows one request onto the connection that it was given. Its fields may be
// read once RoundTrip has returned: net/http waits for its writing goroutine before it
// returns an error.
type exchangeTrace struct {
	conn *countingConn
	// reused: the connection has carried a request before, or waited for one.
	reused bool
	// readBefore and writtenBefore are what had passed over the connection before this request.
	readBefore, writtenBefore int64
	// encoded: all of the request was given to the connection's buffer.
	encoded atomic.Bool
}

// withTrace returns ctx with the hooks through which net/http reports to d.
func (d *exchangeTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: d.gotConn,
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			d.encoded.Store(info.Err == nil)
		},
	})
}

func (d *exchangeTrace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	d.conn, d.reused = c, info.Reused
	d.readBefore, d.writtenBefore = c.read.Load(), c.written.Load()
	c.begin(info.Reused)
}

// hasConn tells whether the request was given a connection.
func (d *exchangeTrace) hasConn() bool { return d.conn != nil }

// unsent tells whether no byte of the request was written.
func (d *exchangeTrace) unsent() bool { return d.conn == nil || d.conn.written.Load() == d.writtenBefore }

// fullyWritten tells whether all of the request was written.
func (d *exchangeTrace) fullyWritten() bool { return d.encoded.Load() && d.conn.writeFailure() == nil }

// answerBegun tells whether a byte came after the request was given the connection.
func (d *exchangeTrace) answerBegun() bool { return d.conn != nil && d.conn.read.Load() > d.readBefore }

// failure is the error of an exchange that brought no answer.
func (d *exchangeTrace) failure(ctx context.Context, err error) *Error {
	e := &Error{Ran: errkind.RanUnknown, Message: d.message(err)}
	if d.unsent() {
		e.Ran = errkind.RanNo
	}
	if d.hasConn() {
		e.Cause = exchangeCause(ctx, d, err)
	} else {
		e.Cause = dialCause(ctx, err)
	}
	return e
}

// message are those of err, after those of a failed write that led to it.
func (d *exchangeTrace) message(err error) string {
	if d.conn != nil {
		if write := d.conn.writeFailure(); write != nil && write.Error() != err.Error() {
			return write.Error() + "; then " + err.Error()
		}
	}
	return err.Error()
}
