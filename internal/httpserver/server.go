// Package httpserver runs an http.Handler on nbio's nbhttp. It adds what callers
// of a router need and nbhttp leaves open: bounded bodies and slow senders that
// get a plain answer, a drain that cuts nothing in flight, and a way to see that
// a caller has gone.
package httpserver

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
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
	drainPoll             = 5 * time.Millisecond
	overloadedRetry       = time.Second
	// DefaultMaxHeaderBytes is what most servers take.
	DefaultMaxHeaderBytes = 64 << 10
)

// Limits of what callers may send, and how long they may take.
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
	// Name stands in log lines.
	Name string
	// Address to listen on, an IP number and port; port 0 picks a free one.
	Address string
	// TLS makes the server speak TLS. The type is that of nbio's own TLS stack.
	TLS     *tls.Config
	Handler http.Handler
	// MaxHeaderBytes bounds the request line and headers; longer ones are refused with
	// HeadersTooLarge.
	MaxHeaderBytes int64
	// MaxBodyBytes bounds a request body; a longer one is refused with BodyTooLarge.
	MaxBodyBytes int64
	// ReadTimeout bounds the time from the first byte of a request to its last; a slower
	// one is refused with RequestTimeout.
	ReadTimeout time.Duration
	// IdleTimeout closes a connection on which no request begins.
	IdleTimeout time.Duration
	// Streams bounds the handlers that run at once; each holds a goroutine. Further
	// requests are refused as Overloaded rather than queued: a queue here would hold
	// them past their deadlines unseen.
	Streams int
	// Always names requests that Streams doesn't refuse, such as announcements and
	// health checks, which an overloaded host still has to answer. Nil: none.
	Always func(r *http.Request) bool
	// MaxQueuedBytes bounds what is kept for a caller who does not read; then its
	// connection is closed.
	MaxQueuedBytes int
	// RequestsPerConnection is after how many requests on one connection its caller is told
	// to close it, so that it chooses anew where to connect; 0: never.
	//
	// What goes wrong without a bound: callers choose an address at random for each
	// connection and keep it. Where few callers send most requests, one host gets ten times
	// as many as another for as long as they live.
	RequestsPerConnection int64
	// Limits gives limits that may change while the server runs. A field that is zero, or
	// greater than what this Config says, counts as what this Config says. Nil: as all zero.
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
	return c
}

// Server serves one address.
type Server struct {
	cfg      Config
	engine   *nbhttp.Engine
	address  string
	inFlight atomic.Int64
	draining atomic.Bool
	// closing: answers tell callers to close their connections.
	closing  atomic.Bool
	conns    connSet
	stopOnce sync.Once
}

// New makes a server; Start makes it listen.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg.withDefaults()}
	conf := nbhttp.Config{
		Name:               s.cfg.Name,
		Network:            "tcp",
		Handler:            http.HandlerFunc(s.serve),
		ServerExecutor:     func(f func()) { go f() },
		KeepaliveTime:      s.cfg.IdleTimeout,
		ReadLimit:          int(s.cfg.MaxBodyBytes + s.cfg.MaxHeaderBytes),
		MaxWriteBufferSize: s.cfg.MaxQueuedBytes,
		SupportServerOnly:  true,
	}
	if s.cfg.TLS != nil {
		conf.AddrsTLS = []string{s.cfg.Address}
		conf.TLSConfig = s.cfg.TLS
	} else {
		conf.Addrs = []string{s.cfg.Address}
	}
	setLibraryLog()
	s.engine = nbhttp.NewEngine(conf)
	s.engine.Engine.OnOpen(s.onOpen)
	s.engine.Engine.OnWrittenSize(onWritten)
	s.engine.OnClose(s.onClose)
	return s
}

// limits are those in force now.
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

// Start listens and serves in the background.
func (s *Server) Start() error {
	if err := s.engine.Start(); err != nil {
		return errors.Wrapf(err, "listen on %s", s.cfg.Address)
	}
	if s.cfg.TLS != nil {
		s.address = s.engine.AddrsTLS[0]
	} else {
		s.address = s.engine.Addrs[0]
	}
	log.Info().Str("event", "listening").Str("server", s.cfg.Name).Str("address", s.address).Bool("tls", s.cfg.TLS != nil).Send()
	return nil
}

