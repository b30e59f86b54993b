package httpserver

import (
	"runtime"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

func TestServerThatIsStoppedAtOnceEnds(t *testing.T) {
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
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(patience):
			t.Fatal("the server does not end")
		}
	}
}
