package daemon

import (
	"context"
	"net"
	"syscall"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/linkshare"
)

// linkCount counts what crosses the network link of this host.
type linkCount struct {
	traffic linkshare.Traffic
	// methods counts the calls between processes.
	methods callCount
}

// countedConn counts what crosses a connection.
type countedConn struct {
	net.Conn
	count func(in, out int)
}

// countedSyscallConn is a countedConn over a connection of the kernel, whose state can be read.
type countedSyscallConn struct {
	countedConn
	syscall.Conn
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n, 0)
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(0, n)
	return n, err
}

// counter returns a function that counts bytes for a purpose.
func (l *linkCount) counter(p linkshare.Purpose) func(in, out int) {
	return func(in, out int) { l.traffic.Count(p, in, out) }
}

// countDialed makes the connections that dial opens count.
func (l *linkCount) countDialed(dial engineclient.DialFunc, p linkshare.Purpose) engineclient.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		counted := countedConn{conn, l.counter(p)}
		if sys, ok := conn.(syscall.Conn); ok {
			return countedSyscallConn{counted, sys}, nil
		}
		return counted, nil
	}
}
