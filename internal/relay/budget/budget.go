// Package budget is the filter that reserves the tokens of a routed request before it is sent
// anywhere, and bills the tokens used when it has ended.
package budget

import (
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// Filter implements filter.Filter.
type Filter struct{ Budgets relay.Budgets }

// ServeHTTP reserves the maximum size of the request: its prompt and its output cap. Without the
// reservation a request that runs longer than expected could spend tokens reserved for another one.
// The prompt is billed once, however many attempts were made, and the output as far as it was
// delivered. A request that fails before any of its answer has reached the caller costs its client
// account nothing, whatever work servers did for it.
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
	// A panic in an inner filter bills the whole reservation, since the delivered output is unknown
	// then.
	tokens := size
	defer func() { f.Budgets.Spend(x.ID, tokens) }()
	err = next.ServeHTTP(w, r)
	tokens = billableTokens(x, err)
	return err
}

// billableTokens returns the number of tokens billed for a request that ended with err.
//
// If lost answers were billed, a server that resets its connections would use up the budgets of
// callers who receive nothing from it, and accounts that were never served would be answered 402.
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
