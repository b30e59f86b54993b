// Package identify is the filter that determines the client account of a routed request.
package identify

import (
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// Filter implements filter.Filter.
type Filter struct{ Tables relay.Tables }

// ServeHTTP sets the exchange's Account. An anonymous route accepts any request; a valid key still
// identifies the account.
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

// findAccount sets the exchange's account from its table. It returns false if the route requires an
// account and the table has none for the key.
func findAccount(x *relay.Exchange) bool {
	account, needed := x.Table.Account(x.Key)
	x.Account = account
	return account != nil || !needed || x.Route.Anonymous
}
