package httpserver

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/log"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// lines collects the log lines of a test.
type lines struct{ testutil.LogBuffer }

func (l *lines) closed() []string {
	var out []string
	for line := range strings.Lines(l.String()) {
		if strings.Contains(line, `"event":"connection-closed"`) {
			out = append(out, line)
		}
	}
	return out
}

func catchLog(t testing.TB) *lines {
	t.Helper()
	l, before := &lines{}, log.Logger
	log.Logger = zerolog.New(l)
	t.Cleanup(func() { log.Logger = before })
	return l
}

// counted waits until the server has counted a close with the cause and returns the counters.
func counted(t *testing.T, s *Server, cause Cause) (all, withRequest map[Cause]int) {
	t.Helper()
	var vars struct {
		Closed  map[Cause]int `json:"closed"`
		Request map[Cause]int `json:"closed_with_request"`
	}
	for end := time.Now().Add(patience); ; {
		testutil.NoError(t, json.Unmarshal([]byte(s.Vars().String()), &vars))
		if vars.Closed[cause] > 0 {
			return vars.Closed, vars.Request
		}
		if time.Now().After(end) {
			t.Fatalf("no close with cause %s was counted: %s", cause, s.Vars())
		}
		time.Sleep(time.Millisecond)
	}
}

const plainRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func TestCloseDuringRequestIsLoggedWithCause(t *testing.T) {
	// Guards against a log that blames the caller for every close. A connection ends during a
	// request because the caller closes or resets it, or because the host aborts the answer;
	// the log line and the counters must show which.
	for name, test := range map[string]struct {
		end      func(net.Conn, http.ResponseWriter)
		want     Cause
		byCaller bool
	}{
		"caller closes": {func(c net.Conn, _ http.ResponseWriter) { _ = c.Close() }, CauseCaller, true},
		"caller resets": {func(c net.Conn, _ http.ResponseWriter) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }, CauseReset, true},
		"host aborts":   {func(_ net.Conn, w http.ResponseWriter) { Abort(w) }, CauseAborted, false},
	} {
		t.Run(name, func(t *testing.T) {
			logged := catchLog(t)
			begun, seen := make(chan http.ResponseWriter), make(chan Cause)
			s := start(t, Config{Name: "test", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "part")
				w.(http.Flusher).Flush()
				begun <- w
				for !ConnClosed(w) {
					time.Sleep(time.Millisecond)
				}
				cause, _ := CloseCause(w)
				seen <- cause
			})})
			c := dial(t, s)
			_, _ = io.WriteString(c, plainRequest)
			w := <-begun
			if _, err := bufio.NewReader(c).ReadString('p'); err != nil {
				t.Fatal(err)
			}
			test.end(c, w)
			if got := <-seen; got != test.want || got.ByCaller() != test.byCaller {
				t.Errorf("the handler got cause %q, want %q", got, test.want)
			}
			if _, withRequest := counted(t, s, test.want); withRequest[test.want] != 1 {
				t.Errorf("counted %v", withRequest)
			}
			got := logged.closed()
			if len(got) != 1 {
				t.Fatalf("lines: %q", got)
			}
			for _, field := range []string{`"server":"test"`, `"cause":"` + string(test.want) + `"`, `"open":1`, `"requests":1`, `"remote":"127.0.0.1:`, `"age":`} {
				if !strings.Contains(got[0], field) {
					t.Errorf("%s is missing in %s", field, got[0])
				}
			}
			if strings.Contains(got[0], `"sent":0`) {
				t.Errorf("logged that nothing was sent although part of the answer was: %s", got[0])
			}
		})
	}
}

func TestIdleCloseIsCountedNotLogged(t *testing.T) {
	logged := catchLog(t)
	s := start(t, Config{IdleTimeout: 20 * time.Millisecond, Handler: text("ran")})
	c := dial(t, s)
	_, _ = io.WriteString(c, plainRequest)
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
	if all, withRequest := counted(t, s, CauseIdle); all[CauseIdle] != 1 || len(withRequest) != 0 {
		t.Errorf("counted %v, of these with a request %v", all, withRequest)
	}
	if got := logged.closed(); len(got) != 0 {
		t.Errorf("lines: %q", got)
	}
}

