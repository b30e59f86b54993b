// Package httpserver runs an http.Handler on nbio's nbhttp. It adds what a router needs and
// nbhttp lacks: limits for bodies and slow senders, beyond which callers get a refusal; a
// drain that truncates no answer; and a way to detect that a caller has disconnected.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/log"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Defaults of a Config.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultReadTimeout    = 10 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
	DefaultStreams        = 4096
	DefaultMaxQueuedBytes = 16 << 20
	DefaultStallTimeout   = 10 * time.Second
	drainPoll             = 5 * time.Millisecond
	overloadedRetry       = time.Second
	// readsPerEvent bounds how often one connection is read before others get their turn.
	readsPerEvent = 3
	// smallRequest is the size, in bytes, up to which a request counts as small for
	// MaxBodiesBytes. For small requests that bound is higher by 1/smallShare of it.
	smallRequest = 64 << 10
	smallShare   = 4
	// DefaultMaxHeaderBytes is what most servers accept.
	DefaultMaxHeaderBytes = 64 << 10
)

// Limits of what callers may send and how long they may take.
type Limits struct {
	// HeaderBytes bounds the request line and the headers, BodyBytes the body.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time from the first byte of a request to the end of its
	// headers.
	HeaderTimeout time.Duration
	// IdleTimeout closes a connection on which no request begins.
	IdleTimeout time.Duration
}

