package dispatch

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// recordUsage records the usage of the run as far as it is known.
func (a *attempt) recordUsage() {
	c := a.c
	if a.received > 0 {
		c.Usage = filter.Usage{Prompt: c.PromptTokens, Output: a.received}
	}
	if a.usage != nil {
		c.Usage = filter.Usage{Prompt: a.usage.PromptTokens, Output: a.usage.CompletionTokens}
	}
	c.Outcome.Usage = c.Usage
}

// classify stops a run that did not end by itself and returns the refusal for the failed attempt.
func (a *attempt) classify(ctx context.Context, err error, before bool) error {
	ran, refused, status := errorDetails(err)
	if !a.reached {
		a.c.Dispatched = before
		a.c.Outcome.Refused = refused
		if ctx.Err() != nil {
			return filter.ContextError(ctx).WithRan(errkind.RanNo)
		}
		if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
			return errkind.New(errkind.BadRequest, "backend server %s rejected the request: %s", a.server, err.Error())
		}
		return attemptFailed(errkind.RanNo, a.server, err.Error())
	}
	switch {
	case a.received > 0:
		ran = errkind.RanYes
	case ran == errkind.RanNo: // this concerns the attempt to resume, not the run
		ran = errkind.RanUnknown
	}
	switch {
	case errors.Is(err, errOverCap):
		a.f.cancelRun(a.server, a.id, 0)
		return errkind.New(errkind.ReservationExhausted, "the backend server exceeded the output cap of %d tokens", a.c.OutputCap)
	case ctx.Err() != nil:
		e := filter.ContextError(ctx).WithRan(ran)
		a.cancelFor(e.Kind)
		return e
	case a.rereads == 0 && a.c.Resume == nil && callersFault(status):
		return errkind.New(errkind.BadRequest, "backend server %s rejected the request: %s", a.server, err.Error()).WithRan(ran)
	}
	a.c.NoRetry = errors.Is(err, errDiverged)
	a.f.cancelRun(a.server, a.id, 0)
	a.c.Note(a.f.Clock.Now(), "dispatch", "attempt failed: "+err.Error())
	return attemptFailed(ran, a.server, err.Error())
}

// callersFault reports whether another server would reject the request as well.
func callersFault(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// cancelFor stops the run of a call that is given up, and uses the engine's own report of its usage
// if it arrives soon enough.
func (a *attempt) cancelFor(k errkind.Kind) {
	wait := cancelUsageWait
	if k == errkind.CallerGone {
		wait = callerGoneUsageWait
	}
	if usage := a.f.cancelRun(a.server, a.id, wait); usage != nil {
		a.usage = usage
		a.recordUsage()
	}
}
