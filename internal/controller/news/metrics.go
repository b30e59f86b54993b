package news

import (
	"expvar"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/telemetry"
)

// metrics are the counters of a Broadcaster.
type metrics struct {
	// rounds counts the rounds in which changes were replicated, changes their changes, fewCopies the rounds after
	// which fewer than Copies hosts held them, failed those after which none did.
	rounds, changes, fewCopies, failed expvar.Int
	// takenOver counts the rounds of other hosts whose changes this host broadcast.
	takenOver expvar.Int
	// tablesTakenOver counts the tables that this host broadcast in place of the control group's leader.
	tablesTakenOver expvar.Int
	// took has how long rounds took.
	took *telemetry.Histogram
	vars expvar.Map
}

func (m *metrics) init(held func() int) {
	m.took = telemetry.NewHistogram()
	m.vars.Set("rounds", &m.rounds)
	m.vars.Set("changes", &m.changes)
	m.vars.Set("few_copies", &m.fewCopies)
	m.vars.Set("failed", &m.failed)
	m.vars.Set("taken_over", &m.takenOver)
	m.vars.Set("tables_taken_over", &m.tablesTakenOver)
	m.vars.Set("took", m.took)
	m.vars.Set("held", expvar.Func(func() any { return held() }))
}

func (m *metrics) observeRound(r *round, holders int, took time.Duration) {
	m.rounds.Add(1)
	m.changes.Add(int64(r.changes()))
	if holders < Copies {
		m.fewCopies.Add(1)
	}
	if r.err != nil {
		m.failed.Add(1)
	}
	m.took.Observe(took)
}

// Metrics returns the counters of replicated changes, for publication.
func (s *Broadcaster) Metrics() *expvar.Map { return &s.metrics.vars }

func (s *Broadcaster) heldRounds() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.holds)
}
