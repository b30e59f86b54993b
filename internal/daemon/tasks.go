package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/panics"
)

// restartPause is how long a loop that has panicked rests before it starts again: a fault
// that lasts must not fill the log nor use up the processor.
const restartPause = time.Second

// tasks are the loops of a process. stop ends them and waits.
//
// A loop that panics is started again. All of them look at how things are and bring them to
// how they should be, and keep their state under locks that are released by defer, so that
// a new start goes on where the old one ended. What goes wrong when the process ends
// instead: what made the loop panic is often something that all hosts hear of, and all of
// them end at the same moment, with all requests that they serve.
//
// A loop whose state must not be trusted after a panic runs under runTrusted instead.
type tasks struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	log    zerolog.Logger

	failure sync.Once
	// failed is closed once the process has to end; err is then set.
	failed chan struct{}
	err    error
}

func newTasks(log zerolog.Logger) *tasks {
	ctx, cancel := context.WithCancel(context.Background())
	return &tasks{ctx: ctx, cancel: cancel, log: log, failed: make(chan struct{})}
}

// run starts a loop that returns soon after its context ends, and again after a panic.
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

// runTrusted starts a loop whose panic has the process end in order: it takes no further
// requests, finishes those that it has and is started anew, with a state that is sound.
func (t *tasks) runTrusted(name string, loop func(context.Context)) {
	t.wg.Go(func() {
		if !t.try(name, loop) {
			t.fail(errors.Errorf("%s panicked", name))
		}
	})
}

// try runs a loop to its end; false: it panicked.
func (t *tasks) try(name string, loop func(context.Context)) (ended bool) {
	defer panics.Log(t.log, name)
	loop(t.ctx)
	return true
}

// fail has the process end in order; only the first cause counts.
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
