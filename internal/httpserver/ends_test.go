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
	// Guards against memory that grows by a kilobyte or more with each caller that leaves
	// while part of its answer is queued. The answer is longer than the kernel accepts, the
	// caller leaves and the remaining writes fail; the library's timer of the connection, if
	// set for years, would keep the connection in memory.
	const size, callers = 12 << 20, 20
	answer := strings.Repeat("x", size)
	h := startGated(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.WriteString(w, answer)
	})})
	var ended []weak.Pointer[trackedConn]
	for range callers {
		c := dial(t, h.Server)
		_, _ = io.WriteString(c, plainRequest)
		_, _ = io.ReadFull(c, make([]byte, 50))
		conn := h.serverSide(t, c)
		// As the idle watch does within a second; the test does not wait for it.
		_ = conn.Conn.SetReadDeadline(time.Time{})
		ended = append(ended, weak.Make(conn))
		_ = c.Close()
		await(t, "the connection is removed", h.conns.empty)
	}
	// The library's lists of finished work reference a few connections until they are reused.
	await(t, "nothing references the connections", func() bool {
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
		t.Errorf("a connection that ends before the first sweep of the idle watch stays in memory for %v", libraryKeepalive)
	}
}

func TestIdleWatchClearsLibraryDeadline(t *testing.T) {
	// Guards against a stream that is truncated at a fixed time after its connection was
	// accepted: the library sets a deadline at accept, whose timer closes the connection
	// regardless of later activity.
	h := startGated(t, Config{IdleTimeout: shortIdle, Handler: text("ran")})
	c := dial(t, h.Server)
	conn := h.serverSide(t, c)
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	_ = conn.Conn.SetReadDeadline(time.Now().Add(2 * shortIdle))
	h.idle.sweep()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n") // a request has begun, so the connection is not idle
	time.Sleep(4 * shortIdle)
	select {
	case <-closed:
		t.Error("the library's deadline closed the connection")
	default:
	}
}

func TestUnreadEndIsUnexplained(t *testing.T) {
	// Guards against logging that callers left although they did not: when the event
	// of another connection makes the poller close one with an open request, the error is the
	// same as for a caller that closes.
	seen, begun := make(chan Cause, 1), make(chan struct{})
	h := startGated(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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
	_ = h.serverSide(t, c).Conn.CloseWithError(io.EOF) // as the poller does for the event
	if got := <-seen; got != CauseUnexplained {
		t.Errorf("the cause is %q", got)
	}
	if CauseUnexplained.ByCaller() {
		t.Error("CauseUnexplained counts as caused by the caller")
	}
}

func TestStopClosesConnectionsAtBarrier(t *testing.T) {
	// Guards against a server that does not stop and a caller that waits on a connection that
	// nobody reads: a connection waits at the barrier when the server stops, and is registered
	// after all known connections were closed.
	for range 10 {
		s := New(Config{Address: "127.0.0.1:0", Handler: text("ran")})
		testutil.NoError(t, s.Start())
		s.writes.ongoing.Add(1) // makes accepted connections wait
		s.barrier.mu.Lock()     // keeps the poller from releasing them
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
	// Guards against a panic in the idle watch that ends the process with all its requests:
	// Limits panics on the goroutine of a timer.
	var broken, asked atomic.Bool
	h := startGated(t, Config{IdleTimeout: shortIdle, Handler: text("ran"), Limits: func() Limits {
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
	await(t, "the idle connection is closed nevertheless", h.conns.empty)
}
