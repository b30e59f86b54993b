// Package match is the filter that gets the routing table in force and finds the route and the
// service of a request in it.
package match

import (
	"context"
	"net/http"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// Filter implements filter.Filter.
type Filter struct{ Tables relay.Tables }

// waitShare is the part of a caller's timeout, as a divisor, that its request may wait for a table: the
// rest is for the service, and for another host if there is no table.
const waitShare = 4

func (f *Filter) await(ctx context.Context, timeout time.Duration) (*routes.Index, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout/waitShare)
		defer cancel()
	}
	return f.Tables.Await(ctx)
}

// ServeHTTP sets the exchange's Table, Route and Service.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	table, err := f.await(r.Context(), x.CallerTimeout)
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
