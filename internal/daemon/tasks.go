package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/panics"
)

// restartPause is the pause before a loop that panicked is restarted, so that a persistent
// fault neither fills the log nor uses up the processor.
const restartPause = time.Second

// tasks are the background loops of a process. stop ends them and waits for them.
//
// A loop that panics is restarted. All loops are level-triggered: each pass compares the current
// state with its target and reconciles the two. They keep their state under locks that are
// released by defer, so a restarted loop continues where the old one ended. If the process ended
// instead, all hosts could end at the same moment with all requests that they serve: what makes a
// loop panic is often an update that reaches all hosts.
//
// A loop whose state can't be trusted after a panic runs under runUntilPanic instead.
type tasks struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	log    zerolog.Logger

	failure sync.Once
	// failed is closed once the process has to shut down; err is then set.
	failed chan struct{}
	err    error
}

func newTasks(log zerolog.Logger) *tasks {
	ctx, cancel := context.WithCancel(context.Background())
	return &tasks{ctx: ctx, cancel: cancel, log: log, failed: make(chan struct{})}
}

// run starts a loop, and restarts it after a panic. The loop must return soon after its
// context ends.
func (t *tasks) run(name string, loop func(context.Context)) {
	t.wg.Go(func() {
		for !t.try(name, loop) {
			wait(t.ctx, restartPause)
			if t.ctx.Err() != nil {
				return
			}
		}
	})
}

// runUntilPanic starts a loop that is not restarted after a panic: the process then shuts down
// gracefully. It accepts no further requests, finishes those that it has, and is restarted
// with a consistent state.
func (t *tasks) runUntilPanic(name string, loop func(context.Context)) {
	t.wg.Go(func() {
		if !t.try(name, loop) {
			t.fail(errors.Errorf("%s panicked", name))
		}
	})
}

// try runs a loop until it returns; ended is false if it panicked.
func (t *tasks) try(name string, loop func(context.Context)) (ended bool) {
	defer panics.Log(t.log, name)
	loop(t.ctx)
	return true
}

// fail makes the process shut down gracefully; only the first error is kept.
func (t *tasks) fail(err error) {
	t.failure.Do(func() {
		t.err = err
		close(t.failed)
	})
}

// every calls f at each tick of interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

func (t *tasks) stop() {
	t.cancel()
	t.wg.Wait()
}
