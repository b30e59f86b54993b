package daemon

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// A panic that is not recovered ends the process: if a background loop, such as the one of the
// heartbeats, panicked over a peer's message, all requests of the host would end at once without
// an answer.
func TestPanickingLoopIsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		ts := newTasks(zerolog.New(&out))
		var starts atomic.Int64
		ts.run("heartbeats", func(ctx context.Context) {
			if starts.Add(1) <= 2 {
				panic("a peer's message")
			}
			<-ctx.Done()
		})
		time.Sleep(10 * restartPause)
		synctest.Wait()
		if got := starts.Load(); got != 3 {
			t.Errorf("started %d times, want 3", got)
		}
		select {
		case <-ts.failed:
			t.Error("the process shuts down though the loop can be restarted")
		default:
		}
		ts.stop()
		if got := strings.Count(out.String(), `"in":"heartbeats"`); got != 2 {
			t.Errorf("%d log lines for two panics, want 2: %s", got, out.String())
		}
	})
}

// A process must stop at once even while it waits to restart a loop that keeps panicking.
func TestStopEndsPanickingLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTasks(zerolog.Nop())
		ts.run("faulty", func(context.Context) { panic("always") })
		time.Sleep(restartPause / 2)
		ts.stop()
	})
}

// If the loop that manages tokens panicked in the middle of a change and were restarted, it would
// continue with wrong counts, and a budget could be overspent.
func TestPanicOfLoopWithoutRestartShutsProcessDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTasks(zerolog.Nop())
		var starts atomic.Int64
		ts.runUntilPanic("grants", func(context.Context) {
			starts.Add(1)
			panic("half a change")
		})
		<-ts.failed
		if ts.err == nil || !strings.Contains(ts.err.Error(), "grants") {
			t.Errorf("got error %v, want one that names the loop grants", ts.err)
		}
		time.Sleep(10 * restartPause)
		if got := starts.Load(); got != 1 {
			t.Errorf("started %d times, want once", got)
		}
		ts.stop()
	})
}
