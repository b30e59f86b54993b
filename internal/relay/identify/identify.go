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
type Filter struct{ Tables relay.Tables }

// ServeHTTP fills the exchange's Account. An anonymous route takes any request; a key
// that an account holds still says whose it is.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	if !findAccount(x) {
		table, err := f.Tables.Newest(r.Context())
		if err != nil {
			return err
		}
		if err := x.SelectRoute(table); err != nil {
			return err
		}
		if !findAccount(x) {
			return errkind.New(errkind.Unauthenticated, "no key, or a key that no client account has")
		}
	}
	return next.ServeHTTP(w, r)
}

// findAccount finds the account by the exchange's table; false if the request needs one and
// the table has none for its key.
func findAccount(x *relay.Exchange) bool {
	account, needed := x.Table.Account(x.Key)
	x.Account = account
	return account != nil || !needed || x.Route.Anonymous
}
