// Package match is the filter that finds the routing table in force and a request's
// route and service in it.
package match

import (
	"math/rand/v2"
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// Filter implements filter.Filter.
type Filter struct{ Tables relay.Tables }

// ServeHTTP fills the exchange's Table, Route and Service.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.From(r.Context())
	table, err := f.Tables.Await(r.Context())
	if err != nil {
		return err
	}
	x.Table = table
	if x.Route, err = table.Route(x.Host, x.Path); err != nil {
		return err
	}
	name := x.Route.Pick(rand.Uint64N(x.Route.Weights()))
	service, ok := table.Service(name)
	if !ok {
		return errkind.New(errkind.Internal, "route %q names service %q, which the table does not have", x.Route.Name, name)
	}
	x.Service = service
	return next.ServeHTTP(w, r)
}
