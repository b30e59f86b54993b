package httpserver

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
	"weak"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

func TestClosedConnectionsAreReleased(t *testing.T) {
	// Symptom: the memory of a host grows by a kilobyte or more with each caller who leaves
	// while part of its answer still waits.
	// Sequence: the answer is longer than the kernel takes; the caller leaves; the rest fails.
	// Cause: the library's timer of the connection was set for years, and goes on after that.
	const size, callers = 12 << 20, 20
	answer := strings.Repeat("x", size)
	h := startHeld(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.WriteString(w, answer)
	})})
	var ended []weak.Pointer[trackedConn]
	for range callers {
		c := dial(t, h.Server)
		_, _ = io.WriteString(c, plainRequest)
		_, _ = io.ReadFull(c, make([]byte, 50))
		conn := h.serverSide(t, c)
		// As the idle watch does within a second; nobody waits for it here.
		_ = conn.Conn.SetReadDeadline(time.Time{})
		ended = append(ended, weak.Make(conn))
		_ = c.Close()
		await(t, "the connection is gone", h.conns.empty)
	}
	// The library's lists of work that is done hold some few until they are used again.
	await(t, "nothing holds them", func() bool {
		runtime.GC()
		kept := 0
		for _, p := range ended {
			if p.Value() != nil {
				kept++
			}
		}
		return kept <= callers/4
	})
	if libraryKeepalive > time.Minute {
		t.Errorf("one that ends before the idle watch has looked is held for %v", libraryKeepalive)
	}
}

func TestIdleWatchClearsLibraryDeadline(t *testing.T) {
	// Symptom: a stream ends in its middle, at a round time after its connection was accepted.
	// Sequence: the library sets a deadline when it accepts a connection.
	// Cause: its timer closes the connection, whatever has begun since.
	h := startHeld(t, Config{IdleTimeout: shortIdle, Handler: text("ran")})
	c := dial(t, h.Server)
	conn := h.serverSide(t, c)
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	_ = conn.Conn.SetReadDeadline(time.Now().Add(2 * shortIdle))
	h.idle.sweep()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n") // a request has begun: it is not idle
	time.Sleep(4 * shortIdle)
	select {
	case <-closed:
		t.Error("the library's deadline closed the connection")
	default:
	}
}

func TestUnreadEndIsUnexplained(t *testing.T) {
	// Symptom: the log says that callers left who had not.
	// Sequence: an event of another connection has the poller close one with a request open.
	// Cause: its error is the one of a caller who closes.
	seen, begun := make(chan Cause, 1), make(chan struct{})
	h := startHeld(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		for !ConnClosed(w) {
			time.Sleep(time.Millisecond)
		}
		cause, _ := CloseCause(w)
		seen <- cause
	})})
	c := dial(t, h.Server)
	_, _ = io.WriteString(c, plainRequest)
	<-begun
	_ = h.serverSide(t, c).Conn.CloseWithError(io.EOF) // as the poller does at the event
	if got := <-seen; got != CauseUnexplained {
		t.Errorf("the cause is %q", got)
	}
	if CauseUnexplained.ByCaller() {
		t.Error("it counts as the caller's doing")
	}
}

func TestStopClosesConnectionsAtBarrier(t *testing.T) {
	// Symptom: a server does not stop, and a caller waits on a connection that nobody reads.
	// Sequence: a connection is accepted and waits for the poller; the server stops.
	// Cause: it was registered after all that were known had been closed.
	for range 10 {
		s := New(Config{Address: "127.0.0.1:0", Handler: text("ran")})
		testutil.NoError(t, s.Start())
		s.writes.ongoing.Add(1) // accepted connections wait
		s.barrier.mu.Lock()     // and the poller can't let them pass
		c := dial(t, s)
		await(t, "the connection is accepted", func() bool { return s.engine.Online() == 1 })
		ended := make(chan struct{})
		go func() {
			_ = s.Drain(context.Background())
			s.stopOnce.Do(func() {})
			close(ended)
		}()
		<-s.stopping
		s.barrier.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(patience):
			t.Fatal("the server does not stop")
		}
		_ = c.SetReadDeadline(time.Now().Add(patience))
		if _, err := c.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Fatalf("the caller's connection is still open: %v", err)
		}
	}
}

func TestIdleWatchSurvivesPanic(t *testing.T) {
	// Symptom: the process ends with all its requests.
	// Sequence: what the idle watch asks for the limits panics.
	// Cause: it runs on a timer's goroutine, whose panics nobody recovered.
	var broken, asked atomic.Bool
	h := startHeld(t, Config{IdleTimeout: shortIdle, Handler: text("ran"), Limits: func() Limits {
		if broken.Load() {
			asked.Store(true)
			panic("no limits")
		}
		return Limits{}
	}})
	c := dial(t, h.Server)
	h.serverSide(t, c)
	broken.Store(true)
	await(t, "the watch has panicked", asked.Load)
	broken.Store(false)
	await(t, "the idle connection is closed all the same", h.conns.empty)
}
