package httpserver

import (
	"runtime"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

func TestRepeatedStopRightAfterStart(t *testing.T) {
	// Symptom: a process whose start failed, or a test on a busy machine, never ends and uses
	// a whole processor.
	// Sequence: the server is stopped before its reading goroutines had their first turn.
	// Cause: they take off the mark that tells them to end when they begin.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		s := New(Config{Address: "127.0.0.1:0", Handler: text("ran")})
		testutil.NoError(t, s.Start())
		ended := make(chan struct{})
		go func() {
			s.stop()
			s.stopOnce.Do(func() {}) // stop waits for a limited time only, this until all has ended
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(patience):
			t.Fatal("the server does not end")
		}
	}
}

func TestAddressInUseIsAnError(t *testing.T) {
	// Symptom: a process whose address is taken logs nothing, serves nothing and never ends.
	// Sequence: another socket has the address when the server starts.
	// Cause: the library stops what it has begun and waits for loops that have not begun.
	taken := testutil.Listen(t)
	for range 20 {
		s := New(Config{Address: taken.Addr().String(), Handler: text("ran")})
		failed := make(chan error, 1)
		go func() { failed <- s.Start() }()
		select {
		case err := <-failed:
			if err == nil {
				t.Fatal("the server listens on an address that is taken")
			}
		case <-time.After(patience):
			t.Fatal("the start does not end")
		}
	}
}
