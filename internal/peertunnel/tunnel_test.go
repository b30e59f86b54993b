package peertunnel

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// testTimeout bounds what takes milliseconds.
const testTimeout = 5 * time.Second

// peer opens tunnels without any check of the address.
type peer struct {
	pb.UnimplementedPeerServer
	refusal pb.TunnelRefusal
}

func (p peer) Tunnel(s pb.Peer_TunnelServer) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	if p.refusal != pb.TunnelRefusal_TUNNEL_REFUSAL_NONE {
		return Refuse(s, p.refusal, "not now")
	}
	conn, err := net.DialTimeout("tcp", first.GetOpen().GetAddress(), testTimeout)
	if err != nil {
		return Refuse(s, RefusalOf(err), err.Error())
	}
	return Serve(s, conn)
}

// startPeer serves p and returns a client of it, and a function that kills it.
func startPeer(t testing.TB, p pb.PeerServer) (pb.PeerClient, func()) {
	t.Helper()
	l := testutil.Listen(t)
	server := grpc.NewServer()
	pb.RegisterPeerServer(server, p)
	go func() { _ = server.Serve(l) }()
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	testutil.NoError(t, err)
	t.Cleanup(func() {
		_ = conn.Close()
		server.Stop()
	})
	return pb.NewPeerClient(conn), server.Stop
}

// server accepts one connection and hands it over.
func server(t *testing.T) (address string, accepted <-chan *net.TCPConn) {
	t.Helper()
	l := testutil.Listen(t)
	conns := make(chan *net.TCPConn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			conns <- c.(*net.TCPConn)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), conns
}

// open opens a tunnel to a new server and returns both ends, and a function that kills the peer.
func open(t *testing.T) (*Conn, *net.TCPConn, func()) {
	t.Helper()
	client, kill := startPeer(t, peer{})
	address, accepted := server(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	c, err := Open(ctx, client, "peer", address)
	testutil.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	far := <-accepted
	t.Cleanup(func() { _ = far.Close() })
	testutil.NoError(t, far.SetDeadline(time.Now().Add(testTimeout)))
	return c, far, kill
}

func TestBytesCrossBothWays(t *testing.T) {
	c, far, _ := open(t)
	const size = 1 << 20
	up, down := bytes.Repeat([]byte("up"), size), bytes.Repeat([]byte("down"), size)
	go func() { _, _ = c.Write(up) }()
	got := make([]byte, len(up))
	if _, err := io.ReadFull(far, got); err != nil || !bytes.Equal(got, up) {
		t.Fatalf("the server got other bytes: %v", err)
	}
	go func() { _, _ = far.Write(down) }()
	got = make([]byte, len(down))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, down) {
		t.Fatalf("the host got other bytes: %v", err)
	}
}

// Guards against a tunnel under which the truncated answer of a server looks like a whole one: how the
// server ended its connection has to cross the tunnel.
func TestEndOfTheServersConnectionCrosses(t *testing.T) {
	for name, end := range map[string]struct {
		linger int
		want   error
	}{"regular close": {-1, io.EOF}, "reset": {0, syscall.ECONNRESET}} {
		t.Run(name, func(t *testing.T) {
			c, far, _ := open(t)
			_, err := far.Write([]byte("part"))
			testutil.NoError(t, err)
			got := make([]byte, 4)
			_, err = io.ReadFull(c, got)
			testutil.NoError(t, err)
			testutil.NoError(t, far.SetLinger(end.linger))
			testutil.NoError(t, far.Close())
			if _, err := c.Read(got); !errors.Is(err, end.want) {
				t.Errorf("the host reads %v, want %v", err, end.want)
			}
		})
	}
}

// silentConn is a connection to a server whose machine acknowledges nothing.
type silentConn struct{ net.Conn }

func (silentConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}
}

// silentPeer opens tunnels to silent servers.
type silentPeer struct{ pb.UnimplementedPeerServer }

func (silentPeer) Tunnel(s pb.Peer_TunnelServer) error {
	if _, err := s.Recv(); err != nil {
		return err
	}
	near, _ := net.Pipe()
	return Serve(s, silentConn{near})
}

// Guards against taking a server that is silent, as seen from the peer, for one that has reset its
// connection, for which the request would be blamed.
func TestSilenceOfTheServerCrosses(t *testing.T) {
	client, _ := startPeer(t, silentPeer{})
	c, err := Open(t.Context(), client, "peer", "10.0.0.1:1")
	testutil.NoError(t, err)
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ETIMEDOUT) {
		t.Errorf("the host reads %v, want a timeout", err)
	}
	testutil.NoError(t, c.Close())
}

// Guards against taking the loss of the peer for the end of the answer or for a failure of the server.
func TestLossOfThePeerIsItsOwnError(t *testing.T) {
	c, far, kill := open(t)
	_, err := far.Write([]byte("part"))
	testutil.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 4))
	testutil.NoError(t, err)
	kill()
	_, err = c.Read(make([]byte, 1))
	var lost *PeerError
	if !errors.As(err, &lost) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the host reads %v, want a *PeerError", err)
	}
}

// Guards against a server that works on for a caller who has left.
func TestClosedTunnelClosesTheServersConnection(t *testing.T) {
	c, far, _ := open(t)
	testutil.NoError(t, c.Close())
	if _, err := far.Read(make([]byte, 1)); err == nil || errors.Is(err, syscall.EAGAIN) {
		t.Errorf("the server reads %v, want the end of the connection", err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the host reads %v after it closed the tunnel", err)
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the host writes %v after it closed the tunnel", err)
	}
}

func TestReadDeadlineEndsTheTunnel(t *testing.T) {
	c, _, _ := open(t)
	testutil.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	if _, err := c.Read(make([]byte, 1)); err == nil || err == io.EOF {
		t.Errorf("the host reads %v", err)
	}
}

// Guards against an opened connection that ends with the context of its opening.
func TestTunnelOutlivesTheContextOfItsOpening(t *testing.T) {
	client, _ := startPeer(t, peer{})
	address, accepted := server(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	c, err := Open(ctx, client, "peer", address)
	testutil.NoError(t, err)
	cancel()
	far := <-accepted
	_, err = far.Write([]byte("x"))
	testutil.NoError(t, err)
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Errorf("the host reads %v", err)
	}
	testutil.NoError(t, far.Close())
	testutil.NoError(t, c.Close())
}

func TestRefusalsHaveTheErrorOfADirectConnection(t *testing.T) {
	l := testutil.Listen(t)
	closed := l.Addr().String()
	testutil.NoError(t, l.Close())
	client, _ := startPeer(t, peer{})
	if _, err := Open(t.Context(), client, "peer", closed); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a refused connection: %v", err)
	}
	for refusal, timeout := range map[pb.TunnelRefusal]bool{
		pb.TunnelRefusal_TUNNEL_REFUSAL_UNREACHABLE: true, pb.TunnelRefusal_TUNNEL_REFUSAL_NO_PATH: false,
	} {
		client, _ := startPeer(t, peer{refusal: refusal})
		_, err := Open(t.Context(), client, "peer", closed)
		var refused *RefusalError
		var slow net.Error
		if !errors.As(err, &refused) || refused.Refusal != refusal || (errors.As(err, &slow) && slow.Timeout()) != timeout {
			t.Errorf("%v: got %v", refusal, err)
		}
	}
}

func TestOpeningEndsWithItsContext(t *testing.T) {
	client, _ := startPeer(t, peer{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Open(ctx, client, "peer", "127.0.0.1:1"); err == nil {
		t.Error("a tunnel opened though its context has ended")
	}
}
