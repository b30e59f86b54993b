package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// logQueueBytes bounds the lines that wait to be written. It is enough for several seconds of
// a host under load, with a line of 400 bytes per request.
const logQueueBytes = 1 << 20

// logQueue writes log lines in the background, so that logging never waits for the reader of
// the log. When the queue is full, lines are dropped and counted, and the count is written as
// a line of its own once there is room.
//
// Without it, if standard output is a pipe whose reader stalls, every request waits for its
// log line, and the host stops answering while its processor is idle.
type logQueue struct {
	out io.Writer

	mu      sync.Mutex
	waiting bytes.Buffer
	dropped int
	closed  bool
	// wake is never closed: a Write after Close must not panic.
	wake chan struct{}
	// closing stops the writer.
	closing chan struct{}
	done    chan struct{}
}

func newLogQueue(out io.Writer) *logQueue {
	q := &logQueue{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a line. It never blocks and never fails.
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
	default: // the writer is already signaled
	}
	return len(line), nil
}

// Close writes the queued lines and returns when they are written. Later lines are dropped.
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
		q.drain(&batch)
		_, _ = q.out.Write(batch.Bytes()) // there is nowhere else to report an error
		batch.Reset()
	}
}

// drain moves the queued lines into batch, and adds a line with the number of dropped lines.
func (q *logQueue) drain(batch *bytes.Buffer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch.Write(q.waiting.Bytes())
	q.waiting.Reset()
	if q.dropped > 0 {
		fmt.Fprintf(batch, "level=warn event=log-lines-dropped lines=%d\n", q.dropped)
		q.dropped = 0
	}
}
