package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// logQueueBytes bounds the lines that wait to be written: several seconds of a host
// under load at a line of 400 bytes per request.
const logQueueBytes = 1 << 20

// logQueue writes lines in the background. Whoever logs never waits for the reader of
// the log: when its bound is reached, lines are dropped and counted, and the count is
// written as a line of its own once there is room.
//
// What goes wrong without it: standard output is a pipe whose reader stalls, and every
// request waits for its log line. One would notice a host that answers nothing while its
// processor is idle.
type logQueue struct {
	out io.Writer

	mu      sync.Mutex
	waiting bytes.Buffer
	dropped int
	closed  bool
	// wake is never closed: whoever logs late must not panic.
	wake chan struct{}
	// closing ends the writer.
	closing chan struct{}
	done    chan struct{}
}

func newLogQueue(out io.Writer) *logQueue {
	q := &logQueue{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Write takes a line. It never waits and never fails.
func (q *logQueue) Write(line []byte) (int, error) {
	q.mu.Lock()
	if q.closed || q.waiting.Len()+len(line) > logQueueBytes {
		q.dropped++
	} else {
		q.waiting.Write(line)
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default: // the writer will look anyway
	}
	return len(line), nil
}

// Close writes what waits, and returns when it is written. Lines that come later are
// dropped.
func (q *logQueue) Close() error {
	q.mu.Lock()
	alreadyClosed := q.closed
	q.closed = true
	q.mu.Unlock()
	if !alreadyClosed {
		close(q.closing)
	}
	<-q.done
	return nil
}

func (q *logQueue) run() {
	defer close(q.done)
	var batch bytes.Buffer
	for open := true; open; {
		select {
		case <-q.wake:
		case <-q.closing:
			open = false
		}
		q.take(&batch)
		_, _ = q.out.Write(batch.Bytes()) // there is nowhere else to tell of it
		batch.Reset()
	}
}

// take moves what waits into batch, with a line on what was dropped.
func (q *logQueue) take(batch *bytes.Buffer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch.Write(q.waiting.Bytes())
	q.waiting.Reset()
	if q.dropped > 0 {
		fmt.Fprintf(batch, "level=warn event=log-lines-dropped lines=%d\n", q.dropped)
		q.dropped = 0
	}
}
