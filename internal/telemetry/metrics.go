package telemetry

import (
	"expvar"
	"sync"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// RequestOutcome says how a caller's request ended.
type RequestOutcome string

// The outcomes of a request.
const (
	// OutcomeAnswered: the whole answer was given in time.
	OutcomeAnswered RequestOutcome = "answered"
	// OutcomeReplayed: a finished answer was given again to a retry.
	OutcomeReplayed RequestOutcome = "replayed"
	// OutcomeRefused: refused, and it did not run.
	OutcomeRefused RequestOutcome = "refused"
	// OutcomeLate: the deadline passed before the whole answer was there.
	OutcomeLate RequestOutcome = "late"
	// OutcomeFailed: it ran, or may have, and no whole answer was given.
	OutcomeFailed RequestOutcome = "failed"
	// OutcomeCallerGone: the caller closed its connection first.
	OutcomeCallerGone RequestOutcome = "caller_gone"
)

var outcomes = []RequestOutcome{
	OutcomeAnswered, OutcomeReplayed, OutcomeRefused, OutcomeLate, OutcomeFailed, OutcomeCallerGone,
}

// Metrics are a process's counters and histograms. All are expvar variables and
// safe for concurrent use. They count from the start of the process. Those of grants
// and of in-flight records stand in expvar maps of their own controllers.
type Metrics struct {
	requests map[RequestOutcome]*expvar.Int
	refusals map[errkind.Kind]*expvar.Int

	// Retries at another backend server; RetriesDenied by a team's allowance.
	Retries, RetriesDenied expvar.Int
	// SilentConnections left because they gave no byte for longer than allowed: to
	// backend servers, and to peers while a new one worked.
	SilentConnections expvar.Int
	// Takeovers: requests of another run, dead or without a whole answer, served here.
	Takeovers expvar.Int
	// HeartbeatsSent, HeartbeatsFailed and HeartbeatBytes (sent and received, marshalled).
	HeartbeatsSent, HeartbeatsFailed, HeartbeatBytes expvar.Int
	// Orders sent to backend servers, with OrdersFailed among them.
	Orders, OrdersFailed expvar.Int

	// QueueWait is the time from admission to room at a backend server.
	QueueWait *Histogram
	// FirstTokenAdded is the time to first token less the backend server's own part.
	FirstTokenAdded *Histogram
	// FirstToken is the time from dispatch to the first token of a backend server.
	FirstToken *Histogram

	root *expvar.Map
}

// NewMetrics returns metrics at zero, not yet published.
func NewMetrics() *Metrics {
	m := &Metrics{
		requests:        make(map[RequestOutcome]*expvar.Int),
		refusals:        make(map[errkind.Kind]*expvar.Int),
		QueueWait:       NewHistogram(),
		FirstTokenAdded: NewHistogram(),
		FirstToken:      NewHistogram(),
		root:            new(expvar.Map),
	}
	m.root.Set("requests", m.requestsMap())
	m.root.Set("refusals", m.refusalsMap())
	for name, v := range m.named() {
		m.root.Set(name, v)
	}
	return m
}

func (m *Metrics) requestsMap() *expvar.Map {
	vars := new(expvar.Map)
	for _, o := range outcomes {
		m.requests[o] = new(expvar.Int)
		vars.Set(string(o), m.requests[o])
	}
	return vars
}

func (m *Metrics) refusalsMap() *expvar.Map {
	vars := new(expvar.Map)
	for _, row := range errkind.Table {
		m.refusals[row.Kind] = new(expvar.Int)
		vars.Set(string(row.Kind), m.refusals[row.Kind])
	}
	return vars
}

func (m *Metrics) named() map[string]expvar.Var {
	return map[string]expvar.Var{
		"retries":            &m.Retries,
		"retries_denied":     &m.RetriesDenied,
		"silent_connections": &m.SilentConnections,
		"takeovers":          &m.Takeovers,
		"heartbeats_sent":    &m.HeartbeatsSent,
		"heartbeats_failed":  &m.HeartbeatsFailed,
		"heartbeat_bytes":    &m.HeartbeatBytes,
		"orders":             &m.Orders,
		"orders_failed":      &m.OrdersFailed,
		"queue_wait":         m.QueueWait,
		"first_token_added":  m.FirstTokenAdded,
		"first_token":        m.FirstToken,
	}
}

// Request counts a finished request. An unknown outcome counts as OutcomeFailed.
func (m *Metrics) Request(o RequestOutcome) {
	v, ok := m.requests[o]
	if !ok {
		v = m.requests[OutcomeFailed]
	}
	v.Add(1)
}

// Refusal counts an error answer by its kind. An unknown kind counts as Internal.
func (m *Metrics) Refusal(k errkind.Kind) {
	v, ok := m.refusals[k]
	if !ok {
		v = m.refusals[errkind.Internal]
	}
	v.Add(1)
}

// Requests returns the number of requests with outcome o.
func (m *Metrics) Requests(o RequestOutcome) int64 { return m.requests[o].Value() }

// Refusals returns the number of error answers of kind k.
func (m *Metrics) Refusals(k errkind.Kind) int64 { return m.refusals[k].Value() }

// Set adds a variable of another package, such as a gauge by expvar.Func.
func (m *Metrics) Set(name string, v expvar.Var) { m.root.Set(name, v) }

// Var returns all metrics as one expvar variable.
func (m *Metrics) Var() expvar.Var { return m.root }

var publishMu sync.Mutex

// Publish makes the metrics part of /debug/vars under name. The first Metrics
// published under a name stays; it returns whether this one was published.
// Processes that hold several hosts, such as tests, publish under distinct names.
func (m *Metrics) Publish(name string) bool {
	publishMu.Lock()
	defer publishMu.Unlock()
	if expvar.Get(name) != nil {
		return false // expvar.Publish would end the process
	}
	expvar.Publish(name, m.root)
	return true
}
