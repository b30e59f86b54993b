package balancer

import (
	"expvar"
	"sync"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/balance/waiting"
	"github.com/bluebellsail/bluebellsail/internal/telemetry"
)

type event = zerolog.Event

// maxServices bounds the services that are counted by name; the others count as one.
const maxServices = 256

// otherServices is the name under which they count.
const otherServices = "(others)"

// queueMetrics counts, by service, the requests that found no room.
type queueMetrics struct {
	vars expvar.Map
	// queued counts the requests that began to wait, left those whose callers left while they waited.
	queued, left *expvar.Map
	outcomes     map[waiting.Outcome]*expvar.Map
	// badReports counts the servers' reports of figures that can't be true.
	badReports expvar.Int

	mu sync.Mutex
	// waits has the times that granted requests waited, by service.
	waits map[string]*telemetry.Histogram
	times expvar.Map
}

func (m *queueMetrics) init(waitingNow func() int) {
	m.waits = make(map[string]*telemetry.Histogram)
	m.queued, m.left = new(expvar.Map), new(expvar.Map)
	m.outcomes = make(map[waiting.Outcome]*expvar.Map)
	for _, o := range []waiting.Outcome{waiting.Granted, waiting.Refused, waiting.Full, waiting.PushedOut, waiting.Expired, waiting.Failed} {
		m.outcomes[o] = new(expvar.Map)
		m.vars.Set(string(o), m.outcomes[o])
	}
	m.vars.Set("queued", m.queued)
	m.vars.Set("left", m.left)
	m.vars.Set("waits", &m.times)
	m.vars.Set("load_reports_ignored", &m.badReports)
	m.vars.Set("waiting", expvar.Func(func() any { return waitingNow() }))
}

// histogram returns the histogram of a service's waits and the name under which the service counts.
func (m *queueMetrics) histogram(service string) (*telemetry.Histogram, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.waits[service]
	if h == nil && len(m.waits) >= maxServices {
		service = otherServices
		h = m.waits[service]
	}
	if h == nil {
		h = telemetry.NewHistogram()
		m.waits[service] = h
		m.times.Set(service, h)
	}
	return h, service
}

func (m *queueMetrics) count(of *expvar.Map, service string) {
	_, name := m.histogram(service)
	of.Add(name, 1)
}

func (m *queueMetrics) result(service string, r waiting.Result) {
	m.count(m.outcomes[r.Outcome], service)
	if r.Outcome == waiting.Granted {
		h, _ := m.histogram(service)
		h.Observe(r.Waited)
	}
}

// QueueVars returns the counters of requests that found no room.
func (b *Balancer) QueueVars() expvar.Var { return &b.metrics.vars }

// logWait logs the decision on a request that found no room.
func (b *Balancer) logWait(w *balance.Work, ticket uint64, outcome string, ahead int, add func(*event)) {
	e := b.cfg.Log.Info().Str("event", "queue-decided").Uint64("ticket", ticket).Str("outcome", outcome).Str("service", w.Service).
		Uint32("shard", w.Shard.Index).Str("account", w.Account).Int("rank", w.Rank).Int("ahead", ahead).Dur("max_wait", w.MaxWait)
	if add != nil {
		add(e)
	}
	e.Send()
}

// waitingNow returns the number of waiting requests.
func (b *Balancer) waitingNow() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queue.core == nil {
		return 0
	}
	return b.queue.core.Len()
}
