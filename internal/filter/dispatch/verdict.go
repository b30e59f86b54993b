package dispatch

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// account writes down what the run has used as far as known.
func (a *attempt) account() {
	c := a.c
	if a.received > 0 {
		c.Usage = filter.Usage{Prompt: c.PromptTokens, Output: a.received}
	}
	if a.usage != nil {
		c.Usage = filter.Usage{Prompt: a.usage.PromptTokens, Output: a.usage.CompletionTokens}
	}
	c.Outcome.Usage = c.Usage
}

// judge stops a run that did not end by itself and says why the attempt failed.
func (a *attempt) judge(ctx context.Context, err error, before bool) error {
	ran, refused, status := judge(err)
	if !a.reached {
		a.c.Dispatched = before
		a.c.Outcome.Refused = refused
		if ctx.Err() != nil {
			return filter.ContextError(ctx).WithRan(errkind.RanNo)
		}
		if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
			return errkind.New(errkind.BadRequest, "backend server %s refused the request: %s", a.server, err.Error())
		}
		return failed(errkind.RanNo, a.server, err.Error())
	}
	switch {
	case a.received > 0:
		ran = errkind.RanYes
	case ran == errkind.RanNo: // said of a resume, not of the run
		ran = errkind.RanUnknown
	}
	switch {
	case errors.Is(err, errCut):
		a.f.cancelRun(a.server, a.id, 0)
		return errkind.New(errkind.ReservationExhausted, "the backend server went past %d tokens", a.c.OutputCap)
	case ctx.Err() != nil:
		e := filter.ContextError(ctx).WithRan(ran)
		a.cancelFor(e.Kind)
		return e
	case a.rereads == 0 && a.c.Resume == nil && callersFault(status):
		return errkind.New(errkind.BadRequest, "backend server %s refused the request: %s", a.server, err.Error()).WithRan(ran)
	}
	a.c.NoRetry = errors.Is(err, errDiverged)
	a.f.cancelRun(a.server, a.id, 0)
	a.c.Note(a.f.Clock.Now(), "dispatch", "attempt failed: "+err.Error())
	return failed(ran, a.server, err.Error())
}

// callersFault: another server would refuse the request as well.
func callersFault(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// cancelFor stops the run of a call that is given up and takes the engine's own
// count of what it used, if that comes soon enough.
func (a *attempt) cancelFor(k errkind.Kind) {
	wait := cancelWait
	if k == errkind.CallerGone {
		wait = goneWait
	}
	if usage := a.f.cancelRun(a.server, a.id, wait); usage != nil {
		a.usage = usage
		a.account()
	}
}
