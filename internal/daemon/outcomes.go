package daemon

import (
	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/telemetry"
)

// routeStep is the chain's note of an attempt at a backend server.
const routeStep = "route"

// outcomes implements filter.Explainer: what came of each call goes to the explain
// store, the metrics and the event log.
type outcomes struct {
	next    filter.Explainer
	metrics *telemetry.Metrics
	log     zerolog.Logger
}

// Record takes a finished call.
func (o outcomes) Record(c *filter.Call, status int, err error) {
	o.next.Record(c, status, err)
	kind := outcomeOf(c, err)
	o.metrics.Request(kind)
	o.metrics.Retries.Add(int64(max(c.Attempts-1, 0)))
	if c.TakenOver {
		o.metrics.Takeovers.Add(1)
	}
	o.observeAdded(c)
	e := errkind.From(err)
	event := o.log.Debug()
	if e != nil {
		o.metrics.Refusal(e.Kind)
		event = o.log.Info().Str("kind", string(e.Kind)).Str("ran", string(e.Ran())).Str("error", e.Message)
	}
	event = event.Str("event", "request").Str("request", c.ID).Str("outcome", string(kind)).Str("account", c.AccountName).
		Uint64("revision", c.Revision).Int("attempts", c.Attempts)
	if c.Account != nil {
		event = event.Str("budget", c.Account.Budget)
	}
	event.Uint64("prompt", c.Usage.Prompt).Uint64("output", c.Usage.Output).Int("status", status).Send()
}

// observeAdded notes what the fleet spent on a call before its first attempt.
func (o outcomes) observeAdded(c *filter.Call) {
	for _, n := range c.Notes {
		if n.Step == routeStep {
			o.metrics.FirstTokenAdded.Observe(n.At.Sub(c.Arrived))
			return
		}
	}
}

func outcomeOf(c *filter.Call, err error) telemetry.RequestOutcome {
	e := errkind.From(err)
	switch {
	case e == nil && c.Replayed:
		return telemetry.OutcomeReplayed
	case e == nil:
		return telemetry.OutcomeAnswered
	case e.Kind == errkind.CallerGone:
		return telemetry.OutcomeCallerGone
	case e.Kind == errkind.DeadlineExceeded && e.Ran() != errkind.RanNo:
		return telemetry.OutcomeLate
	case e.Status() >= statusFault && e.Ran() != errkind.RanNo:
		return telemetry.OutcomeFailed
	}
	return telemetry.OutcomeRefused
}

// statusFault is the first HTTP status that blames the service and not the request.
const statusFault = 500
