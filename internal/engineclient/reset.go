package engineclient

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state TCP_CLOSE of the kernel: the connection was reset or given up. After a regular close by the other
// end alone the state is another one.
const tcpClosed = 7

// resetConn is a TCP connection whose Read tells a reset from a regular close.
//
// The kernel reports the error that ended a connection to one call only. If that is a Write, a Read that has taken the last
// bytes returns io.EOF, as after a regular close, and a part of an answer that ends with its connection would count as whole.
type resetConn struct {
	*net.TCPConn
	// writeMu is held during a Write.
	writeMu sync.Mutex
	// ended is the error of the connection that a Write returned; nil: none.
	ended error
}

// withResets wraps dial so that it returns resetConns.
func withResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			return &resetConn{TCPConn: tcp}, nil
		}
		return c, nil
	}
}

// Write writes b.
func (c *resetConn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.TCPConn.Write(b)
	if err != nil && c.ended == nil && endsConnection(err) {
		c.ended = err
	}
	return n, err
}

// endsConnection reports whether err is an error of the connection other than EPIPE, which a Write returns after the other
// end has closed the connection, and after an earlier call has returned the error.
func endsConnection(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read reads into b.
func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err == io.EOF && c.closed() {
		if ended := c.writeError(); ended != nil {
			return n, ended
		}
	}
	return n, err
}

// closed reports whether the connection is closed in both directions.
func (c *resetConn) closed() bool {
	info, err := tcpInfo(c.TCPConn)
	return err == nil && info.State == tcpClosed
}

// writeError returns the error of the connection that a Write returned; nil: none. A Write in progress on a closed connection
// fails at once, so that the wait for it is short.
func (c *resetConn) writeError() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.ended
}

// tcpInfo returns the kernel's state of a connection.
func tcpInfo(c syscall.Conn) (info *unix.TCPInfo, err error) {
	err = control(c, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return info, err
}

// control calls f with a connection's descriptor.
func control(c syscall.Conn, f func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = f(int(fd)) }); err != nil {
		return err
	}
	return callErr
}
