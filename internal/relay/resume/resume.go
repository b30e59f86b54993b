// Package resume is the filter for requests that take up a stream of an earlier attempt of their caller: it
// restricts them to the service and the software version at which the stream began.
package resume

import (
	"context"
	"net/http"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/streamorigin"
)

// movedRetryAfter is when a caller may retry to resume a stream whose service only another routing table
// lets it reach.
const movedRetryAfter = 4 * time.Second

// Filter implements filter.Filter.
type Filter struct {
	Origins  relay.Origins
	Versions relay.Versions
}

// ServeHTTP sets the exchange's Origin and Service. It rejects a request at once if the origin of its stream
// is not known, or if the route no longer leads to the service.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	if x.Route.Kind != routes.Stream || x.ResumeAfter == "" {
		return next.ServeHTTP(w, r)
	}
	origin, from, err := f.find(r.Context(), x)
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

// soleVersion stands for a host in the exchange's OriginFrom.
const soleVersion = "sole_version"

// find returns the origin of the stream that a request resumes. Callers that know of one software version
// only do not name the attempt that began it; they are served while there is one version.
func (f *Filter) find(ctx context.Context, x *relay.Exchange) (o streamorigin.Origin, from string, err error) {
	if x.Resumes != "" {
		return f.Origins.Find(ctx, x.AccountName(), x.Resumes)
	}
	version, err := f.Versions.Sole(ctx, x.Service.Name)
	if err != nil {
		return o, "", err
	}
	return streamorigin.Origin{Service: x.Service.Name, Version: version}, soleVersion, nil
}
