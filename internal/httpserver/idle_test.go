package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const (
	// shortIdle is the idle timeout of these tests. A request that is sent later than it after
	// the last answer crosses the close and proves nothing; the attempt is repeated.
	shortIdle = 200 * time.Millisecond
	// attempts bounds those repetitions.
	attempts = 20
)

// gate holds back whoever passes it while it is shut.
type gate struct{ mu sync.RWMutex }

func (g *gate) pass() {
	g.mu.RLock()
	defer g.mu.RUnlock()
}

func (g *gate) shut() { g.mu.Lock() }
func (g *gate) open() { g.mu.Unlock() }

// heldServer is a server of which a test can hold back the start of handlers, and the
// reading of what has arrived.
type heldServer struct {
	*Server
	handlers, reading gate
	// reads counts what was read.
	reads atomic.Int64
}

func startHeld(t *testing.T, cfg Config) *heldServer {
	t.Helper()
	h := &heldServer{}
	limits := cfg.Limits
	cfg.Limits = func() Limits {
		h.reads.Add(1)
		h.reading.pass()
		if limits == nil {
			return Limits{}
		}
		return limits()
	}
	cfg.Address = "127.0.0.1:0"
	h.Server = New(cfg)
	h.engine.Engine.NPoller = 1
	h.engine.Engine.Execute = func(f func()) {
		go func() {
			h.handlers.pass()
			f()
		}()
	}
	testutil.NoError(t, h.Start())
	t.Cleanup(h.stop)
	return h
}

// busy is the number of requests that were read and are not answered.
func (h *heldServer) busy() int {
	h.conns.mu.Lock()
	defer h.conns.mu.Unlock()
	n := 0
	for _, c := range h.conns.m {
		n += int(c.openRequests.Load())
	}
	return n
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// get sends a request and tells whether it was answered by the handler.
func get(c net.Conn, r *bufio.Reader) bool {
	if _, err := io.WriteString(c, plainRequest); err != nil {
		return false
	}
	return answered(r)
}

func answered(r *bufio.Reader) bool {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	b, err := io.ReadAll(res.Body)
	return err == nil && string(b) == "ran"
}

func TestIdleTimeoutSparesArrivedRequest(t *testing.T) {
	// Symptom: a request on a kept connection is passed on to a server, and 3 ms later its
	// caller's connection is closed with no answer.
	// Sequence: a request arrives before the connection's idle timeout is over. The host is
	// short of processor: the bytes are not read yet, or they are and the handler has not begun.
	// The idle timeout passes.
	// Cause: a timer of its own closes idle connections, and is taken off only by the handler.
	idle := func() Limits { return Limits{IdleTimeout: shortIdle} }
	for name, test := range map[string]struct {
		cfg  Config
		kept bool
	}{
		"limit set at accept":        {Config{IdleTimeout: shortIdle}, false},
		"limit set after an answer":  {Config{IdleTimeout: shortIdle}, true},
		"limit lowered by settings":  {Config{Limits: idle}, true},
		"lowered, on new connection": {Config{IdleTimeout: shortIdle, Limits: idle}, false},
	} {
		test.cfg.Handler = text("ran")
		t.Run(name+"/handler has not begun", func(t *testing.T) {
			h := startHeld(t, test.cfg)
			for range attempts {
				if spared, counts := h.lateHandler(t, test.kept); counts {
					if !spared {
						t.Fatal("a request that was read got no answer")
					}
					return
				}
			}
			t.Fatal("no request was read in time")
		})
		t.Run(name+"/bytes are not read", func(t *testing.T) {
			h := startHeld(t, test.cfg)
			for range attempts {
				if spared, counts := h.lateReading(t, test.kept); counts {
					if !spared {
						t.Fatal("a request that arrived in time got no answer")
					}
					return
				}
			}
			t.Fatal("no request was sent in time")
		})
	}
}

// lateHandler has a request read in time and handled later than the idle timeout. The
// attempt counts if the request was read.
func (h *heldServer) lateHandler(t *testing.T, kept bool) (spared, counts bool) {
	c := dial(t, h.Server)
	r := bufio.NewReader(c)
	if kept && !get(c, r) {
		return false, false
	}
	h.handlers.shut()
	_, _ = io.WriteString(c, plainRequest)
	for end := time.Now().Add(shortIdle); h.busy() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	counts = h.busy() == 1
	time.Sleep(2 * shortIdle)
	h.handlers.open()
	return answered(r), counts
}

// lateReading has a request arrive in time and read later than the idle timeout. The
// attempt counts if the request was sent in time.
func (h *heldServer) lateReading(t *testing.T, kept bool) (spared, counts bool) {
	c, other := dial(t, h.Server), dial(t, h.Server)
	begun := time.Now()
	r := bufio.NewReader(c)
	if kept && !get(c, r) {
		return false, false
	}
	h.reading.shut()
	before := h.reads.Load()
	_, _ = io.WriteString(other, plainRequest)
	await(t, "the reading goroutine is held", func() bool { return h.reads.Load() > before })
	_, _ = io.WriteString(c, plainRequest)
	counts = time.Since(begun) < shortIdle
	time.Sleep(2 * shortIdle)
	h.reading.open()
	return answered(r), counts
}

func TestRefusalDoesNotTruncatePreviousAnswer(t *testing.T) {
	// Symptom: a stream breaks off ReadTimeout after something unreadable came behind its request.
	// Sequence: a request is handled for longer than the read timeout; bytes that are no request
	// follow on its connection.
	// Cause: the refusal of the latter sets a deadline for the connection, and nothing takes it off.
	const readTimeout = 50 * time.Millisecond
	begun, release := make(chan struct{}), make(chan struct{})
	s := start(t, Config{ReadTimeout: readTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = io.WriteString(w, "ran")
	})})
	c := dial(t, s)
	r := bufio.NewReader(c)
	_, _ = io.WriteString(c, plainRequest)
	<-begun
	_, _ = io.WriteString(c, "no request\r\n\r\n")
	time.Sleep(4 * readTimeout)
	close(release)
	if !answered(r) {
		t.Fatal("the request before the unreadable one got no answer")
	}
	if status, _ := readKind(t, r); status != http.StatusBadRequest {
		t.Fatalf("got %d for the unreadable one", status)
	}
	if _, err := r.ReadByte(); err == nil {
		t.Fatal("something follows the refusal")
	}
}

