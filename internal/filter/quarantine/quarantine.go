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
	id := quarantine.ID{Account: c.AccountName, Fingerprint: quarantine.FingerprintOf(c.AccountName, c.Service, target, c.Body)}
	admission, err := f.admit(r, c, id)
	if err != nil {
		c.Note(f.Clock.Now(), "quarantine", "refused "+id.Fingerprint.String()+": "+err.Error())
		return err
	}
	c.Admission = admission
	defer admission.Close()
	return next.ServeHTTP(w, r)
}

func (f *Filter) admit(r *http.Request, c *filter.Call, id quarantine.ID) (filter.Admission, error) {
	if c.Resume != nil {
		return f.Quarantine.AdmitResumed(id), nil
	}
	return f.Quarantine.Admit(r.Context(), id)
}
