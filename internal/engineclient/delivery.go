package engineclient

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// delivery follows one request onto the connection that it was given. Its fields may be
// read once RoundTrip has returned: net/http waits for its writing goroutine before it
// returns an error.
type delivery struct {
	conn *countedConn
	// kept: the connection has carried a request before, or waited for one.
	kept bool
	// read and written are what had passed over the connection before this request.
	read, written int64
	// encoded: all of the request was given to the connection's buffer.
	encoded atomic.Bool
}

// follow returns ctx with the hooks through which net/http reports to d.
func (d *delivery) follow(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: d.gotConn,
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			d.encoded.Store(info.Err == nil)
		},
	})
}

func (d *delivery) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	d.conn, d.kept = c, info.Reused
	d.read, d.written = c.read.Load(), c.written.Load()
	c.begin(info.Reused)
}

// taken tells whether the request was given a connection.
func (d *delivery) taken() bool { return d.conn != nil }

// unsent tells whether no byte of the request was written.
func (d *delivery) unsent() bool { return d.conn == nil || d.conn.written.Load() == d.written }

// whole tells whether all of the request was written.
func (d *delivery) whole() bool { return d.encoded.Load() && d.conn.writeFailure() == nil }

// answerBegun tells whether a byte came after the request was given the connection.
func (d *delivery) answerBegun() bool { return d.conn != nil && d.conn.read.Load() > d.read }

// failed is the error of an exchange that brought no answer.
func (d *delivery) failed(ctx context.Context, err error) *Error {
	e := &Error{Ran: errkind.RanUnknown, Message: d.words(err)}
	if d.unsent() {
		e.Ran = errkind.RanNo
	}
	if d.taken() {
		e.Cause = exchangeCause(ctx, d, err)
	} else {
		e.Cause = dialCause(ctx, err)
	}
	return e
}

// words are those of err, after those of a failed write that led to it.
func (d *delivery) words(err error) string {
	if d.conn != nil {
		if write := d.conn.writeFailure(); write != nil && write.Error() != err.Error() {
			return write.Error() + "; then " + err.Error()
		}
	}
	return err.Error()
}
