package engineclient

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// countedConn counts what passes over a connection to a backend server.
//
// What goes wrong without it: net/http doesn't tell whether any byte of a request that
// failed on a kept connection was written. One that surely did not reach the server
// would have to be answered as one that may have run, and its caller would neither be
// served by another server nor be told that it may send it again.
type countedConn struct {
	net.Conn
	read, written atomic.Int64
	// readEnded and writeEnded: a Read or a Write has failed, for good.
	readEnded, writeEnded atomic.Bool
	// idle: the next Write is the first of a request on a kept connection, on which
	// idleRead bytes were read before.
	idle     atomic.Bool
	idleRead int64
}

// Read counts the bytes read.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	if err != nil {
		c.readEnded.Store(true)
	}
	return n, err
}

// Write counts the bytes that the kernel took. It writes nothing of a request to a kept
// connection that is not sound any more.
func (c *countedConn) Write(b []byte) (int, error) {
	if c.idle.Swap(false) {
		if err := c.checkIdle(); err != nil {
			c.writeEnded.Store(true)
			return 0, err
		}
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	if err != nil {
		c.writeEnded.Store(true)
	}
	return n, err
}

// counted makes dial return connections that count.
func counted(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c}, nil
	}
}

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
	if info.Reused {
		c.idleRead = d.read
		c.idle.Store(true)
	}
}

// taken tells whether the request was given a connection.
func (d *delivery) taken() bool { return d.conn != nil }

// unsent tells whether no byte of the request was written.
func (d *delivery) unsent() bool { return d.conn == nil || d.conn.written.Load() == d.written }

// whole tells whether all of the request was written.
func (d *delivery) whole() bool { return d.encoded.Load() && !d.conn.writeEnded.Load() }

// answerBegun tells whether a byte came after the request was given the connection.
func (d *delivery) answerBegun() bool { return d.conn != nil && d.conn.read.Load() > d.read }

// failed is the error of an exchange that brought no answer.
func (d *delivery) failed(ctx context.Context, err error) *Error {
	e := &Error{Ran: errkind.RanUnknown, Message: err.Error()}
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
