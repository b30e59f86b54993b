package daemon

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/filter/route"
	"github.com/bluebellsail/bluebellsail/internal/telemetry"
)

// outcomes implements filter.Explainer: it passes the outcome of each call to the explain
// store, the metrics and the event log.
type outcomes struct {
	next    filter.Explainer
	metrics *telemetry.Metrics
	log     zerolog.Logger
}

// Record records a finished call.
func (o outcomes) Record(c *filter.Call, status int, err error) {
	o.next.Record(c, status, err)
	outcome, refusal := outcomeOf(c, err), errkind.From(err)
	o.count(c, outcome, refusal)
	o.logCall(c, outcome, status, refusal)
}

func (o outcomes) count(c *filter.Call, outcome telemetry.RequestOutcome, refusal *errkind.Error) {
	o.metrics.Request(outcome)
	if refusal != nil {
		o.metrics.Refusal(refusal.Kind)
	}
	o.metrics.Retries.Add(int64(max(c.Attempts-1, 0)))
	if c.TakenOver {
		o.metrics.Takeovers.Add(1)
	}
	o.observeOverhead(c)
}

// logCall logs the call as one event.
func (o outcomes) logCall(c *filter.Call, outcome telemetry.RequestOutcome, status int, refusal *errkind.Error) {
	event := o.log.Info().Str("event", "request").Str("request", c.ID).Str("outcome", string(outcome)).Int("status", status).
		Str("account", c.AccountName).Str("team", c.TeamName).Uint64("revision", c.Revision).Int("attempts", c.Attempts).
		Uint64("prompt", c.Usage.Prompt).Uint64("output", c.Usage.Output).Dur("took", time.Since(c.Arrived))
	if c.Account != nil {
		event = event.Str("budget", c.Account.Budget)
	}
	if refusal != nil {
		event = event.Str("kind", string(refusal.Kind)).Str("ran", string(refusal.Ran())).Str("error", refusal.Message)
	}
	event.Send()
}

// observeOverhead records the time between the arrival of a call and its first attempt.
func (o outcomes) observeOverhead(c *filter.Call) {
	for _, n := range c.Notes {
		if n.Step == route.Step {
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
	case e.Status() >= minServerFault && e.Ran() != errkind.RanNo:
		return telemetry.OutcomeFailed
	}
	return telemetry.OutcomeRefused
}

// minServerFault is the lowest HTTP status for a fault of the service and not of the request.
const minServerFault = 500
