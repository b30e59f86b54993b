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
// was promised. The prompt is billed once, however often the request was sent on; the output
// as far as it was delivered. A request that fails before any of its answer has reached the
// caller costs its client account nothing, whatever servers did for it.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
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
	// A panic further in bills the whole, for what was delivered is not known then.
	tokens := size
	defer func() { f.Budgets.Spend(x.ID, tokens) }()
	err = next.ServeHTTP(w, r)
	tokens = billableTokens(x, err)
	return err
}

// billableTokens is what a request that ended with err is billed.
//
// What goes wrong when a lost answer is billed: a server that resets its connections uses up
// the budgets of those who get nothing from it, and 402 is answered to accounts that were
// never served.
func billableTokens(x *relay.Exchange, err error) uint64 {
	if err != nil && !x.Begun {
		return 0
	}
	tokens := x.OutputTokens
	if x.PromptConsumed {
		tokens += x.PromptTokens
	}
	return min(tokens, x.Reserved)
}
