package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const patience = 5 * time.Second

func start(t *testing.T, cfg Config) *Server {
	t.Helper()
	cfg.Address = "127.0.0.1:0"
	s := New(cfg)
	testutil.NoError(t, s.Start())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_ = s.Drain(ctx)
	})
	return s
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	testutil.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return c
}

func readKind(t *testing.T, r *bufio.Reader) (int, ErrorFields) {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer func() { _ = res.Body.Close() }()
	var a ErrorAnswer
	if err := json.NewDecoder(res.Body).Decode(&a); err != nil {
		t.Fatalf("the answer is not a refusal: %v", err)
	}
	return res.StatusCode, a.Error
}

func text(s string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, s) }
}

func TestBodyOverLimitIsRejectedWithAnswer(t *testing.T) {
	// Guards against a caller that sees a reset connection, and does not learn whether its
	// request ran, because the body is over the limit. The body is declared too long or sent
	// as too many chunks; nbhttp by itself closes the connection without an answer.
	s := start(t, Config{MaxBodyBytes: 1000, Handler: text("ran")})
	long := strings.Repeat("x", 3<<20)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<15, long[:1<<15])
	for name, req := range map[string]string{
		"declared": fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(long), long),
		"chunked":  "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 96) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, s)
			go func() { _, _ = io.WriteString(c, req) }()
			status, e := readKind(t, bufio.NewReader(c))
			if status != 413 || e.Kind != errkind.BodyTooLarge || e.Ran != errkind.RanNo {
				t.Fatalf("got %d %+v", status, e)
			}
		})
	}
}

func TestSlowSenderIsRejectedAndClosed(t *testing.T) {
	// Guards against connections that accumulate until the host can't accept more: a caller
	// sends half a request and nothing more, or disappears without a close.
	s := start(t, Config{ReadTimeout: 50 * time.Millisecond, Handler: text("ran")})
	for _, half := range []string{"POST / HT", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345"} {
		c := dial(t, s)
		_, _ = io.WriteString(c, half)
		r := bufio.NewReader(c)
		status, e := readKind(t, r)
		if status != 408 || e.Kind != errkind.RequestTimeout || e.Ran != errkind.RanNo {
			t.Fatalf("got %d %+v", status, e)
		}
		if _, err := r.ReadByte(); err != io.EOF {
			t.Fatalf("the connection is still open: %v", err)
		}
	}
}

func TestRequestsPerConnection(t *testing.T) {
	// Guards against one host of 70 that serves a seventh of all requests: a caller with many
	// requests chooses an address once and keeps its connection.
	s := start(t, Config{RequestsPerConnection: 3, Handler: text("ran")})
	for range 2 {
		c := dial(t, s)
		r := bufio.NewReader(c)
		for n := 1; n <= 3; n++ {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, res.Body)
			if res.StatusCode != http.StatusOK || res.Close != (n == 3) {
				t.Errorf("request %d: status %d, Connection: close %v", n, res.StatusCode, res.Close)
			}
		}
	}
}

func TestLimitsMayChangeWhileServing(t *testing.T) {
	// Guards against limits that are read only when the server starts: after an operator has
	// lowered them, requests over the new limits on an open connection must be rejected.
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{})
	s := start(t, Config{MaxBodyBytes: 1000, Limits: func() Limits { return *limits.Load() }, Handler: text("ran")})
	c := dial(t, s)
	r := bufio.NewReader(c)
	send := func(request string, want int) {
		t.Helper()
		_, _ = io.WriteString(c, request)
		res, err := http.ReadResponse(r, nil)
		testutil.NoError(t, err)
		_, _ = io.Copy(io.Discard, res.Body)
		if res.StatusCode != want {
			t.Fatalf("got %d, want %d", res.StatusCode, want)
		}
	}
	body := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500\r\n\r\n" + strings.Repeat("x", 500)
	head := "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 500) + "\r\n\r\n"
	send(body, 200)
	send(head, 200)
	limits.Store(&Limits{HeaderBytes: 400, BodyBytes: 2000})
	send(body, 200)
	send(head, 431)
	limits.Store(&Limits{BodyBytes: 400})
	c = dial(t, s)
	r = bufio.NewReader(c)
	send(head, 200)
	send(body, 413)
}

