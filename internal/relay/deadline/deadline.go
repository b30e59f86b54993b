// Package deadline is the filter that bounds a routed request by the caller's patience
// and the route's timeout, whichever ends first.
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

// ServeHTTP sets the exchange's Deadline and ends the request's context with it.
func (Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	limit := x.Route.Timeout.Std()
	if x.CallerTimeout > 0 {
		limit = min(limit, x.CallerTimeout)
	}
	x.Deadline = x.Arrived.Add(limit)
	cause := errkind.New(errkind.DeadlineExceeded, "no whole answer within %v", limit)
	ctx, cancel := context.WithDeadlineCause(r.Context(), x.Deadline, cause)
	defer cancel()
	return next.ServeHTTP(w, r.WithContext(ctx))
}
