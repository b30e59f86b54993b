package admincli

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// progressPeriod is the interval between messages while a command waits.
const progressPeriod = 2 * time.Second

// progress prints to the error stream what a command waits for. It is safe for concurrent
// use.
type progress struct {
	mu  sync.Mutex
	out io.Writer
}

func (p *progress) printf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, format+"\n", args...)
}

// wait prints every progressPeriod that the command still waits for what, until stop is
// called.
func (p *progress) wait(what string) (stop func()) {
	done := make(chan struct{})
	began := time.Now()
	go func() {
		t := time.NewTicker(progressPeriod)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				p.printf("waiting for %s, %s so far", what, time.Since(began).Round(time.Second))
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}