func TestHeaderTimeout(t *testing.T) {
	// Guards against connections that accumulate although an operator bounds the time for
	// headers. One caller sends its headers slowly; another sends them at once and takes
	// longer for the body, which is allowed.
	s := start(t, Config{
		Handler: text("ran"), Limits: func() Limits { return Limits{HeaderTimeout: 100 * time.Millisecond} },
	})
	slow, slowBody := dial(t, s), dial(t, s)
	_, _ = io.WriteString(slow, "POST / HTTP/1.1\r\nHo")
	_, _ = io.WriteString(slowBody, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
	if status, e := readKind(t, bufio.NewReader(slow)); status != 408 || e.Kind != errkind.RequestTimeout {
		t.Fatalf("got %d %+v", status, e)
	}
	time.Sleep(150 * time.Millisecond)
	_, _ = io.WriteString(slowBody, "b")
	res, err := http.ReadResponse(bufio.NewReader(slowBody), nil)
	testutil.NoError(t, err)
	if res.StatusCode != 200 {
		t.Fatalf("got %d", res.StatusCode)
	}
}

func TestIdleTimeoutFollowsTheLimits(t *testing.T) {
	s := start(t, Config{Handler: text("ran"), Limits: func() Limits { return Limits{IdleTimeout: 50 * time.Millisecond} }})
	c := dial(t, s)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	testutil.NoError(t, err)
	_, _ = io.Copy(io.Discard, res.Body)
	if _, err := r.ReadByte(); err != io.EOF {
		t.Fatalf("the idle connection is still open: %v", err)
	}
}

func TestUnreadableRequestsAreAnswered(t *testing.T) {
	// Guards against request smuggling: a request gives its length in two ways, and the bytes
	// that only one of them counts as its body are a request themselves. nbhttp uses one of
	// the lengths without an error. A valid request comes first and must be answered.
	var ran atomic.Int64
	s := start(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		_, _ = io.WriteString(w, r.URL.Path)
	})})
	c := dial(t, s)
	hidden := "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	_, _ = fmt.Fprintf(c, "GET /sound HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(hidden)+5, hidden)
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	testutil.NoError(t, err)
	if b, _ := io.ReadAll(res.Body); string(b) != "/sound" {
		t.Fatalf("got %q", b)
	}
	if status, e := readKind(t, r); status != 400 || e.Ran != errkind.RanNo {
		t.Fatalf("got %d %+v", status, e)
	}
	if n := ran.Load(); n != 1 {
		t.Fatalf("%d requests ran", n)
	}
}

func TestPanicBecomesInternal(t *testing.T) {
	s := start(t, Config{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("boom") })})
	c := dial(t, s)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	status, e := readKind(t, bufio.NewReader(c))
	if status != 500 || e.Kind != errkind.Internal {
		t.Fatalf("got %d %+v", status, e)
	}
}

func TestHandlerOutlivesIdleTimeout(t *testing.T) {
	// Guards against long streams that end at exactly the idle timeout: a request is handled
	// for longer than the idle and the read timeout, and nbhttp's read deadline stays set
	// while the handler runs.
	s := start(t, Config{IdleTimeout: 50 * time.Millisecond, ReadTimeout: 50 * time.Millisecond,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(200 * time.Millisecond)
			if ConnClosed(w) {
				return
			}
			_, _ = io.WriteString(w, "whole")
		})})
	res, err := http.Get("http://" + s.Address())
	testutil.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	if b, _ := io.ReadAll(res.Body); string(b) != "whole" {
		t.Fatalf("got %q", b)
	}
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	w := httptest.NewRecorder()
	WriteError(w, "r1", errkind.New(errkind.Overloaded, "full").After(1100*time.Millisecond))
	want := `{"error":{"kind":"overloaded","message":"full","ran":"no","retry":"after","retry_after_ms":1100,"request_id":"r1"}}`
	if got := w.Header().Get("Retry-After"); got != "2" || w.Code != 429 || w.Body.String() != want {
		t.Fatalf("got %d, Retry-After %s, %s", w.Code, got, w.Body)
	}
}

func TestConnClosedAfterCallerCloses(t *testing.T) {
	// Guards against engines that continue to generate for callers that have disconnected: the
	// caller closes its connection during a stream, and nbhttp neither cancels a context nor
	// fails a write.
	gone := make(chan struct{})
	s := start(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for !ConnClosed(w) {
			_, _ = io.WriteString(w, "data: x\n\n")
			w.(http.Flusher).Flush()
			time.Sleep(time.Millisecond)
		}
		close(gone)
	})})
	c := dial(t, s)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, err := bufio.NewReader(c).ReadString('x'); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	select {
	case <-gone:
	case <-time.After(patience):
		t.Fatal("the handler did not notice that the caller closed the connection")
	}
	if ConnClosed(httptest.NewRecorder()) {
		t.Fatal("a recorder has no connection to be closed")
	}
}

func TestLargeChunkedAnswersDoNotMix(t *testing.T) {
	// Guards against answers that stop in the middle or contain bytes of another caller's.
	// Answers without a length, partly written already, get writes of 64 KiB and more, for
	// which nbhttp returns its buffer to the shared pool twice and continues to use it.
	const size = 200 << 10
	s := start(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path[1:])
		_, _ = w.Write(bytes.Repeat([]byte(r.URL.Path[1:]), size))
	})})
	var wg sync.WaitGroup
	for i := range 200 {
		mark := string(rune('a' + i%26))
		wg.Go(func() {
			res, err := (&http.Client{Timeout: patience}).Get("http://" + s.Address() + "/" + mark)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = res.Body.Close() }()
			b, err := io.ReadAll(res.Body)
			if err != nil || string(b) != strings.Repeat(mark, size+1) {
				t.Errorf("the answer to %q has %d of %d bytes, %d of them its own: %v", mark, len(b), size+1, strings.Count(string(b), mark), err)
			}
		})
	}
	wg.Wait()
}