// Address is the address listened on, with the port that was picked.
func (s *Server) Address() string { return s.address }

// InFlight is the number of requests whose handler has not returned.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// serve wraps the handler: it counts the request, takes the read deadline off the
// connection and turns a panic into an answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	running := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	res := &response{ResponseWriter: w, mayChunk: r.ProtoAtLeast(1, 1)}
	// nbhttp closes the connection right after an answer to "Connection: close", also
	// when part of the answer still waits in its queue; the caller would see a cut
	// answer. The caller is told to close instead, which it does after the last byte.
	if r.Close || s.closing.Load() || s.draining.Load() || s.wornOut(w) {
		r.Close = false
		w.Header().Set("Connection", "close")
	}
	clearReadDeadline(w)
	defer s.recoverPanic(res)
	if s.draining.Load() {
		WriteError(res, "", errkind.New(errkind.HostLeaving, "this host is shutting down"))
		return
	}
	if running > int64(s.cfg.Streams) && !s.always(r) {
		WriteError(res, "", errkind.New(errkind.Overloaded, "%d requests are in flight at this host", running).After(overloadedRetry))
		return
	}
	s.cfg.Handler.ServeHTTP(res, r)
}

// wornOut counts a request on its connection and tells whether it is the last one there.
func (s *Server) wornOut(w http.ResponseWriter) bool {
	c := nbioConn(w)
	if s.cfg.RequestsPerConnection == 0 || c == nil {
		return false
	}
	t := trackedOf(c)
	return t != nil && t.requests.Add(1) >= s.cfg.RequestsPerConnection
}

func (s *Server) always(r *http.Request) bool {
	return s.cfg.Always != nil && s.cfg.Always(r)
}

// recoverPanic answers a panicking handler's request. Without it nbhttp swallows
// the panic and the caller waits for an answer that never comes.
func (s *Server) recoverPanic(w *response) {
	p := recover()
	if p == nil {
		return
	}
	log.Error().Str("event", "handler-panicked").Str("server", s.cfg.Name).Interface("panic", p).Str("stack", string(debug.Stack())).Send()
	if !w.begun {
		WriteError(w, "", errkind.New(errkind.Internal, "a fault of the server"))
		return
	}
	// The caller has part of an answer: only a broken connection tells it so.
	Abort(w)
}

// CloseAfterAnswers tells every caller with its next answer to close its connection, so
// that it asks anew where to connect.
func (s *Server) CloseAfterAnswers() { s.closing.Store(true) }

// Drain stops taking work and waits until every handler has returned and every
// answer is handed to the kernel, then closes. Requests that arrive meanwhile are
// refused with HostLeaving. When ctx ends first, what is left is cut and ctx's
// error returned.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	err := s.awaitQuiet(ctx)
	if err != nil {
		// Stop waits for handlers; those left see their connections closed and end.
		go s.stop()
		return err
	}
	s.stop()
	return nil
}

func (s *Server) stop() { s.stopOnce.Do(s.engine.Stop) }

func (s *Server) awaitQuiet(ctx context.Context) error {
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for {
		if s.InFlight() == 0 && s.conns.quiet() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "drain with %d requests in flight", s.InFlight())
		case <-t.C:
		}
	}
}

func (s *Server) onOpen(c *nbio.Conn) {
	p, ok := c.Session().(*nbhttp.Parser)
	if !ok {
		return
	}
	hc, ok := p.Conn.(*nbhttp.Conn)
	if !ok {
		return
	}
	tracked := &trackedConn{Conn: c}
	s.conns.add(tracked)
	if hc.Conn == c {
		hc.Conn = tracked
	}
	p.Processor = newProcessor(s, tracked)
	c.SetSession(&guard{server: s, conn: tracked, parser: p})
	handovers.Add(1)
}
