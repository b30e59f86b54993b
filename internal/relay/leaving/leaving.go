// Package leaving is the filter by which a host that shuts down rejects requests that it may not complete.
package leaving

import (
	"net/http"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// Filter implements filter.Filter.
type Filter struct {
	// ServesUntil returns when this host ends the requests that still run; ok is false unless it is shutting down.
	ServesUntil func() (end time.Time, ok bool)
}

// ServeHTTP rejects a request that may not be repeated and whose deadline is later than the host serves. A caller can send it
// to another host at once; once it was cut off, nobody may send it again.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	if end, leaving := f.ServesUntil(); leaving && !x.Route.Repeatable() && x.Deadline.After(end) {
		return errkind.New(errkind.HostLeaving, "this host is shutting down and may end before the request does")
	}
	return next.ServeHTTP(w, r)
}
