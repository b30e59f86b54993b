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

// Symptom: all requests of a host end at one moment without an answer.
// Sequence: a loop beside the requests, such as that of the heartbeats, panics over what it
// heard from a peer.
// Cause: a panic that nobody recovers ends the process.
func TestLoopThatPanicsIsStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		ts := newTasks(zerolog.New(&out))
		var starts atomic.Int64
		ts.run("heartbeats", func(ctx context.Context) {
			if starts.Add(1) <= 2 {
				panic("a peer's word")
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
			t.Error("the process ends over a loop that can start again")
		default:
		}
		ts.stop()
		if got := strings.Count(out.String(), `"in":"heartbeats"`); got != 2 {
			t.Errorf("%d lines on two panics: %s", got, out.String())
		}
	})
}

// Sequence: a loop panics again and again, and the process is told to stop meanwhile.
func TestStopEndsALoopThatPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTasks(zerolog.Nop())
		ts.run("faulty", func(context.Context) { panic("always") })
		time.Sleep(restartPause / 2)
		ts.stop()
	})
}

// Symptom: a budget is overspent after a host's log told of a panic.
// Sequence: the loop that keeps the tokens panics half-way through a change of them.
// Cause: it goes on with books that are wrong.
func TestPanicOfATrustedLoopEndsTheProcessInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTasks(zerolog.Nop())
		var starts atomic.Int64
		ts.runTrusted("grants", func(context.Context) {
			starts.Add(1)
			panic("half a change")
		})
		<-ts.failed
		if ts.err == nil || !strings.Contains(ts.err.Error(), "grants") {
			t.Errorf("the cause is %v", ts.err)
		}
		time.Sleep(10 * restartPause)
		if got := starts.Load(); got != 1 {
			t.Errorf("started %d times, want once", got)
		}
		ts.stop()
	})
}