// Config of a Server. Zero fields take the defaults above.
type Config struct {
	// Name is the server's name in log lines.
	Name string
	// Address to listen on, an IP address and port; port 0 picks a free one.
	Address string
	// TLS enables TLS. The type is that of nbio's own TLS stack.
	TLS     *tls.Config
	Handler http.Handler
	// MaxHeaderBytes bounds the request line and headers; longer ones are rejected with
	// HeadersTooLarge.
	MaxHeaderBytes int64
	// MaxBodyBytes bounds a request body; a longer one is rejected with BodyTooLarge.
	MaxBodyBytes int64
	// MaxBodiesBytes bounds the bytes held of all requests together, from the first byte of
	// each until it is answered; 0: no bound. Beyond it a request is rejected as Overloaded
	// before its handler runs; small requests may use a quarter more.
	//
	// Each caller may send a body of several megabytes. Without the bound, some tens of them
	// at once could exceed the process's memory limit; the system would then kill the process
	// and end all its requests.
	MaxBodiesBytes int64
	// ReadTimeout bounds the time from the first byte of a request to its last; a slower one
	// is rejected with RequestTimeout.
	ReadTimeout time.Duration
	// IdleTimeout closes a connection on which no request begins.
	IdleTimeout time.Duration
	// Streams bounds the number of handlers that run at once; each uses a goroutine. Further
	// requests are rejected as Overloaded rather than queued, because a queue here could hold
	// them past their deadlines unnoticed.
	Streams int
	// NeverShed reports whether a request is exempt from Streams, such as announcements and
	// health checks, which an overloaded host still has to answer. Nil: none is.
	NeverShed func(r *http.Request) bool
	// MaxQueuedBytes bounds the bytes queued for a caller that does not read; beyond it the
	// connection is closed.
	MaxQueuedBytes int
	// RequestsPerConnection is the number of requests on one connection after which its caller
	// is asked to close it and choose again where to connect; 0: no limit.
	//
	// Callers choose an address at random for each connection and keep it. Without a limit,
	// where few callers send most requests, one host may get ten times as many as another for
	// as long as those connections last.
	RequestsPerConnection int64
	// Hold returns the account of a connection's queue. Nil: none is kept.
	Hold func() Held
	// StallTimeout is how long a caller may acknowledge nothing of what is queued for it before it is
	// disconnected. It applies with Hold only.
	StallTimeout time.Duration
	// Pausable lets the server refuse connections for a while, see Server.Pause.
	Pausable bool
	// CountBytes is called with the numbers of bytes received from callers and sent to them; nil: no
	// call.
	CountBytes func(in, out int)
	// Limits returns limits that may change while the server runs. A field takes effect only if
	// it is positive and lower than the corresponding field of this Config. Nil: no further
	// limits.
	Limits func() Limits
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Name, "http")
	defaults.Set(&c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	defaults.Set(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	defaults.Set(&c.ReadTimeout, DefaultReadTimeout)
	defaults.Set(&c.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&c.Streams, DefaultStreams)
	defaults.Set(&c.MaxQueuedBytes, DefaultMaxQueuedBytes)
	defaults.Set(&c.StallTimeout, DefaultStallTimeout)
	return c
}

// Server serves one address.
type Server struct {
	cfg      Config
	engine   *nbhttp.Engine
	address  string
	inFlight atomic.Int64
	// opened counts the connections accepted.
	opened atomic.Int64
	// heldBytes is the number of request bytes in memory that count toward MaxBodiesBytes.
	heldBytes atomic.Int64
	draining  atomic.Bool
	// closeAfterAnswer: answers ask callers to close their connections.
	closeAfterAnswer atomic.Bool
	conns            connSet
	closes           *closeCounters
	idle             idleWatch
	// stopping is closed when the server no longer accepts connections.
	stopping chan struct{}
	stopOnce sync.Once
	// pausable is nil unless Config.Pausable.
	pausable *pausableListener
	// barrier is set when started is closed.
	barrier *pollBarrier
	started chan struct{}
	writes  writeTracker
	// cancelRequests cancels the contexts of all requests.
	cancelRequests context.CancelCauseFunc
	log            zerolog.Logger
}

// New returns a server; Start makes it listen.
func New(cfg Config) *Server {
	s := &Server{
		cfg: cfg.withDefaults(), log: log.Logger, closes: newCloseCounters(), started: make(chan struct{}), stopping: make(chan struct{}),
	}
	requests, cancel := context.WithCancelCause(context.Background())
	s.cancelRequests = cancel
	conf := nbhttp.Config{
		Context:            requests,
		Cancel:             func() { cancel(nil) },
		Name:               s.cfg.Name,
		Network:            "tcp",
		Handler:            http.HandlerFunc(s.serve),
		ServerExecutor:     func(f func()) { go f() },
		KeepaliveTime:      libraryKeepalive,
		ReadLimit:          int(s.cfg.MaxBodyBytes + s.cfg.MaxHeaderBytes),
		MaxWriteBufferSize: s.cfg.MaxQueuedBytes,
		SupportServerOnly:  true,
		// The barrier supports one poller. It only reads and parses; handlers have their own
		// goroutines.
		NPoller: 1,
	}
	if s.cfg.TLS != nil {
		conf.AddrsTLS = []string{s.cfg.Address}
		conf.TLSConfig = s.cfg.TLS
	} else {
		conf.Addrs = []string{s.cfg.Address}
	}
	setLibraryLog()
	s.idle.server = s
	limitDescriptors()
	s.engine = nbhttp.NewEngine(conf)
	s.engine.Engine.OnOpen(s.onOpen)
	s.engine.Engine.OnRead(s.read)
	s.engine.Engine.OnWrittenSize(onWritten)
	s.engine.OnClose(s.onClose)
	s.engine.OnAcceptError(s.onAcceptError)
	return s
}

// limits returns the limits now in force.
func (s *Server) limits() Limits {
	out := Limits{
		HeaderBytes: s.cfg.MaxHeaderBytes, BodyBytes: s.cfg.MaxBodyBytes, HeaderTimeout: s.cfg.ReadTimeout,
		IdleTimeout: s.cfg.IdleTimeout,
	}
	if s.cfg.Limits == nil {
		return out
	}
	in := s.cfg.Limits()
	lower(&out.HeaderBytes, in.HeaderBytes)
	lower(&out.BodyBytes, in.BodyBytes)
	lower(&out.HeaderTimeout, in.HeaderTimeout)
	lower(&out.IdleTimeout, in.IdleTimeout)
	return out
}

// lower sets bound to limit if that is lower and not zero.
func lower[T int64 | time.Duration](bound *T, limit T) {
	if limit > 0 && limit < *bound {
		*bound = limit
	}
}

// Start listens and serves in the background. It returns when the poller runs.
//
// A server may be stopped right after it was started, for example when the next address of a
// process is in use. A poller of nbio clears its shutdown flag when its goroutine begins. If it
// began after the stop, it would run forever and use up a processor, and the process would wait
// for it and neither serve nor exit.
func (s *Server) Start() error {
	// If nbhttp can't listen, it stops its engine and waits for loops that have not begun.
	listener, err := s.engine.Listen("tcp", s.cfg.Address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.cfg.Address)
	}
	if s.cfg.Pausable {
		s.pausable = newPausableListener(listener, s.engine.Listen)
		listener = s.pausable
	}
	s.engine.Listen = func(string, string) (net.Listener, error) { return listener, nil }
	if err := s.engine.Start(); err != nil {
		return errors.Wrapf(err, "listen on %s", s.cfg.Address)
	}
	barrier, err := newPollBarrier(s.engine.Engine, &s.writes)
	if err != nil {
		close(s.stopping) // connections accepted in the meantime wait for started
		_ = listener.Close()
		return err
	}
	barrier.wait()
	s.barrier = barrier
	close(s.started)
	if s.cfg.TLS != nil {
		s.address = s.engine.AddrsTLS[0]
	} else {
		s.address = s.engine.Addrs[0]
	}
	log.Info().Str("event", "listening").Str("server", s.cfg.Name).Str("address", s.address).Bool("tls", s.cfg.TLS != nil).Send()
	return nil
}

