package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// faultListener accepts connections that can be made silent. Data written to a silent
// connection is lost, received data is discarded, and the other end does not notice when it is
// closed. This simulates a connection whose state was lost by a device between the two ends.
type faultListener struct {
	net.Listener
	// silentNew makes each new connection silent from the start.
	silentNew atomic.Bool

	mu    sync.Mutex
	conns map[*faultConn]struct{}
}

func newFaultListener(l net.Listener) *faultListener {
	return &faultListener{Listener: l, conns: map[*faultConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	fc := &faultConn{Conn: c, listener: l}
	fc.silent.Store(l.silentNew.Load())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[fc] = struct{}{}
	return fc, nil
}

// silenceOpen makes all open connections silent except keep.
func (l *faultListener) silenceOpen(keep *faultConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c != keep {
			c.silent.Store(true)
		}
	}
}

// closeAll closes all connections, including the silent ones.
func (l *faultListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Conn.Close()
		delete(l.conns, c)
	}
}

type faultConn struct {
	net.Conn
	listener *faultListener
	silent   atomic.Bool
}

// Read implements net.Conn. On a silent connection it discards received data.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A silent connection's socket stays open until closeAll.
func (c *faultConn) Close() error {
	if c.silent.Load() {
		return c.SetReadDeadline(time.Now())
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of r, or nil if r did not come through a faultListener.
func connOf(r *http.Request) *faultConn {
	c, _ := r.Context().Value(connKey{}).(*faultConn)
	return c
}
