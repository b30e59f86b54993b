package panics

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
)

// If a panic in a background goroutine were not recovered, the process would end with all its
// requests, and its log would not show the reason.
func TestPanicEndsItsGoroutineOnly(t *testing.T) {
	var out bytes.Buffer
	log := zerolog.New(&out)
	before := recovered.Value()
	var work sync.WaitGroup
	work.Go(func() {
		defer Log(log, "sending news")
		faulty()
	})
	work.Wait()
	if got := recovered.Value() - before; got != 1 {
		t.Errorf("%d panics counted, want 1", got)
	}
	for _, want := range []string{`"event":"panic-recovered"`, `"in":"sending news"`, "index out of range", "panics.faulty"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log does not contain %q: %s", want, out.String())
		}
	}
}

func faulty() {
	var none []int
	_ = none[len(none)]
}

func TestNothingIsLoggedWithoutPanic(t *testing.T) {
	var out bytes.Buffer
	func() {
		defer Log(zerolog.New(&out), "quiet")
	}()
	if out.Len() > 0 {
		t.Errorf("logged without a panic: %s", out.String())
	}
}
