package daemon

import (
	"context"
	"sync"
	"time"
)

// tasks are the loops of a process. stop ends them and waits.
type tasks struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newTasks() *tasks {
	ctx, cancel := context.WithCancel(context.Background())
	return &tasks{ctx: ctx, cancel: cancel}
}

// run starts a loop that returns soon after its context ends.
func (t *tasks) run(loop func(context.Context)) {
	t.wg.Go(func() { loop(t.ctx) })
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
