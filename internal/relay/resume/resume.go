// Package resume is the filter for requests that take up a stream of an earlier attempt of their caller: it
// restricts them to the service and the software version at which the stream began.
package resume

import (
	"net/http"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// movedRetryAfter is when a caller may retry to resume a stream whose service only another routing table
// lets it reach.
const movedRetryAfter = 4 * time.Second

// Filter implements filter.Filter.
type Filter struct{ Origins relay.Origins }

// ServeHTTP sets the exchange's Origin and Service. It rejects a request at once if the origin of its stream
// is not known, or if the route no longer leads to the service.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	if x.Route.Kind != routes.Stream || x.ResumeAfter == "" {
		return next.ServeHTTP(w, r)
	}
	if x.Resumes == "" {
		return errkind.New(errkind.StreamUnknown, "the request does not name the attempt that began its stream")
	}
	origin, from, err := f.Origins.Find(r.Context(), x.AccountName(), x.Resumes)
	if err != nil {
		return err
	}
	x.Origin, x.OriginFrom = &origin, from
	if !x.SelectService(origin.Service) {
		return errkind.New(errkind.NoBackendServer, "the stream began at service %q, to which route %q does not lead", origin.Service, x.Route.Name).
			After(movedRetryAfter)
	}
	return next.ServeHTTP(w, r)
}
