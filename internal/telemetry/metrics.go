package telemetry

import (
	"expvar"
	"sync"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// RequestOutcome is how a caller's request ended.
type RequestOutcome string

// The outcomes of a request.
const (
	// OutcomeAnswered means that the whole answer was sent in time.
	OutcomeAnswered RequestOutcome = "answered"
	// OutcomeReplayed means that a retry got the stored answer of an earlier request.
	OutcomeReplayed RequestOutcome = "replayed"
	// OutcomeRefused means that the request was rejected and did not run.
	OutcomeRefused RequestOutcome = "refused"
	// OutcomeLate means that the deadline passed before the answer was complete.
	OutcomeLate RequestOutcome = "late"
	// OutcomeFailed means that the request ran or may have run, and got no complete answer.
	OutcomeFailed RequestOutcome = "failed"
	// OutcomeCallerGone means that the caller closed its connection first.
	OutcomeCallerGone RequestOutcome = "caller_gone"
)

var outcomes = []RequestOutcome{
	OutcomeAnswered, OutcomeReplayed, OutcomeRefused, OutcomeLate, OutcomeFailed, OutcomeCallerGone,
}

// Metrics are a process's counters and histograms. All are expvar variables and
// safe for concurrent use. They count from the start of the process. The metrics of grants
// and of in-flight records are in expvar maps of their own controllers.
type Metrics struct {
	requests map[RequestOutcome]*expvar.Int
	refusals map[errkind.Kind]*expvar.Int

	// Retries counts attempts after the first, RetriesDenied the retries that a team's bound
	// did not allow.
	Retries, RetriesDenied expvar.Int
	// SilentConnections counts connections that were abandoned because they delivered no byte
	// for longer than allowed: connections to backend servers, and connections to peers while
	// a new connection worked.
	SilentConnections expvar.Int
	// Takeovers counts requests that this host continued for another incarnation, which was
	// dead or had no complete answer.
	Takeovers expvar.Int
	// HeartbeatsSent and HeartbeatsFailed count heartbeats; HeartbeatBytes counts the marshaled
	// bytes sent and received.
	HeartbeatsSent, HeartbeatsFailed, HeartbeatBytes expvar.Int
	// ServerStates counts the states of backend servers that other hosts sent unasked, ServersSummarized those that
	// they sent summaries of, and ServersFetched those of which this host fetched the state.
	ServerStates, ServersSummarized, ServersFetched expvar.Int
	// PeerConnections counts the connections that this process opened to others of the fleet.
	PeerConnections expvar.Int
	// Orders counts the orders sent to backend servers, OrdersFailed those of them that failed.
	Orders, OrdersFailed expvar.Int

	// QueueWait is the time from the admission of a request until a backend server has room
	// for it.
	QueueWait *Histogram
	// FirstTokenAdded is the part of the time to first token that the fleet adds to the backend
	// server's own part.
	FirstTokenAdded *Histogram
	// FirstToken is the time from dispatch to the first token of a backend server.
	FirstToken *Histogram

	root *expvar.Map
}

// NewMetrics returns metrics at zero that are not yet published.
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
		"server_states":      &m.ServerStates,
		"servers_summarized": &m.ServersSummarized,
		"servers_fetched":    &m.ServersFetched,
		"peer_connections":   &m.PeerConnections,
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

// Refusal counts a refusal by its kind. An unknown kind counts as errkind.Internal.
func (m *Metrics) Refusal(k errkind.Kind) {
	v, ok := m.refusals[k]
	if !ok {
		v = m.refusals[errkind.Internal]
	}
	v.Add(1)
}

// Requests returns the number of requests with outcome o.
func (m *Metrics) Requests(o RequestOutcome) int64 { return m.requests[o].Value() }

// Refusals returns the number of refusals of kind k.
func (m *Metrics) Refusals(k errkind.Kind) int64 { return m.refusals[k].Value() }

// Set adds a variable of another package, such as a gauge by expvar.Func.
func (m *Metrics) Set(name string, v expvar.Var) { m.root.Set(name, v) }

// Var returns all metrics as one expvar variable.
func (m *Metrics) Var() expvar.Var { return m.root }

var publishMu sync.Mutex

// Publish makes the metrics part of /debug/vars under name, and reports whether it did. If
// the name is already in use, the metrics are not published. Processes that run several
// hosts, such as tests, use distinct names.
func (m *Metrics) Publish(name string) bool {
	publishMu.Lock()
	defer publishMu.Unlock()
	if expvar.Get(name) != nil {
		return false // expvar.Publish exits the process if the name is in use
	}
	expvar.Publish(name, m.root)
	return true
}
