package daemon

import (
	"expvar"
	"net/http"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/telemetry"
)

// routedMetrics are the counters and histograms of routed requests.
type routedMetrics struct {
	// byRoute counts requests by route and status, attempts counts attempts by cause, endings
	// counts requests by how the caller's connection ended, and refused counts refusals by
	// error kind.
	byRoute  expvar.Map
	attempts expvar.Map
	endings  expvar.Map
	refused  expvar.Map
	// earlyAnswers counts server answers that began before the whole request was sent.
	earlyAnswers expvar.Int
	// resumed counts requests that resume a stream of an earlier attempt of their caller, by how they ended
	// for it. mixedVersions
	// counts those whose caller received events from servers of several software versions.
	resumed       expvar.Map
	mixedVersions expvar.Int
	// hintsIgnored counts requests whose estimate of the output is above their own cap.
	hintsIgnored expvar.Int
	// framings counts server answers by relay.Framing.
	framings expvar.Map
	// firstByte has the time to the first byte of a server's answer, took the duration of the
	// whole request, both by kind of route.
	firstByte map[string]*telemetry.Histogram
	took      map[string]*telemetry.Histogram
	vars      expvar.Map
}

// kindNames are the kinds of routes that have histograms.
var kindNames = []string{"idempotent", "non_idempotent", "stream"}

func newRoutedMetrics() *routedMetrics {
	m := &routedMetrics{firstByte: map[string]*telemetry.Histogram{}, took: map[string]*telemetry.Histogram{}}
	m.vars.Set("requests", &m.byRoute)
	m.vars.Set("attempts", &m.attempts)
	m.vars.Set("endings", &m.endings)
	m.vars.Set("refused", &m.refused)
	m.vars.Set("early_answers", &m.earlyAnswers)
	m.vars.Set("resumed", &m.resumed)
	m.vars.Set("mixed_versions", &m.mixedVersions)
	m.vars.Set("hints_ignored", &m.hintsIgnored)
	m.vars.Set("framings", &m.framings)
	for _, kind := range kindNames {
		m.firstByte[kind], m.took[kind] = telemetry.NewHistogram(), telemetry.NewHistogram()
		m.vars.Set("first_byte_"+kind, m.firstByte[kind])
		m.vars.Set("took_"+kind, m.took[kind])
	}
	return m
}

// finished counts a request.
func (m *routedMetrics) finished(x *relay.Exchange, err error) {
	if e := errkind.From(err); e != nil {
		m.refused.Add(string(e.Kind), 1)
	}
	m.endings.Add(string(x.Ending), 1)
	if x.Route == nil {
		return
	}
	if x.ResumeAfter != "" {
		m.resumed.Add(string(x.Ending), 1)
	}
	if x.HintIgnored() {
		m.hintsIgnored.Add(1)
	}
	if x.MixedVersions() {
		m.mixedVersions.Add(1)
	}
	m.byRoute.Add(x.Route.Name+"/"+http.StatusText(x.Status), 1)
	kind := string(x.Route.Kind)
	if h := m.took[kind]; h != nil {
		h.Observe(time.Since(x.Arrived))
	}
	for _, a := range x.Attempts {
		m.attempts.Add(string(a.Cause), 1)
		if a.Early {
			m.earlyAnswers.Add(1)
		}
		if a.Framing != "" {
			m.framings.Add(string(a.Framing), 1)
		}
		if h := m.firstByte[kind]; h != nil && a.FirstByte > 0 {
			h.Observe(a.FirstByte)
		}
	}
}

// serveMetrics serves all expvar variables of the process at the address.
func serveMetrics(address string) (*httpserver.Server, error) {
	s := httpserver.New(httpserver.Config{Name: "metrics", Address: address, Handler: expvar.Handler()})
	return s, s.Start()
}