func TestAbortAfterHandlerReturnedIsIgnored(t *testing.T) {
	// Guards against closing a connection in the middle of an answer that nobody aborted. Code
	// that outlives its handler calls Abort while the next request runs; nbhttp takes a
	// response back when its handler returns and reuses it for another request.
	left := make(chan http.ResponseWriter, 1)
	s := start(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if len(left) == 0 {
			left <- w
			return
		}
		Abort(<-left)
		_, _ = io.WriteString(w, "whole")
	})})
	c := dial(t, s)
	r := bufio.NewReader(c)
	for _, want := range []string{"", "whole"} {
		_, _ = io.WriteString(c, plainRequest)
		res, err := http.ReadResponse(r, nil)
		testutil.NoError(t, err)
		if b, err := io.ReadAll(res.Body); string(b) != want {
			t.Errorf("got %q, %v; want %q", b, err, want)
		}
	}
}

func TestRequestAfterAbortedAnswerIsNotHandled(t *testing.T) {
	// Guards against running a request that can no longer be answered. Two requests arrive
	// together and the answer to the first is aborted; the second waits in the connection's
	// job list, which outlives the connection.
	var begun atomic.Int64
	s := start(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		begun.Add(1)
		_, _ = io.WriteString(w, "part")
		w.(http.Flusher).Flush()
		Abort(w)
	})})
	c := dial(t, s)
	_, _ = io.WriteString(c, plainRequest+plainRequest)
	_, _ = io.ReadAll(c)
	await(t, "the connection is given up", s.conns.empty)
	if n := begun.Load(); n != 1 {
		t.Fatalf("%d requests were handled, want 1", n)
	}
}

func TestRequestOfClosedCallerIsHandled(t *testing.T) {
	// Guards against dropping a request because its connection is closed: a backend server
	// that shuts down sends a message, closes the connection without waiting for the answer
	// and exits.
	begun := make(chan struct{})
	h := startGated(t, Config{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { close(begun) })})
	h.handlers.shut()
	c := dial(t, h.Server)
	_, _ = io.WriteString(c, plainRequest)
	await(t, "the request is read", func() bool { return h.busy() == 1 })
	_ = c.Close()
	conn := h.only(t)
	await(t, "the close is noticed", conn.isClosed)
	h.handlers.open()
	select {
	case <-begun:
	case <-time.After(patience):
		t.Fatal("the request was dropped")
	}
}

func TestCallerThatDoesNotReadIsClosed(t *testing.T) {
	// Guards against memory that grows with the answers of callers that request long answers
	// and do not read them: the bytes that the kernel does not accept must be bounded.
	const queue = 1 << 20
	seen := make(chan Cause, 1)
	s := start(t, Config{MaxQueuedBytes: queue, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for !ConnClosed(w) {
			_, _ = w.Write(make([]byte, 64<<10))
		}
		cause, _ := CloseCause(w)
		seen <- cause
	})})
	c := dial(t, s)
	_, _ = io.WriteString(c, plainRequest)
	if got := <-seen; got != CauseWriteOverflow {
		t.Errorf("closed with cause %q", got)
	}
	if _, withRequest := counted(t, s, CauseWriteOverflow); withRequest[CauseWriteOverflow] != 1 {
		t.Errorf("counted %v", withRequest)
	}
	await(t, "the connection is given up", s.conns.empty)
}

func TestStalledReaderIsNotIdleWhileItReads(t *testing.T) {
	// Guards against truncating a large answer to a slow reader one idle timeout after the
	// handler has returned. One caller reads the rest slowly for longer than the idle timeout
	// and must get all of it; another reads nothing and must be closed.
	const size, idle = 12 << 20, 4 * shortIdle
	s := start(t, Config{IdleTimeout: idle, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
	})})
	slow, stalled := dial(t, s), dial(t, s)
	for _, c := range []net.Conn{slow, stalled} {
		_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
		_, _ = io.WriteString(c, plainRequest)
	}
	var n int64
	for range 40 {
		got, _ := io.CopyN(io.Discard, slow, size/50)
		n += got
		time.Sleep(idle / 20)
	}
	rest, _ := io.CopyN(io.Discard, slow, size-n)
	if n+rest < size {
		t.Errorf("the answer was truncated at %d of %d bytes", n+rest, size)
	}
	if _, withRequest := counted(t, s, CauseWriteStalled); withRequest[CauseWriteStalled] != 1 {
		t.Errorf("counted %v", withRequest)
	}
}
