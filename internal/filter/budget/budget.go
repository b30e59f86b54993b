// Package budget reserves the maximum number of tokens that a call can use before anything is
// dispatched, so that no run can spend tokens that the budget does not have.
package budget

import (
	"net/http"
	"strconv"

	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// Filter reserves the tokens. The settle filter, which encloses it, bills or releases them.
type Filter struct {
	Budget filter.Budget
	Clock  filter.Clock
}

// ServeHTTP implements filter.Filter.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	c := filter.CallFrom(r.Context())
	if err := f.Budget.Reserve(r.Context(), c.Account.Budget, c.ID, c.Reserved); err != nil {
		if r.Context().Err() != nil {
			return filter.ContextError(r.Context())
		}
		return err
	}
	c.ReservationHeld = true
	c.Note(f.Clock.Now(), "budget", "reserved "+strconv.FormatUint(c.Reserved, 10)+" tokens of "+c.Account.Budget)
	return next.ServeHTTP(w, r)
}
