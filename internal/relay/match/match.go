// Package match is the filter that gets the routing table in force and finds the route and the
// service of a request in it.
package match

import (
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// Filter implements filter.Filter.
type Filter struct{ Tables relay.Tables }

// ServeHTTP sets the exchange's Table, Route and Service.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	table, err := f.Tables.Await(r.Context())
	if err != nil {
		return err
	}
	if err = x.SelectRoute(table); errkind.Is(err, errkind.UnknownPath) {
		if table, err = f.Tables.Newest(r.Context()); err == nil {
			err = x.SelectRoute(table)
		}
	}
	if err != nil {
		return err
	}
	return next.ServeHTTP(w, r)
}
