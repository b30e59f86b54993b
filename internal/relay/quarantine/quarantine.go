// Package quarantine is the filter that keeps routed requests that crash servers away from backend
// servers.
//
// It comes before the budget filter, so that a request rejected here reserves no tokens.
package quarantine

import (
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// Filter implements filter.Filter.
type Filter struct{ Quarantine filter.Quarantine }

// ServeHTTP sets the exchange's QuarantineID and Admission.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	x.QuarantineID = quarantine.ID{
		Account:     x.AccountName(),
		Fingerprint: quarantine.FingerprintOf(x.AccountName(), x.Host, x.Target, x.Body),
	}
	var parts []uint64
	for _, part := range balance.SharedParts(x.Prompt) {
		parts = append(parts, part.ID)
	}
	admission, err := f.Quarantine.Admit(r.Context(), quarantine.NewRequest(x.QuarantineID, parts))
	if err != nil {
		return err
	}
	x.Admission = admission
	defer admission.Close()
	return next.ServeHTTP(w, r)
}
