// Package peertunnel carries a connection to a backend server over a gRPC stream between two hosts:
// Open is the side of the host that wants the connection, Serve that of the peer that opens it.
//
// Only bytes cross the stream. How the connection ended crosses it as well, since an answer may end
// with its connection: a regular close by the server is io.EOF, a reset is syscall.ECONNRESET, a
// server's machine that acknowledges nothing is syscall.ETIMEDOUT, and the loss of the peer is a
// *PeerError.
package peertunnel

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// pieceBytes bounds the data of one message, in bytes.
const pieceBytes = 16 << 10

// PeerError is the error of a connection whose peer host failed; it says nothing about the server.
type PeerError struct {
	// Peer is the peer's address.
	Peer string
	err  error
}

// Error implements error.
func (e *PeerError) Error() string { return fmt.Sprintf("tunnel through %s: %v", e.Peer, e.err) }

// Unwrap returns the underlying error.
func (e *PeerError) Unwrap() error { return e.err }

// RefusalError is the error of a tunnel that the peer did not open.
type RefusalError struct {
	Peer    string
	Refusal pb.TunnelRefusal
	Detail  string
}

// Error implements error.
func (e *RefusalError) Error() string { return "tunnel through " + e.Peer + ": " + e.Detail }

// Unwrap returns the error that a direct connection would have had, where there is one.
func (e *RefusalError) Unwrap() error {
	switch e.Refusal {
	case pb.TunnelRefusal_TUNNEL_REFUSAL_REFUSED:
		return syscall.ECONNREFUSED
	case pb.TunnelRefusal_TUNNEL_REFUSAL_UNREACHABLE:
		return os.ErrDeadlineExceeded
	}
	return nil
}

// Conn is a connection to a server through a peer. Like a net.TCPConn it may be read and written by
// one goroutine each.
type Conn struct {
	peer, address string
	stream        pb.Peer_TunnelClient
	cancel        context.CancelFunc
	unread        []byte

	mu       sync.Mutex
	closed   bool
	deadline *time.Timer
}

var _ net.Conn = (*Conn)(nil)

// Open connects to the server at address through the peer that client calls. The connection outlives
// ctx, which bounds its opening only.
func Open(ctx context.Context, client pb.PeerClient, peer, address string) (*Conn, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	c := &Conn{peer: peer, address: address, cancel: cancel}
	if err := c.open(ctx, streamCtx, client); err != nil {
		cancel()
		return nil, err
	}
	if !detach() {
		return nil, ctx.Err()
	}
	return c, nil
}

func (c *Conn) open(ctx, streamCtx context.Context, client pb.PeerClient) (err error) {
	if c.stream, err = client.Tunnel(streamCtx); err != nil {
		return c.peerError(err)
	}
	open := &pb.TunnelOpen{Address: c.address}
	if deadline, ok := ctx.Deadline(); ok {
		open.TimeoutMs = time.Until(deadline).Milliseconds()
	}
	if err := c.stream.Send(&pb.TunnelUp{Open: open}); err != nil {
		return c.peerError(err)
	}
	first, err := c.stream.Recv()
	if err != nil {
		return c.peerError(err)
	}
	opened := first.GetOpened()
	if opened == nil {
		return c.peerError(errors.New("the first message is not its answer"))
	}
	if opened.GetRefusal() != pb.TunnelRefusal_TUNNEL_REFUSAL_NONE {
		return &RefusalError{Peer: c.peer, Refusal: opened.GetRefusal(), Detail: opened.GetDetail()}
	}
	c.unread = first.GetData()
	return nil
}

func (c *Conn) peerError(err error) error { return &PeerError{Peer: c.peer, err: err} }

// Peer returns the address of the peer that opened the connection.
func (c *Conn) Peer() string { return c.peer }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	for len(c.unread) == 0 {
		m, err := c.stream.Recv()
		if err != nil {
			return 0, c.readError(err)
		}
		c.unread = m.GetData()
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// readError converts the end of the stream to the error of a TCP connection that ends the same way.
func (c *Conn) readError(err error) error {
	switch {
	case c.isClosed():
		return net.ErrClosed
	case err == io.EOF:
		return io.EOF
	case status.Code(err) == codes.Aborted:
		return c.readOpError(syscall.ECONNRESET)
	case status.Code(err) == codes.DeadlineExceeded: // of the server's connection, as the stream has no deadline
		return c.readOpError(syscall.ETIMEDOUT)
	}
	return c.peerError(err)
}

func (c *Conn) readOpError(err error) error {
	return &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Addr: c.RemoteAddr(), Err: err}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		piece := b[written:min(written+pieceBytes, len(b))]
		if err := c.stream.Send(&pb.TunnelUp{Data: piece}); err != nil {
			return written, c.writeError(err)
		}
		written += len(piece)
	}
	return written, nil
}

// writeError returns the error of a failed Send. io.EOF means that the stream has ended; Read returns
// how.
func (c *Conn) writeError(err error) error {
	switch {
	case c.isClosed():
		return net.ErrClosed
	case err == io.EOF:
		return &net.OpError{Op: "write", Net: c.LocalAddr().Network(), Addr: c.RemoteAddr(), Err: syscall.EPIPE}
	}
	return c.peerError(err)
}

func (c *Conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Close implements net.Conn. The peer closes its connection to the server.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.deadline != nil {
		c.deadline.Stop()
	}
	c.cancel()
	return nil
}

// addr is the address of one end of a tunnel.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tunnel" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

// LocalAddr returns the address of the peer, from which the server sees the connection come.
func (c *Conn) LocalAddr() net.Addr { return addr(c.peer) }

// RemoteAddr returns the server's address.
func (c *Conn) RemoteAddr() net.Addr { return addr(c.address) }

// SetDeadline closes the connection at t. Unlike that of other connections, the deadline can't be
// extended once it has passed.
func (c *Conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline != nil {
		c.deadline.Stop()
	}
	if c.closed || t.IsZero() {
		return nil
	}
	c.deadline = time.AfterFunc(time.Until(t), c.cancel)
	return nil
}

// SetReadDeadline is SetDeadline.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.SetDeadline(t) }

// SetWriteDeadline is SetDeadline.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.SetDeadline(t) }
