package panics

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
)

// Symptom: all requests of a host end at one moment, and its log doesn't say why.
// Sequence: a goroutine that does some work beside the requests panics.
// Cause: nobody recovers the panic, so the process ends.
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
		t.Errorf("%d panics counted", got)
	}
	for _, want := range []string{`"event":"panic-recovered"`, `"in":"sending news"`, "index out of range", "panics.faulty"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in %s", want, out.String())
		}
	}
}

func faulty() {
	var none []int
	_ = none[len(none)]
}

func TestNothingIsSaidWithoutAPanic(t *testing.T) {
	var out bytes.Buffer
	func() {
		defer Log(zerolog.New(&out), "quiet")
	}()
	if out.Len() > 0 {
		t.Errorf("logged %s", out.String())
	}
}