// Address returns the address listened on, with the port that was picked.
func (s *Server) Address() string { return s.address }

// InFlight returns the number of requests whose handler has not returned.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// serve wraps the handler: it counts the request, enforces Streams and turns a panic into an
// answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	running := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	conn := underlyingConn(w)
	if conn != nil && conn.closeReason.Load() != nil {
		return // the answer to an earlier request was aborted, so this one can't be answered
	}
	res := &response{ResponseWriter: w, request: r, conn: conn, mayChunk: r.ProtoAtLeast(1, 1)}
	defer res.handlerReturned.Store(true)
	// nbhttp closes the connection right after an answer to "Connection: close", even if part
	// of the answer is still queued; the caller would get a truncated answer. Instead the
	// caller is asked to close the connection, which it does after the last byte.
	if s.isLastRequest(res.conn) || r.Close || s.closeAfterAnswer.Load() || s.draining.Load() {
		r.Close = false
		w.Header().Set("Connection", "close")
	}
	defer s.recoverPanic(res)
	if s.draining.Load() {
		WriteError(res, "", errkind.New(errkind.HostLeaving, "this host is shutting down"))
		return
	}
	if running > int64(s.cfg.Streams) && !s.neverShed(r) {
		WriteError(res, "", errkind.New(errkind.Overloaded, "%d requests are in flight at this host", running).After(overloadedRetry))
		return
	}
	trimValues(r)
	s.cfg.Handler.ServeHTTP(res, r)
}

// trimValues removes the white space around the values of a request's headers, of which nbhttp leaves a part.
func trimValues(r *http.Request) {
	r.Host = strings.Trim(r.Host, " \t")
	for _, values := range r.Header {
		for i, value := range values {
			values[i] = strings.Trim(value, " \t")
		}
	}
}

// isLastRequest counts a request on its connection and reports whether it is the last one
// allowed there.
func (s *Server) isLastRequest(c *trackedConn) bool {
	if c == nil {
		return false
	}
	n := c.requests.Add(1)
	return s.cfg.RequestsPerConnection > 0 && n >= s.cfg.RequestsPerConnection
}

func (s *Server) neverShed(r *http.Request) bool {
	return s.cfg.NeverShed != nil && s.cfg.NeverShed(r)
}

// recoverPanic answers the request of a handler that panicked. Without it nbhttp swallows the
// panic and the caller waits for an answer that never comes.
func (s *Server) recoverPanic(w *response) {
	p := recover()
	if p == nil {
		return
	}
	log.Error().Str("event", "handler-panicked").Str("server", s.cfg.Name).Interface("panic", p).Str("stack", string(debug.Stack())).Send()
	if !w.begun {
		WriteError(w, "", errkind.New(errkind.Internal, "internal error: the handler of the request panicked"))
		return
	}
	// The caller has received part of an answer; only a closed connection shows that the rest
	// won't follow.
	w.abort()
}

// Pause makes the system refuse new connections until Resume is called. Open connections are served as
// before. Without Config.Pausable it does nothing.
func (s *Server) Pause() {
	if s.pausable != nil {
		s.pausable.pause()
	}
}

// Resume ends a Pause. After an error the server is still paused.
func (s *Server) Resume() error {
	if s.pausable == nil {
		return nil
	}
	return s.pausable.resume()
}

// CloseAfterAnswers asks every caller with its next answer to close its connection, so that it
// chooses again where to connect.
func (s *Server) CloseAfterAnswers() { s.closeAfterAnswer.Store(true) }

// Drain stops accepting requests, waits until every handler has returned and every answer is
// passed to the kernel, then closes. Requests that arrive in the meantime are rejected with
// HostLeaving. If ctx ends first, the contexts of the remaining requests are canceled, their
// connections are closed if they have no answer within finalAnswerTimeout, and ctx's error is
// returned.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	err := s.awaitDrained(ctx)
	if err == nil {
		s.stop()
		return nil
	}
	s.endRequests()
	// Stop waits for handlers; the remaining ones find their connections closed and return.
	go s.stop()
	return err
}

