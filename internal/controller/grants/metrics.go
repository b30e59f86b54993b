package grants

import (
	"expvar"
	"sync/atomic"

	"github.com/bluebellsail/bluebellsail/internal/grant"
)

// metrics counts reservations, refusals by kind, messages and transfers of this process.
var metrics = expvar.NewMap("grants")

// currentManager is the process's manager, whose levels the metrics address shows.
var currentManager atomic.Pointer[Manager]

func init() {
	expvar.Publish("grant_levels", expvar.Func(func() any { return levels() }))
}

// levels is what this process holds of each budget, in tokens.
func levels() []grant.Level {
	if m := currentManager.Load(); m != nil {
		return m.Levels()
	}
	return nil
}

// CountStranded adds to the tokens that this host's former run held and that count as spent.
func CountStranded(tokens uint64) { metrics.Add("former_run_tokens_stranded", int64(tokens)) }
