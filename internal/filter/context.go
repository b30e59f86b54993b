package filter

import (
	"context"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// ContextError returns the refusal for a call whose context has ended: the context's cause if that
// is a refusal, else DeadlineExceeded.
func ContextError(ctx context.Context) *errkind.Error {
	cause := errkind.From(context.Cause(ctx))
	if cause != nil && cause.Kind != errkind.Internal {
		return errkind.New(cause.Kind, "%s", cause.Message)
	}
	return errkind.New(errkind.DeadlineExceeded, "the deadline passed before the answer was complete")
}

// CorrectRan returns err with a value of Ran that holds for the whole call.
//
// Without it a call whose first attempt may have run, and whose second attempt is rejected by the
// scheduler, would be answered with the "did not run" of the latter kind's row, and the caller
// would send the request again under another key.
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

// ranEarlier reports whether a refusal of kind k is about an earlier arrival of the same request.
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