// finalAnswerTimeout is how long handlers have to answer once their requests' contexts are
// canceled. An answer takes a millisecond; a host short of processor time pauses for up to 80
// ms.
const finalAnswerTimeout = 200 * time.Millisecond

// endRequests cancels the contexts of all requests and waits for their answers. If the
// connections were closed at once, callers whose requests wait for a silent server would get a
// closed connection instead of an answer with what is known about the run.
func (s *Server) endRequests() {
	s.cancelRequests(errkind.New(errkind.HostLeaving, "this host shut down before the answer arrived"))
	ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTimeout)
	defer cancel()
	if err := s.awaitDrained(ctx); err != nil {
		log.Warn().Str("event", "requests-cut").Str("server", s.cfg.Name).Int("requests", s.InFlight()).Send()
	}
}

// stopTimeout bounds the wait for the end of nbio's loops. Nothing is served by then.
const stopTimeout = time.Second

// stop closes the listener and all connections.
func (s *Server) stop() {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.stopOnce.Do(s.stopEngine)
	}()
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
		log.Warn().Str("event", "server-not-stopped").Str("server", s.cfg.Name).Dur("after", stopTimeout).Send()
	}
}

// stopEngine stops nbio. A connection that was accepted but not yet registered when nbio
// closed all known connections is closed here: nbio waits for its end, and its caller for an
// answer.
func (s *Server) stopEngine() {
	close(s.stopping)
	if s.barrier != nil {
		s.barrier.stop()
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.engine.Stop()
	}()
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for {
		select {
		case <-ended:
			return
		case <-t.C:
		}
		for _, c := range s.conns.appendTo(nil) {
			_ = c.Conn.Close()
		}
	}
}

func (s *Server) awaitDrained(ctx context.Context) error {
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for {
		if s.InFlight() == 0 && s.conns.isDrained() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "drain with %d requests in flight", s.InFlight())
		case <-t.C:
		}
	}
}

// onOpen runs on the accepting goroutine, before the poller knows the connection.
func (s *Server) onOpen(c *nbio.Conn) {
	p, ok := c.Session().(*nbhttp.Parser)
	if !ok {
		return
	}
	hc, ok := p.Conn.(*nbhttp.Conn)
	if !ok {
		return
	}
	if !s.admit() {
		_ = c.Close() // not registered with nbio, which may already have closed all others
		return
	}
	tracked := &trackedConn{Conn: c, server: s, opened: time.Now()}
	if s.cfg.Hold != nil {
		tracked.held = s.cfg.Hold()
		tracked.boundUnsent()
	}
	switch below := hc.Conn.(type) {
	case *nbio.Conn:
		hc.Conn = tracked
	case *tls.Conn:
		below.ResetConn(tracked, true)
	}
	s.opened.Add(1)
	p.Processor = newProcessor(tracked)
	c.SetSession(&guard{server: s, conn: tracked, parser: p})
	handovers.Add(1)
	s.conns.add(tracked) // must be last: the idle watch sees the connection from here on
	s.idle.start()
}

// admit waits until an accepted connection may be registered; false if the server stops.
func (s *Server) admit() bool {
	select {
	case <-s.started:
		s.barrier.await()
	case <-s.stopping:
	}
	select {
	case <-s.stopping:
		return false
	default:
		return true
	}
}

// read reads and processes what has arrived on a connection. It runs on the poller's
// goroutine.
//
// nbio must not read by itself, because it would hold the bytes of a request for a moment that
// no lock covers, in which the connection has nothing unread and no request open. Closing it
// as idle at that moment would lose the request.
func (s *Server) read(c *nbio.Conn) {
	handovers.Load()
	if b, ok := c.Session().(*pollBarrier); ok {
		b.read(c, s.engine.PollerBuffer(c))
		return
	}
	g := guardOf(c)
	if g == nil {
		_ = c.CloseWithError(&closeError{cause: CauseLibrary})
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	buffer := s.engine.PollerBuffer(c)
	for range readsPerEvent {
		n, err := c.Read(buffer)
		if n > 0 {
			s.countBytes(n, 0)
			c.DataHandler()(c, buffer[:n])
		}
		switch {
		case n == 0 && err == nil:
			g.conn.endRead.Store(true) // the event reports it as well, and nbio then closes the connection
			return
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err != nil:
			_ = c.CloseWithError(err)
			return
		case n < len(buffer):
			return
		}
	}
}
