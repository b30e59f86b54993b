package peerconn

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"
)

// maxUnanswered bounds the doublings of the number of timed-out calls after which a new connection is tried.
// A peer that answers on no connection is overloaded, and each new one costs it more than a call.
const maxUnanswered = 4

// link is the connection to one address, with the count of timeouts that indicates a silent
// connection. It implements grpc.ClientConnInterface.
type link struct {
	pool    *Pool
	address string

	mu       sync.Mutex
	conn     *grpc.ClientConn
	timeouts int // consecutive calls on conn that timed out
	// unanswered is the number of connections in a row that replaced another one and on which no
	// call was answered.
	unanswered int
	trying     bool
	closed     bool
}

var _ grpc.ClientConnInterface = (*link)(nil)

// Invoke makes a unary call on the current connection and records the result.
func (l *link) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	conn, err := l.connection()
	if err != nil {
		return err
	}
	err = conn.Invoke(ctx, method, args, reply, opts...)
	l.recordResult(conn, err)
	return err
}

// NewStream opens a stream on the current connection. The stream ends with an error when the
// connection is replaced.
func (l *link) NewStream(ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	conn, err := l.connection()
	if err != nil {
		return nil, err
	}
	return conn.NewStream(ctx, desc, method, opts...)
}

func (l *link) connection() (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, status.Error(codes.Canceled, "the connection to the peer is closed")
	}
	if l.conn != nil {
		return l.conn, nil
	}
	conn, err := l.pool.dial(l.address)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	l.conn = conn
	return conn, nil
}

// recordResult counts timed-out calls on the current connection. Any answer of the peer,
// including an error status, shows that the connection is not silent. A canceled call shows
// nothing.
func (l *link) recordResult(conn *grpc.ClientConn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn != l.conn {
		return
	}
	switch status.Code(err) {
	case codes.DeadlineExceeded:
		l.timeouts++
	case codes.Canceled, codes.Unavailable:
		return
	default:
		l.timeouts, l.unanswered = 0, 0
	}
	if l.timeouts < l.pool.cfg.SilentAfter<<min(l.unanswered, maxUnanswered) || l.trying {
		return
	}
	l.trying = true
	l.pool.start(l.tryNewConnection)
}

// tryNewConnection opens a second connection to find out whether the peer or the old
// connection is at fault. The connection is ready when the peer's server has sent its HTTP/2
// settings.
func (l *link) tryNewConnection() {
	fresh, err := l.pool.dial(l.address)
	if err != nil {
		l.endAttempt()
		return
	}
	if !waitReady(fresh, l.pool.cfg.TryTimeout, l.pool.done) {
		_ = fresh.Close()
		l.endAttempt()
		return
	}
	l.replace(fresh)
}

func (l *link) endAttempt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trying = false
	l.timeouts = 0
}

func (l *link) replace(fresh *grpc.ClientConn) {
	l.mu.Lock()
	l.trying = false
	l.timeouts = 0
	l.unanswered++
	old := l.conn
	if l.closed {
		l.mu.Unlock()
		_ = fresh.Close()
		return
	}
	l.conn = fresh
	l.mu.Unlock()
	l.pool.cfg.Log.Warn().Str("peer", l.address).Msg("silent connection replaced")
	if l.pool.cfg.OnReplaced != nil {
		l.pool.cfg.OnReplaced(l.address)
	}
	l.closeLater(old)
}

// closeLater gives slow calls the time to end. Streams on the old connection end with it,
// since on a silent connection they would wait forever.
func (l *link) closeLater(old *grpc.ClientConn) {
	grace := time.NewTimer(l.pool.cfg.Grace)
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-l.pool.done:
	}
	_ = old.Close()
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		_ = l.conn.Close()
	}
}

func waitReady(conn *grpc.ClientConn, timeout time.Duration, done <-chan struct{}) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	conn.Connect()
	for {
		state := conn.GetState()
		if state == connectivity.Ready {
			return true
		}
		if !conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}
