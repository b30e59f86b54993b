package engineclient

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// Guards against a server that counts as crashed because its machine is silent, or as sound
// although it is gone.
func TestProbeTellsSilentMachinesFromEndedServers(t *testing.T) {
	answerWith := func(status string) string {
		return startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = c.Write([]byte("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"))
		})
	}
	ended := testutil.Listen(t)
	_ = ended.Close()
	silent := listenSilently(t)
	busy := startRawServer(t, func(_ int, _ net.Conn, _ *bufio.Reader) { <-t.Context().Done() })
	damaged := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent Length: 0\r\n\r\n"))
	})
	resets := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	for name, c := range map[string]struct {
		address string
		want    Liveness
	}{
		"healthy":               {answerWith("200 OK"), Alive},
		"leaving":               {answerWith("503 Service Unavailable"), Alive},
		"busy":                  {busy, Alive},
		"another server":        {answerWith("421 Misdirected Request"), Gone},
		"damaged answer":        {damaged, Alive},
		"resets the connection": {resets, Gone},
		"ended":                 {ended.Addr().String(), Gone},
		"silent":                {silent.Addr().String(), Unheard},
	} {
		// A dial timeout below and above the probe's own.
		for _, dialTimeout := range []time.Duration{100 * time.Millisecond, time.Second} {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			if got := New(Config{DialTimeout: dialTimeout}).Probe(ctx, c.address, "/healthz"); got != c.want {
				t.Errorf("%s, dial timeout %v: %v, want %v", name, dialTimeout, got, c.want)
			}
			cancel()
		}
	}
}

// listenSilently returns a listener that drops each attempt to connect.
func listenSilently(t *testing.T) net.Listener {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false) // its sockets take no filters
	l, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	testutil.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	setSilent(t, l.(*net.TCPListener), true)
	return l
}
