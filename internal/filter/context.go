package filter

import (
	"context"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// ContextError is the refusal for a call whose context has ended: its cause, if that
// is a refusal, else DeadlineExceeded.
func ContextError(ctx context.Context) *errkind.Error {
	cause := errkind.From(context.Cause(ctx))
	if cause != nil && cause.Kind != errkind.Internal {
		return errkind.New(cause.Kind, "%s", cause.Message)
	}
	return errkind.New(errkind.DeadlineExceeded, "the deadline passed before the whole answer was there")
}

// CorrectRan makes what err says of the run true for the whole call.
//
// What goes wrong without it: a first attempt may have run, and a second one is
// refused by the scheduler with a kind whose row says "did not run". The caller
// would send the work again under another key.
func CorrectRan(c *Call, err error) *errkind.Error {
	e := errkind.From(err)
	if e == nil {
		return nil
	}
	e = clone(e)
	switch {
	case c.Dispatched && (c.Answer.Begun || c.Usage.Output > 0):
		return e.WithRan(errkind.RanYes)
	case c.Dispatched && e.Ran() == errkind.RanNo:
		return e.WithRan(errkind.RanUnknown)
	case !c.Dispatched && !ranEarlier(e.Kind):
		return e.WithRan(errkind.RanNo)
	}
	return e
}

// ranEarlier is true for refusals about an earlier arrival of the same request.
func ranEarlier(k errkind.Kind) bool {
	switch k {
	case errkind.InProgress, errkind.AnswerNotKept, errkind.OutcomeUnknown:
		return true
	}
	return false
}

func clone(e *errkind.Error) *errkind.Error {
	c := *e
	return &c
}
