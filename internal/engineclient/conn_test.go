package engineclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// blockedConn blocks net/http's reading goroutine after the first read, as happens on a host
// short of processor time.
type blockedConn struct {
	*net.TCPConn
	reads atomic.Int64
	held  chan struct{}
}

func (c *blockedConn) Read(b []byte) (int, error) {
	if c.reads.Add(1) > 1 {
		<-c.held
	}
	return c.TCPConn.Read(b)
}

// limitedConn accepts room more bytes once armed, and fails with a reset after them.
type limitedConn struct {
	net.Conn
	armed *atomic.Bool
	room  int
}

func (c *limitedConn) Write(b []byte) (int, error) {
	if !c.armed.Load() || len(b) <= c.room {
		if c.armed.Load() {
			c.room -= len(b)
		}
		return c.Conn.Write(b)
	}
	n, _ := c.Conn.Write(b[:c.room])
	c.room = 0
	return n, syscall.ECONNRESET
}

// wrapFirst dials TCP and wraps the first connection only.
func wrapFirst(wrap func(*net.TCPConn) net.Conn) func(context.Context, string, string) (net.Conn, error) {
	var dialed atomic.Int64
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil || dialed.Add(1) > 1 {
			return c, err
		}
		return wrap(c.(*net.TCPConn)), nil
	}
}

// payment is a request that must not run more than once.
func payment(address string) *Forward {
	return &Forward{Address: address, Method: http.MethodPost, Target: "/pay", Host: "h", Body: []byte("1 token"), Header: http.Header{}}
}

// Guards against a request that is reported as one that may have run although no server
// received it. The server closes an idle connection, or sends a surplus answer on it, and a
// request is given the connection before the goroutine that reads it has noticed. Unless the
// connection is checked first, the request is written to a connection that the kernel already
// knows to have ended.
func TestEndedIdleConnectionIsNotUsed(t *testing.T) {
	for name, after := range map[string]string{"closed": "", "surplus answer": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"} {
		var requests atomic.Int64
		answered, ready := make(chan struct{}), make(chan struct{})
		address := startRawServer(t, func(n int, c net.Conn, r *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				requests.Add(1)
				_, _ = io.WriteString(c, wholeAnswer)
				if n == 1 {
					<-answered
					_, _ = io.WriteString(c, after)
					if after == "" {
						_ = c.Close()
					}
					close(ready)
				}
			}
		})
		held := make(chan struct{})
		c := New(Config{Dial: wrapFirst(func(tcp *net.TCPConn) net.Conn { return &blockedConn{TCPConn: tcp, held: held} })})
		if _, body, err := forward(t, c, payment(address)); err != nil || body != "ok" {
			t.Fatalf("%s: first request: %q %v", name, body, err)
		}
		close(answered)
		<-ready
		_, body, err := forward(t, c, payment(address))
		if err != nil || body != "ok" {
			t.Errorf("%s: second request: %q %v", name, body, err)
		}
		if n := requests.Load(); n != 2 {
			t.Errorf("%s: the server received %d requests, want 2", name, n)
		}
		close(held)
	}
}

// Guards against reporting that a request may have run although the write failed before any byte
// was written, and against the reverse: after a single byte the request may have run, so it must
// not be reported as not run.
func TestWrittenBytesDecideRan(t *testing.T) {
	for name, c := range map[string]struct {
		room   int
		served bool
		cause  Cause
	}{
		"nothing written": {0, true, ""},
		"one byte":        {1, false, CauseHalfSent},
		"half":            {40, false, CauseHalfSent},
	} {
		address := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, wholeAnswer)
			}
		})
		armed := &atomic.Bool{}
		client := New(Config{Dial: wrapFirst(func(tcp *net.TCPConn) net.Conn {
			return &limitedConn{Conn: tcp, armed: armed, room: c.room}
		})})
		if _, body, err := forward(t, client, payment(address)); err != nil || body != "ok" {
			t.Fatalf("%s: first request: %q %v", name, body, err)
		}
		armed.Store(true)
		_, body, err := forward(t, client, payment(address))
		if c.served {
			if err != nil || body != "ok" {
				t.Errorf("%s: %q %v", name, body, err)
			}
			continue
		}
		if err == nil || ranOf(t, err) != errkind.RanUnknown || CauseOf(err) != c.cause {
			t.Errorf("%s: got %v, cause %s", name, err, CauseOf(err))
		}
	}
}

func TestAttemptsOnClosedIdleConnectionsAreBounded(t *testing.T) {
	// If connections end before a byte is written, the number of attempts is bounded and the
	// error still reports that the request did not run.
	address := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, wholeAnswer)
		}
		_, _ = io.Copy(io.Discard, r)
	})
	armed := &atomic.Bool{}
	var dialed atomic.Int64
	client := New(Config{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		if armed.Load() {
			return nil, errors.New("no further connection")
		}
		dialed.Add(1)
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &limitedConn{Conn: c, armed: armed}, err
	}})
	if _, _, err := forward(t, client, payment(address)); err != nil {
		t.Fatal(err)
	}
	armed.Store(true)
	_, _, err := forward(t, client, payment(address))
	if err == nil || ranOf(t, err) != errkind.RanNo || CauseOf(err) != CauseDialFailed {
		t.Errorf("got %v, cause %s", err, CauseOf(err))
	}
}

// Each way in which a server fails to answer has its own cause.
func TestCauses(t *testing.T) {
	refused := testutil.Listen(t)
	_ = refused.Close()
	reset := func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }
	for want, handle := range map[Cause]func(c net.Conn, r *bufio.Reader){
		CauseReset: func(c net.Conn, r *bufio.Reader) {
			if req, err := http.ReadRequest(r); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
			}
			reset(c)
		},
		CauseClosed: func(_ net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
			}
		},
		CauseHeadTruncated: func(c net.Conn, r *bufio.Reader) {
			if req, err := http.ReadRequest(r); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
			}
		},
		CauseGarbled: func(c net.Conn, r *bufio.Reader) {
			if req, err := http.ReadRequest(r); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, "\x00\x01 no answer at all\r\n\r\n")
			}
		},
		CauseSilent: func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) },
	} {
		address := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) { handle(c, r) })
		cfg := Config{}
		if want == CauseSilent {
			cfg.HeaderTimeout = 1 // 1 ns, so that any wait is too long
		}
		_, _, err := forward(t, New(cfg), payment(address))
		if err == nil || CauseOf(err) != want || ranOf(t, err) != errkind.RanUnknown {
			t.Errorf("%s: got %v, cause %s", want, err, CauseOf(err))
		}
	}
	_, _, err := forward(t, New(Config{}), payment(refused.Addr().String()))
	if err == nil || CauseOf(err) != CauseRefused {
		t.Errorf("refused: got %v, cause %s", err, CauseOf(err))
	}
	never := func(ctx context.Context, _, _ string) (net.Conn, error) { return nil, context.DeadlineExceeded }
	_, _, err = forward(t, New(Config{Dial: never}), payment("192.0.2.1:80"))
	if err == nil || CauseOf(err) != CauseDialTimeout {
		t.Errorf("dial timeout: got %v, cause %s", err, CauseOf(err))
	}
	_, _, err = forward(t, New(Config{}), &Forward{Address: "192.0.2.1:80", Method: "GET", Target: "no path", Host: "h"})
	if err == nil || CauseOf(err) != CauseInvalid {
		t.Errorf("invalid: got %v, cause %s", err, CauseOf(err))
	}
}
