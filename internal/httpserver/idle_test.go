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
	// shortIdle is the idle timeout of these tests. A request that is sent more than shortIdle
	// after the last answer may cross the close and proves nothing; the attempt is then
	// repeated.
	shortIdle = 200 * time.Millisecond
	// attempts bounds the repetitions.
	attempts = 20
)

// gate blocks goroutines that pass it while it is shut.
type gate struct{ mu sync.RWMutex }

func (g *gate) pass() {
	g.mu.RLock()
	defer g.mu.RUnlock()
}

func (g *gate) shut() { g.mu.Lock() }
func (g *gate) open() { g.mu.Unlock() }

// gatedServer is a server in which a test can block the start of handlers and the reading of
// received bytes.
type gatedServer struct {
	*Server
	handlers, reading gate
	// reads counts the pieces that were read.
	reads atomic.Int64
}

func startGated(t *testing.T, cfg Config) *gatedServer {
	t.Helper()
	h := &gatedServer{}
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

// busy returns the number of requests that were read and not yet answered.
func (h *gatedServer) busy() int {
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
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// get sends a request and reports whether the handler answered it.
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
	// Guards against closing an idle connection on which a request has arrived. The request
	// arrives before the idle timeout, but the host is short of processor time: the bytes are
	// not read yet, or they are and the handler has not started when the timeout passes. A
	// separate timer for idle connections, stopped only by the handler, closed the caller's
	// connection 3 ms after the request had been sent on to a server.
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
			h := startGated(t, test.cfg)
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
			h := startGated(t, test.cfg)
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

// lateHandler sends a request that is read in time and handled after the idle timeout. spared
// reports whether it was answered. counts reports whether it was read in time, so that the
// attempt counts.
func (h *gatedServer) lateHandler(t *testing.T, kept bool) (spared, counts bool) {
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

// lateReading sends a request that arrives in time and is read after the idle timeout. spared
// reports whether it was answered. counts reports whether it was sent in time, so that the
// attempt counts.
func (h *gatedServer) lateReading(t *testing.T, kept bool) (spared, counts bool) {
	c, other := dial(t, h.Server), dial(t, h.Server)
	begun := time.Now()
	r := bufio.NewReader(c)
	if kept && !get(c, r) {
		return false, false
	}
	h.reading.shut()
	before := h.reads.Load()
	_, _ = io.WriteString(other, plainRequest)
	await(t, "the reading goroutine is blocked", func() bool { return h.reads.Load() > before })
	_, _ = io.WriteString(c, plainRequest)
	counts = time.Since(begun) < shortIdle
	time.Sleep(2 * shortIdle)
	h.reading.open()
	return answered(r), counts
}

func TestRefusalDoesNotTruncatePreviousAnswer(t *testing.T) {
	// Guards against truncating an answer because of invalid bytes that follow its request.
	// The request is handled for longer than the read timeout; the refusal of the invalid
	// bytes must not set a deadline that closes the connection before the first answer is
	// complete.
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
		t.Fatal("the request before the invalid one got no answer")
	}
	if status, _ := readKind(t, r); status != http.StatusBadRequest {
		t.Fatalf("got status %d for the invalid request", status)
	}
	if _, err := r.ReadByte(); err == nil {
		t.Fatal("further bytes follow the refusal")
	}
}

func TestSlowSenderIsRejectedOrServed(t *testing.T) {
	// Guards against two answers to one request, or a request that runs after it was rejected
	// as too slow: the time for a request ends just when its last bytes are read. The timer
	// must decide and reject under one lock.
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
		t.Fatalf("status %d, ran %d times, then received %q", res.StatusCode, ran.Load(), rest)
	}
}

// only returns the server's only connection.
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

// inParser calls f with the parser of a connection while it is not being read.
func inParser(c *trackedConn, f func(p *nbhttp.Parser)) {
	g := c.Session().(*guard)
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.parser)
}
