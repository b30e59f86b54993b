package telemetry

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// stalled is a log writer that blocks until release is closed.
type stalled struct {
	mu      sync.Mutex
	got     bytes.Buffer
	release chan struct{}
}

func (s *stalled) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// If the goroutine that serves a request wrote its log line itself, a stalled reader of the
// standard output would stop the host from answering while its processor is idle.
func TestStalledLogReaderDoesNotBlockLogging(t *testing.T) {
	out := &stalled{release: make(chan struct{})}
	q := newLogQueue(out)
	line := []byte(strings.Repeat("x", 999) + "\n")
	const lines = 3 * logQueueBytes / 1000
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			_, _ = q.Write(line)
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("logging waits for the reader of the log")
	}
	close(out.release)
	if err := q.Close(); err != nil {
		t.Fatal(err)
	}
	text := out.got.String()
	if !strings.Contains(text, "event=log-lines-dropped lines=") {
		t.Error("no line reports the number of dropped lines")
	}
	if len(text) > 2*logQueueBytes+1000 {
		t.Errorf("%d bytes were queued, more than the bound", len(text))
	}
}

func TestLogQueueKeepsOrderAndCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	q := newLogQueue(&out)
	want := ""
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		want += line
		_, _ = q.Write([]byte(line))
	}
	for range 2 {
		if err := q.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if out.String() != want {
		t.Errorf("got %q", out.String())
	}
}

func TestLineOfNestedValues(t *testing.T) {
	var buf bytes.Buffer
	if err := writePairs(&buf, []byte(`{"a":"x","list":["1, 2","}"],"o":{"k":"v"},"n":-1.5,"t":true,"e":"","u":"\u00e9\"="}`+"\n")); err != nil {
		t.Fatal(err)
	}
	want := `a=x list="[\"1, 2\",\"}\"]" o="{\"k\":\"v\"}" n=-1.5 t=true e="" u="é\"="`
	if buf.String() != want {
		t.Errorf("got  %s\nwant %s", buf.String(), want)
	}
	for _, bad := range []string{"", "x", `{"a"}`, `{"a":`, `{"a":"x`} {
		if err := writePairs(&buf, []byte(bad)); err == nil {
			t.Errorf("%q is accepted as an event", bad)
		}
	}
}

func BenchmarkLine(b *testing.B) {
	event := []byte(`{"level":"info","host":"frontend-olinda-1","zone":"olinda","event":"request","request":"486157b4ef0cebc3","status":200,"took":3948.82547,"account":"yede92","revision":4,"route":"r-dt5nx9y","reserved":9490,"prompt":9010,"output":480,"server":"i-31b4658b5f","predicted":158.4,"cached":4904,"running":3,"first":1378.8,"ran":3948.4,"outcome":"answered","time":"2026-02-02T13:17:04Z"}`)
	var buf bytes.Buffer
	for b.Loop() {
		buf.Reset()
		if err := writePairs(&buf, event); err != nil {
			b.Fatal(err)
		}
	}
}

// A request that was cut off, or a connection that closes late, may log a line after the log is
// closed. If Close closed the channel that wakes the writer, the send would panic, even in a
// select with a default case: the process would exit with code 2 and lose its queued log lines.
func TestLineAfterCloseIsDropped(t *testing.T) {
	var out bytes.Buffer
	q := newLogQueue(&out)
	_, _ = q.Write([]byte("in time\n"))
	if err := q.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := q.Write([]byte("late\n")); err != nil {
		t.Fatal(err)
	}
	if out.String() != "in time\n" {
		t.Errorf("got %q", out.String())
	}
}

// Lines that are written while the log is being closed must not panic either.
func TestWriteDuringCloseDoesNotPanic(t *testing.T) {
	const writers, rounds = 8, 50
	for range rounds {
		q := newLogQueue(io.Discard)
		var writing sync.WaitGroup
		for range writers {
			writing.Go(func() {
				for range writers {
					_, _ = q.Write([]byte("line\n"))
				}
			})
		}
		_ = q.Close()
		writing.Wait()
	}
}
