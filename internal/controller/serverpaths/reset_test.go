package serverpaths

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// startResettingServer starts a server that greets each connection, reads nothing, and resets it while the other end writes.
func startResettingServer(t *testing.T) string {
	t.Helper()
	l := testutil.Listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = c.Write([]byte("hello"))
				time.Sleep(50 * time.Millisecond) // until the other end waits for room to write
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a tunnel whose peer takes the reset of a server's connection for its regular close, since the reset was
// reported to the goroutine that wrote the request.
func TestResetDuringAnUploadCrossesTheTunnel(t *testing.T) {
	const rounds, upload = 30, 8 << 20
	for name, f := range map[string]fault{"direct": works, "tunnel": refuses} {
		t.Run(name, func(t *testing.T) {
			hosts := startHosts(t, 2)
			hosts[0].fault.Store(int32(f))
			server, regular := startResettingServer(t), 0
			for range rounds {
				c, err := hosts[0].paths.DialContext(t.Context(), "tcp", server)
				testutil.NoError(t, err)
				written := make(chan struct{})
				go func() {
					defer close(written)
					_, _ = c.Write(make([]byte, upload))
				}()
				got, err := io.ReadAll(c)
				if string(got) != "hello" {
					t.Errorf("read %q", got)
				}
				if err == nil {
					regular++
				} else if !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("read error %v", err)
				}
				_ = c.Close()
				<-written
			}
			if regular > 0 {
				t.Errorf("%d of %d resets look like regular ends", regular, rounds)
			}
		})
	}
}
