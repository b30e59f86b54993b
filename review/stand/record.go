package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since its start.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	out, err := os.Create(path)
	return &recorder{out: out, began: time.Now()}, err
}

func (r *recorder) at() time.Duration { return time.Since(r.began) }

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
