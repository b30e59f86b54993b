package httpserver

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// fullListener fails the first calls because no descriptor is free.
type fullListener struct {
	net.Listener
	left atomic.Int64
}

// Accept implements net.Listener.
func (l *fullListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

func TestAcceptContinuesAfterDescriptorShortage(t *testing.T) {
	// Guards against a host with no free descriptors that spends its CPU on accepting and
	// answers nobody: connections wait to be accepted, and accept is retried at once.
	const failures = 3
	s := New(Config{Address: "127.0.0.1:0", Handler: text("ran")})
	s.engine.Listen = func(network, address string) (net.Listener, error) {
		l, err := net.Listen(network, address)
		full := &fullListener{Listener: l}
		full.left.Store(failures)
		return full, err
	}
	testutil.NoError(t, s.Start())
	t.Cleanup(s.stop)
	c := dial(t, s)
	if !get(c, bufio.NewReader(c)) {
		t.Fatal("no answer")
	}
	if n := s.closes.notAccepted.Value(); n != failures {
		t.Fatalf("%d failures counted, want %d", n, failures)
	}
}