func TestSlowSenderIsRejectedOrServed(t *testing.T) {
	// Symptom: a caller gets two answers to one request, or a request that was refused as too
	// slow runs.
	// Sequence: the time for a request ends at the moment at which its last bytes are read.
	// Cause: the timer looks whether the request is still being read, and refuses it later.
	var ran atomic.Int64
	s := start(t, Config{ReadTimeout: 100 * time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ran.Add(1)
		_, _ = io.WriteString(w, "ran")
	})})
	c := dial(t, s)
	r := bufio.NewReader(c)
	if !get(c, r) {
		t.Fatal("no answer")
	}
	ran.Store(0)
	conn := s.only(t)
	var refusing atomic.Bool
	inParser(conn, func(p *nbhttp.Parser) {
		execute := p.Execute
		p.Execute = func(f func()) bool {
			if refusing.CompareAndSwap(false, true) {
				_, _ = io.WriteString(c, plainRequest[10:])
				for end := time.Now().Add(shortIdle); conn.openRequests.Load() == 0 && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
			}
			return execute(f)
		}
	})
	_, _ = io.WriteString(c, plainRequest[:10])
	res, err := http.ReadResponse(r, nil)
	testutil.NoError(t, err)
	_, _ = io.Copy(io.Discard, res.Body)
	rest, _ := io.ReadAll(r)
	refused := res.StatusCode == http.StatusRequestTimeout
	if strings.Contains(string(rest), "HTTP/1.1") || refused == (ran.Load() > 0) {
		t.Fatalf("status %d, ran %d times, then came %q", res.StatusCode, ran.Load(), rest)
	}
}

// only is the server's one connection.
func (s *Server) only(t *testing.T) *trackedConn {
	t.Helper()
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	for _, c := range s.conns.m {
		return c
	}
	t.Fatal("no connection")
	return nil
}

// inParser gives f the parser of a connection that is not being read.
func inParser(c *trackedConn, f func(p *nbhttp.Parser)) {
	g := c.Session().(*guard)
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.parser)
}
