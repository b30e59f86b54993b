package scheduler

import (
	"expvar"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// Metrics are the scheduler's counters. They are registered nowhere by themselves;
// a process publishes them under a name of its own.
type Metrics struct {
	Granted          expvar.Int
	Ended            expvar.Int
	Failed           expvar.Int
	Silent           expvar.Int
	OldAnnouncements expvar.Int
	RetriesRefused   expvar.Int
	// Refused counts refusals by error kind.
	Refused    expvar.Map
	QueueWait  Histogram
	FirstToken Histogram
}

// Metrics returns the counters for publishing.
func (s *Scheduler) Metrics() *Metrics { return &s.metrics }

// Map lists the counters by their published names.
func (m *Metrics) Map() *expvar.Map {
	out := new(expvar.Map)
	out.Set("granted", &m.Granted)
	out.Set("ended", &m.Ended)
	out.Set("failed", &m.Failed)
	out.Set("silent", &m.Silent)
	out.Set("old_announcements", &m.OldAnnouncements)
	out.Set("retries_refused", &m.RetriesRefused)
	out.Set("refused", &m.Refused)
	out.Set("queue_wait_ms", &m.QueueWait.buckets)
	out.Set("first_token_ms", &m.FirstToken.buckets)
	return out
}

func (m *Metrics) refused(err error) { m.Refused.Add(string(errkind.From(err).Kind), 1) }

func (m *Metrics) ended(o filter.Outcome) {
	m.Ended.Add(1)
	if !o.OK {
		m.Failed.Add(1)
	}
	if o.Silent {
		m.Silent.Add(1)
	}
}

// Histogram counts durations by the upper bound of their bucket in milliseconds.
type Histogram struct{ buckets expvar.Map }

var bounds = []struct {
	most time.Duration
	name string
}{
	{time.Millisecond, "1"}, {3 * time.Millisecond, "3"}, {10 * time.Millisecond, "10"},
	{30 * time.Millisecond, "30"}, {100 * time.Millisecond, "100"}, {300 * time.Millisecond, "300"},
	{time.Second, "1000"}, {3 * time.Second, "3000"}, {10 * time.Second, "10000"}, {30 * time.Second, "30000"},
}

func (h *Histogram) observe(d time.Duration) {
	for _, b := range bounds {
		if d <= b.most {
			h.buckets.Add(b.name, 1)
			return
		}
	}
	h.buckets.Add("more", 1)
}
