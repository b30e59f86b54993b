package grants

import (
	"expvar"
	"sync/atomic"

	"github.com/bluebellsail/bluebellsail/internal/grant"
)

// metrics counts reservations, refusals by kind, messages and transfers of this process.
var metrics = expvar.NewMap("grants")

// currentManager is the process's manager, whose levels are published as a metric.
var currentManager atomic.Pointer[Manager]

func init() {
	expvar.Publish("grant_levels", expvar.Func(func() any { return levels() }))
}

// levels returns the tokens that this process holds of each budget.
func levels() []grant.Level {
	if m := currentManager.Load(); m != nil {
		return m.Levels()
	}
	return nil
}

// CountStranded adds to the number of stranded tokens: those that this host's previous
// incarnation held and that count as spent.
func CountStranded(tokens uint64) { metrics.Add("former_run_tokens_stranded", int64(tokens)) }
