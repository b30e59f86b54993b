// Package callergone cancels a call's context once its caller has closed the connection.
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

// DefaultInterval is the default interval between two polls of the connections.
const DefaultInterval = 50 * time.Millisecond

// Filter polls the connections of all calls from one goroutine, which runs while there are any
// calls. Polling is necessary since nbhttp reports closed connections to nobody.
type Filter struct {
	// Interval is the interval between two polls; 0 means DefaultInterval.
	Interval time.Duration
	// Closed reports whether the caller's connection is closed; nil means httpserver.ConnClosed.
	Closed func(w http.ResponseWriter) bool
	// ID returns the ID of a call in the log, by which the line of its connection is found; nil if
	// calls have none.
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

// remove waits for a poll that is under way: w must not be used after the handler returns.
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
		if !f.pollSafely() {
			return
		}
	}
}

// pollSafely is poll, except that a panic only ends the current poll.
func (f *Filter) pollSafely() (more bool) {
	defer panics.Log(log.Logger, "watching callers")
	more = true // the result after a panic
	return f.poll()
}

// poll cancels the calls whose callers have closed their connections. It returns false if no calls
// are left.
func (f *Filter) poll() bool {
	closed := f.Closed
	if closed == nil {
		closed = httpserver.ConnClosed
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for e := range f.watched {
		if closed(e.w) {
			e.cancel(closeError(e.w))
			delete(f.watched, e)
		}
	}
	f.running = len(f.watched) > 0
	return f.running
}

// closeError returns an error that says which side closed the connection of w.
//
// Without the distinction a connection that the host closed during a request would be logged as
// closed by the caller, and the fault in the host would go unnoticed.
func closeError(w http.ResponseWriter) error {
	cause, known := httpserver.CloseCause(w)
	if !known || cause.ByCaller() {
		return errkind.New(errkind.CallerGone, "the caller closed its connection")
	}
	return errkind.New(errkind.Internal, "this host closed the caller's connection: %s", cause)
}