func TestDrainCompletesAnswers(t *testing.T) {
	// Guards against truncated answers when a host is restarted: a stream is in progress and a
	// large answer waits for a slow reader when the host drains. nbhttp's own shutdown closes
	// connections regardless of handlers and queued bytes.
	const size = 12 << 20
	begun, finish := make(chan struct{}), make(chan struct{})
	s := start(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(bytes.Repeat([]byte("y"), size))
			return
		}
		_, _ = io.WriteString(w, "first ")
		w.(http.Flusher).Flush()
		close(begun)
		<-finish
		_, _ = io.WriteString(w, "last")
	})})
	large, stream := dial(t, s), dial(t, s)
	_, _ = io.WriteString(stream, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	_, _ = io.WriteString(large, "GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if _, err := io.ReadFull(large, make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	for !s.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	late := dial(t, s)
	_, _ = io.WriteString(late, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
	if status, e := readKind(t, bufio.NewReader(late)); e.Kind != errkind.HostLeaving {
		t.Fatalf("a new request while draining got %d %+v", status, e)
	}
	close(finish)
	res, err := http.ReadResponse(bufio.NewReader(stream), nil)
	testutil.NoError(t, err)
	if b, err := io.ReadAll(res.Body); string(b) != "first last" {
		t.Fatalf("the stream was truncated: %q %v", b, err)
	}
	select {
	case <-drained:
		t.Fatal("Drain returned while an answer waited for its reader")
	case <-time.After(20 * drainPoll):
	}
	if n, _ := io.Copy(io.Discard, large); n < size {
		t.Fatalf("the large answer was truncated at %d of %d bytes", n, size)
	}
	testutil.NoError(t, <-drained)
}

func TestStreamsLimitSparesNeverShed(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{}, 2)
	s := start(t, Config{Streams: 1, NeverShed: func(r *http.Request) bool { return r.URL.Path == "/healthz" },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hold" {
				entered <- struct{}{}
				<-release
			}
			_, _ = io.WriteString(w, "ok")
		})})
	held := dial(t, s)
	_, _ = io.WriteString(held, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	<-entered
	defer close(release)
	for path, want := range map[string]int{"/x": 429, "/healthz": 200} {
		res, err := http.Get("http://" + s.Address() + path)
		testutil.NoError(t, err)
		_ = res.Body.Close()
		if res.StatusCode != want {
			t.Errorf("%s: got %d, want %d", path, res.StatusCode, want)
		}
	}
}

func TestTLSServes(t *testing.T) {
	src := httptest.NewTLSServer(nil)
	defer src.Close()
	pair := src.TLS.Certificates[0]
	gone := make(chan struct{})
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "whole")
		if r.URL.Path == "/hold" {
			w.(http.Flusher).Flush()
			for !ConnClosed(w) {
				time.Sleep(time.Millisecond)
			}
			close(gone)
		}
	})
	s := start(t, Config{Handler: h, TLS: &tls.Config{
		Certificates: []tls.Certificate{{Certificate: pair.Certificate, PrivateKey: pair.PrivateKey}}}})
	res, err := src.Client().Get("https://" + s.Address())
	testutil.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	if b, _ := io.ReadAll(res.Body); string(b) != "whole" {
		t.Fatalf("got %q", b)
	}
	hold, err := src.Client().Get("https://" + s.Address() + "/hold")
	testutil.NoError(t, err)
	_ = hold.Body.Close()
	select {
	case <-gone:
	case <-time.After(patience):
		t.Fatal("the handler did not notice that the TLS caller closed the connection")
	}
}

// Guards against a process that uses up a processor and does not end because its start fails:
// it opens a server, fails at the next one, whose address another process has, and stops the
// first at once. An event loop of nbio that begins after the stop clears its shutdown flag, and
// Stop waits for it.
func TestStopRightAfterStart(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // no goroutine started by Start runs before Drain
	s := New(Config{Address: "127.0.0.1:0", Handler: http.NotFoundHandler()})
	testutil.NoError(t, s.Start())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Drain(t.Context())
		s.stopOnce.Do(func() {}) // Drain waits for a limited time only; this waits until everything has ended
	}()
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the server does not stop")
	}
}

func TestRequestsAreAnsweredWhenDrainTimesOut(t *testing.T) {
	// Guards against closing connections whose handlers could still answer: a request waits
	// for a silent backend server when the time of the drain ends, and its caller must get a
	// refusal instead of a closed connection.
	begun := make(chan struct{})
	s := start(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		WriteError(w, "", context.Cause(r.Context()))
	})})
	c := dial(t, s)
	_, _ = io.WriteString(c, plainRequest)
	<-begun
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if s.Drain(ctx) == nil {
		t.Error("Drain succeeded although a request was open")
	}
	if status, e := readKind(t, bufio.NewReader(c)); status != http.StatusServiceUnavailable || e.Kind != errkind.HostLeaving {
		t.Errorf("got %d %+v", status, e)
	}
}
