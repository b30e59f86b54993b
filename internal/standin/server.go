package standin

import (
	"context"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// idlePoll is how often a leaving server checks whether its streams have finished.
const idlePoll = 20 * time.Millisecond

// Server is one fake backend server.
type Server struct {
	opts     Options
	engine   *engine
	catalog  *catalog
	runs     *runCounts
	faults   faultState
	unnamed  atomic.Int64
	calls    atomic.Int64
	leaving  atomic.Bool
	closed   atomic.Bool // no more work is accepted
	listener *faultListener
	http     *http.Server
	announce *announcer
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

// New returns a Server that does not listen yet.
func New(opts Options) *Server {
	opts = opts.withDefaults(time.Now())
	return &Server{
		opts:    opts,
		engine:  newEngine(opts),
		catalog: &catalog{models: opts.Models, adapters: opts.Adapters, role: opts.Role},
		runs:    &runCounts{entries: map[string]int{}},
	}
}

// Handler returns the server's complete HTTP API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.withCommonHeaders(s.postCompletion))
	mux.HandleFunc("POST /v1/completions", s.withCommonHeaders(s.postCompletion))
	mux.HandleFunc("GET /v1/streams/{id}", s.getStream)
	mux.HandleFunc("POST /v1/streams/{id}/cancel", s.cancelStream)
	mux.HandleFunc("GET /kv/{id}", s.exportKV)
	mux.HandleFunc("POST /kv/{id}", s.importKV)
	mux.HandleFunc("POST /orders", s.postOrder)
	mux.HandleFunc("GET /orders", s.getOrders)
	mux.HandleFunc("/services/{name}/lookup", s.withCommonHeaders(s.lookup))
	mux.HandleFunc("POST /services/{name}/entries", s.withCommonHeaders(s.postEntry))
	mux.HandleFunc("POST /debug/faults", s.postFaults)
	mux.HandleFunc("GET /debug/runs", s.getRuns)
	return mux
}

// withCommonHeaders adds the rate limit that is in force to the headers of each answer, and removes
// its framing if that fault is injected.
func (s *Server) withCommonHeaders(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.faults.get().Unframed {
			w.Header().Set("Transfer-Encoding", "identity") // net/http then sends no other framing
		}
		if limit := s.faults.get().RateLimit; limit != nil {
			w.Header().Set(HeaderRateLimit, strconv.FormatFloat(*limit, 'g', -1, 64))
		}
		h(w, r)
	}
}

// Start starts listening, serving and announcing, until Leave or Close.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.opts.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.listener = newFaultListener(l)
	s.announce = newAnnouncer(s, l.Addr().String())
	s.http = &http.Server{
		Handler:     s.Handler(),
		ConnContext: withConn,
		ErrorLog:    log.New(discard{}, "", 0),
	}
	s.wg.Go(func() { s.engine.run(ctx) })
	s.wg.Go(func() { s.announce.run(ctx) })
	s.wg.Go(func() { _ = s.http.Serve(s.listener) })
	return nil
}

// discard drops net/http's log messages about connections that were cut by an injected fault.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Leave announces that the server is leaving, accepts work for another LeaveGrace, then waits
// until all streams have finished and closes the server. If ctx ends first, it closes the server
// at once.
func (s *Server) Leave(ctx context.Context) error {
	s.leaving.Store(true)
	s.announce.announceNow()
	sleepUntil(ctx, time.Now().Add(s.opts.LeaveGrace))
	s.closed.Store(true)
	for !s.idle() && ctx.Err() == nil {
		sleepUntil(ctx, time.Now().Add(idlePoll))
	}
	if ctx.Err() == nil {
		_ = s.http.Shutdown(ctx)
	}
	s.Close()
	return errors.Wrap(ctx.Err(), "leave")
}

func (s *Server) idle() bool { return s.engine.idle() && s.calls.Load() == 0 }

// Close stops the server immediately.
func (s *Server) Close() {
	s.stop()
	_ = s.http.Close()
	s.listener.closeAll()
	s.wg.Wait()
}

// die terminates the process as a crash would.
func (s *Server) die() {
	if s.opts.OnDie != nil {
		s.opts.OnDie()
	}
}

// acceptsWork reports whether new work is accepted. If an injected fault or leaving prevents it,
// it sends a refusal.
func (s *Server) acceptsWork(w http.ResponseWriter) bool {
	if f := s.faults.get(); f.Refuse {
		if f.RetryAfter != "" {
			w.Header().Set("Retry-After", f.RetryAfter)
		}
		reject(w, http.StatusServiceUnavailable, "refused", "an injected fault rejects all work")
		return false
	}
	if s.closed.Load() {
		reject(w, http.StatusServiceUnavailable, "leaving", "this server is leaving")
		return false
	}
	return true
}
