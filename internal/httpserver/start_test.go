package httpserver

import (
	"runtime"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

func TestRepeatedStopRightAfterStart(t *testing.T) {
	// Guards against a process that never ends and uses a whole processor, after a failed
	// start or in a test on a busy machine. The server is stopped before its reading
	// goroutines have run; when they begin, they clear the flag that tells them to end.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		s := New(Config{Address: "127.0.0.1:0", Handler: text("ran")})
		testutil.NoError(t, s.Start())
		ended := make(chan struct{})
		go func() {
			s.stop()
			s.stopOnce.Do(func() {}) // stop waits for a limited time only; this waits until everything has ended
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(patience):
			t.Fatal("the server does not stop")
		}
	}
}

func TestAddressInUseIsAnError(t *testing.T) {
	// Guards against a process that logs nothing, serves nothing and never ends because its
	// address is in use: when it can't listen, the library stops what it has started and waits
	// for loops that have not begun.
	taken := testutil.Listen(t)
	for range 20 {
		s := New(Config{Address: taken.Addr().String(), Handler: text("ran")})
		failed := make(chan error, 1)
		go func() { failed <- s.Start() }()
		select {
		case err := <-failed:
			if err == nil {
				t.Fatal("the server listens on an address that is in use")
			}
		case <-time.After(patience):
			t.Fatal("Start does not return")
		}
	}
}
