package scheduler

import (
	"expvar"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// Metrics holds the scheduler's counters. They are not registered with expvar; the process
// publishes them under a name of its choice.
type Metrics struct {
	Granted          expvar.Int
	Ended            expvar.Int
	Failed           expvar.Int
	OldAnnouncements expvar.Int
	// Refused counts refusals by error kind.
	Refused expvar.Map
}

// Metrics returns the counters for publishing.
func (s *Scheduler) Metrics() *Metrics { return &s.metrics }

// Map returns the counters by their published names.
func (m *Metrics) Map() *expvar.Map {
	out := new(expvar.Map)
	out.Set("granted", &m.Granted)
	out.Set("ended", &m.Ended)
	out.Set("failed", &m.Failed)
	out.Set("old_announcements", &m.OldAnnouncements)
	out.Set("refused", &m.Refused)
	return out
}

func (m *Metrics) refused(err error) { m.Refused.Add(string(errkind.From(err).Kind), 1) }

func (m *Metrics) ended(o filter.Outcome) {
	m.Ended.Add(1)
	if !o.OK {
		m.Failed.Add(1)
	}
}
