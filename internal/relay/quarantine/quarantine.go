// Package quarantine is the filter that tells apart requests by what they ask.
package quarantine

import (
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// Filter implements filter.Filter.
type Filter struct{}

// ServeHTTP fills the exchange's Asked.
func (Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.From(r.Context())
	x.Asked = quarantine.ID{
		Account:     x.AccountName(),
		Fingerprint: quarantine.FingerprintOf(x.AccountName(), x.Host, x.Target, x.Body),
	}
	return next.ServeHTTP(w, r)
}
