// Package quarantine is the filter that keeps routed requests from backend servers that crash
// the servers which run them.
//
// It stands before the budget: a request that is refused here sets no tokens aside.
package quarantine

import (
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// Filter implements filter.Filter.
type Filter struct{ Quarantine filter.Quarantine }

// ServeHTTP fills the exchange's Asked and Pass.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	x.QuarantineID = quarantine.ID{
		Account:     x.AccountName(),
		Fingerprint: quarantine.FingerprintOf(x.AccountName(), x.Host, x.Target, x.Body),
	}
	pass, err := f.Quarantine.Admit(r.Context(), x.QuarantineID)
	if err != nil {
		return err
	}
	x.Admission = pass
	defer pass.Close()
	return next.ServeHTTP(w, r)
}
