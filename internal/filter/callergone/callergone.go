// Package callergone ends a call's context once its caller has closed the connection.
package callergone

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog/log"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/panics"
)

// DefaultInterval between two looks at the connections.
const DefaultInterval = 50 * time.Millisecond

// Filter watches the connections of all calls with one goroutine, which runs while
// there are any. nbhttp reports a closed connection to nobody, it has to be polled.
type Filter struct {
	// Interval between two looks; 0: the default.
	Interval time.Duration
	// Closed tells whether the caller's connection is closed; nil: httpserver.ConnClosed.
	Closed func(w http.ResponseWriter) bool
	// ID is the id of a call in the log, by which its connection's line is found; nil: none.
	ID func(ctx context.Context) string

	mu      sync.Mutex
	watched map[*watch]struct{}
	running bool
}

type watch struct {
	w      http.ResponseWriter
	cancel context.CancelCauseFunc
}

// ServeHTTP implements filter.Filter.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	if f.ID != nil {
		httpserver.NameRequest(w, f.ID(r.Context()))
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	entry := &watch{w: w, cancel: cancel}
	f.add(entry)
	defer f.remove(entry)
	return next.ServeHTTP(w, r.WithContext(ctx))
}

func (f *Filter) add(e *watch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watched == nil {
		f.watched = make(map[*watch]struct{})
	}
	f.watched[e] = struct{}{}
	if !f.running {
		f.running = true
		go f.run()
	}
}

// remove waits for a look under way: w must not be touched after the handler returns.
func (f *Filter) remove(e *watch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.watched, e)
}

func (f *Filter) run() {
	interval := f.Interval
	if interval <= 0 {
		interval = DefaultInterval
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	for range t.C {
		if !f.lookSafely() {
			return
		}
	}
}

// lookSafely is look; a panic costs one look.
func (f *Filter) lookSafely() (more bool) {
	defer panics.Log(log.Logger, "watching callers")
	more = true // after a panic
	return f.look()
}

// look cancels the calls whose callers have gone; false ends the watching.
func (f *Filter) look() bool {
	closed := f.Closed
	if closed == nil {
		closed = httpserver.ConnClosed
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for e := range f.watched {
		if closed(e.w) {
			e.cancel(goneError(e.w))
			delete(f.watched, e)
		}
	}
	f.running = len(f.watched) > 0
	return f.running
}

// goneError says who closed the connection below w.
//
// What goes wrong without the difference: a connection that the server closed under a
// request stands in the log as a caller that left, and nobody looks for the server's fault.
func goneError(w http.ResponseWriter) error {
	cause, known := httpserver.CloseCause(w)
	if !known || cause.ByCaller() {
		return errkind.New(errkind.CallerGone, "the caller closed its connection")
	}
	return errkind.New(errkind.Internal, "this host closed the caller's connection: %s", cause)
}
