package assign

import (
	"expvar"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
)

// metrics counts what happens to requests that wait at the owners of shards.
type metrics struct {
	// askedAgain counts the further calls for waiting requests of other hosts, dropped those requests that
	// were not asked for again or whose callers left.
	askedAgain, dropped expvar.Int
	// hintsIgnored counts requests of other hosts with fields out of range.
	hintsIgnored expvar.Int
	// ownersUnanswered counts calls to owners that did not answer, by this host.
	ownersUnanswered expvar.Int
	vars             expvar.Map
}

func (m *metrics) init() {
	m.vars.Set("asked_again", &m.askedAgain)
	m.vars.Set("dropped", &m.dropped)
	m.vars.Set("hints_ignored", &m.hintsIgnored)
	m.vars.Set("owners_unanswered", &m.ownersUnanswered)
}

// Vars returns the counters.
func (a *Assigner) Vars() expvar.Var { return &a.metrics.vars }

const (
	// maxRank and maxOutputTokens bound the priorities and expected outputs that are believed.
	maxRank         = 1 << 16
	maxOutputTokens = 1 << 24
	// maxRequestWait bounds how long another host's request may wait.
	maxRequestWait = time.Minute
)

// checkHints replaces what is out of range in another host's request by what stands for not known.
func (a *Assigner) checkHints(run string, w *balance.Work) {
	rank, output, wait := w.Rank, w.OutputTokens, w.MaxWait
	if rank < 0 || rank > maxRank {
		w.Rank = maxRank
	}
	if output > maxOutputTokens {
		w.OutputTokens = 0
	}
	if wait < 0 || wait > maxRequestWait {
		w.MaxWait = 0
	}
	if w.Rank == rank && w.OutputTokens == output && w.MaxWait == wait {
		return
	}
	a.metrics.hintsIgnored.Add(1)
	if a.badHints.First(run) {
		a.cfg.Log.Warn().Str("event", "request-hints-ignored").Str("run", run).Str("account", w.Account).Int("rank", rank).
			Uint64("output_tokens", output).Dur("max_wait", wait).Send()
	}
}
