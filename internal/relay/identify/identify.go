// Package identify is the filter that finds out which client account a routed request
// is of.
package identify

import (
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// Filter implements filter.Filter.
type Filter struct{}

// ServeHTTP fills the exchange's Account. An anonymous route takes any request; a key
// that an account holds still says whose it is.
func (Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.From(r.Context())
	account, needed := x.Table.Account(x.Key)
	if account == nil && needed && !x.Route.Anonymous {
		return errkind.New(errkind.Unauthenticated, "no key, or a key that no client account has")
	}
	x.Account = account
	return next.ServeHTTP(w, r)
}
