// Package deadline is the filter that bounds a routed request by the caller's timeout and the
// route's timeout, whichever is shorter.
package deadline

import (
	"context"
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// Filter implements filter.Filter.
type Filter struct{}

// ServeHTTP sets the exchange's Deadline and cancels the request's context when it passes.
func (Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	limit := x.Route.Timeout.Std()
	if x.CallerTimeout > 0 {
		limit = min(limit, x.CallerTimeout)
	}
	x.Deadline = x.Arrived.Add(limit)
	cause := errkind.New(errkind.DeadlineExceeded, "the answer was not complete within %v", limit)
	ctx, cancel := context.WithDeadlineCause(r.Context(), x.Deadline, cause)
	defer cancel()
	return next.ServeHTTP(w, r.WithContext(ctx))
}
