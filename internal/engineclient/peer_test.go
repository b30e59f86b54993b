package engineclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/peertunnel"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// throughPeer is a connection that goes through a peer.
type throughPeer struct {
	net.Conn
	mu     *sync.Mutex
	closed *int
	// readErr, if set, is what reads return in place of the server's bytes.
	readErr error
}

func (throughPeer) Peer() string { return "p1:1" }

func (c throughPeer) Read(b []byte) (int, error) {
	if c.readErr != nil {
		n, err := c.Conn.Read(b)
		if n > 0 || err != nil {
			return 0, c.readErr
		}
	}
	return c.Conn.Read(b)
}

func (c throughPeer) Close() error {
	c.mu.Lock()
	*c.closed++
	c.mu.Unlock()
	return c.Conn.Close()
}

// peerClient returns a client whose connections go through a peer, and the number of those closed.
func peerClient(t *testing.T, readErr error) (*Client, func() int) {
	t.Helper()
	var mu sync.Mutex
	closed := 0
	c := New(Config{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return throughPeer{conn, &mu, &closed, readErr}, nil
	}})
	t.Cleanup(c.Close)
	return c, func() int {
		mu.Lock()
		defer mu.Unlock()
		return closed
	}
}

// answering accepts connections and answers all requests on them.
func answering(t *testing.T) (address string, accepted func() int) {
	t.Helper()
	l := testutil.Listen(t)
	t.Cleanup(func() { _ = l.Close() })
	var mu sync.Mutex
	n := 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			n++
			mu.Unlock()
			go answerAll(c, nil, nil)
		}
	}()
	return l.Addr().String(), func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}

// Guards against a request on the connection of an earlier one through a peer, which is about to be
// closed: it would be unknown whether the request has run.
func TestConnectionThroughAPeerServesOneRequest(t *testing.T) {
	client, closed := peerClient(t, nil)
	address, accepted := answering(t)
	const requests = 200
	for range requests {
		f := &Forward{Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("b")}
		res, err := client.Forward(t.Context(), f)
		if err != nil {
			t.Fatal(err)
		}
		if f.Via != "p1:1" {
			t.Fatalf("went through %q", f.Via)
		}
		_, _ = io.Copy(io.Discard, res.Body) // the connection is idle before its body is closed
		testutil.NoError(t, res.Body.Close())
	}
	if n := accepted(); n != requests {
		t.Errorf("%d connections for %d requests", n, requests)
	}
	if n := closed(); n < requests {
		t.Errorf("%d of %d connections were closed", n, requests)
	}
}

// Guards against taking the loss of a peer for the crash of the server, for which the request would be
// blamed.
func TestLostPeerIsNoCrashOfTheServer(t *testing.T) {
	client, _ := peerClient(t, &peertunnel.PeerError{Peer: "p1:1"})
	address, _ := answering(t)
	_, err := client.Forward(t.Context(), &Forward{
		Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("b"),
	})
	e, ok := err.(*Error)
	if !ok || e.Cause != CausePeerLost || e.Ran != errkind.RanUnknown || e.Cause.CrashLike() {
		t.Errorf("got %+v", err)
	}
}
