// Package budget is the filter that sets the tokens of a routed request aside before it
// is sent anywhere, and bills what it used when it has ended.
package budget

import (
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// Filter implements filter.Filter.
type Filter struct{ Budgets relay.Budgets }

// ServeHTTP reserves the greatest size of the request: its prompt and its output cap.
// Without that a request that runs longer than expected could spend what another one
// was promised. The prompt is billed once it may have been read, however often the
// request was sent on; the output as far as it was delivered.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.From(r.Context())
	size := x.PromptTokens + x.OutputCap
	if x.Account == nil || x.Account.Prepaid == nil || size == 0 {
		return next.ServeHTTP(w, r)
	}
	holder, err := f.Budgets.Reserve(r.Context(), x.Account.Name, x.ID, size)
	x.Holder = holder
	if err != nil {
		return err
	}
	x.Reserved = size
	defer func() { f.Budgets.Spend(x.ID, used(x)) }()
	return next.ServeHTTP(w, r)
}

func used(x *relay.Exchange) uint64 {
	tokens := x.Output
	if x.Input {
		tokens += x.PromptTokens
	}
	return min(tokens, x.Reserved)
}
