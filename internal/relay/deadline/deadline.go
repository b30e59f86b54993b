// Package deadline is the filter that bounds a routed request by the caller's timeout and the
// route's timeout, whichever is shorter.
package deadline

import (
	"context"
	"net/http"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// retryAfter is when a caller may retry a request that came too late because of this host's link.
const retryAfter = time.Second

// Filter implements filter.Filter.
type Filter struct {
	// Delay estimates how long messages wait on the way to and from this host; nil: they don't.
	Delay Delay
}

// Delay estimates how long messages wait; *linkdelay.Estimator implements it.
type Delay interface {
	Delay(now time.Time) time.Duration
}

// ServeHTTP sets the exchange's Deadline and cancels the request's context when it passes. The
// deadline counts from when the caller sent the request. A request is rejected if an answer from a
// server, which waits on the link like the request did, can't arrive before it.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	limit := x.Route.Timeout.Std()
	if x.CallerTimeout > 0 {
		limit = min(limit, x.CallerTimeout)
	}
	if f.Delay != nil {
		x.LinkDelay = f.Delay.Delay(time.Now())
	}
	left := limit - x.LinkDelay
	x.Deadline = x.Arrived.Add(left)
	if left < x.LinkDelay {
		return errkind.New(errkind.DeadlineUnreachable,
			"messages to and from this host take %v, and the request may take %v", x.LinkDelay, limit).After(retryAfter)
	}
	cause := errkind.New(errkind.DeadlineExceeded, "the answer was not complete within %v", limit)
	ctx, cancel := context.WithDeadlineCause(r.Context(), x.Deadline, cause)
	defer cancel()
	return next.ServeHTTP(w, r.WithContext(ctx))
}
