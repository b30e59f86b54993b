// Package quarantine is the filter that keeps calls that crash servers away from backend servers.
package quarantine

import (
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

// Filter implements filter.Filter.
type Filter struct {
	Quarantine filter.Quarantine
	Clock      filter.Clock
}

// ServeHTTP sets the call's Admission. A call that resumes the execution of a former holder starts
// no new one, so it is admitted without a check.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	c := filter.CallFrom(r.Context())
	target := c.Path
	if c.Query != "" {
		target += "?" + c.Query
	}
	fingerprint := quarantine.FingerprintOf(c.AccountName, c.Service, target, c.Body)
	request := quarantine.NewRequest(quarantine.ID{Account: c.AccountName, Fingerprint: fingerprint}, c.SharedParts)
	admission, err := f.admit(r, c, request)
	if err != nil {
		c.Note(f.Clock.Now(), "quarantine", "refused "+fingerprint.String()+": "+err.Error())
		return err
	}
	c.Admission = admission
	defer admission.Close()
	return next.ServeHTTP(w, r)
}

func (f *Filter) admit(r *http.Request, c *filter.Call, request quarantine.Request) (filter.Admission, error) {
	if c.Resume != nil {
		return f.Quarantine.AdmitResumed(request), nil
	}
	return f.Quarantine.Admit(r.Context(), request)
}
