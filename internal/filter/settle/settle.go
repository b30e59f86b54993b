// Package settle ends each call that began a record: it bills once what was used, frees the rest of
// the reservation and records how the call ended.
//
// What is billed:
//
//   - a whole answer: the usage reported by the engine, else the tokens counted;
//   - a stream that was cut or canceled after at least one token: the usage that the engine reports when
//     it is canceled, else the upper bound of the prompt plus the tokens received, since the engine
//     stops there;
//   - a stream that exceeded its output cap: the whole reservation;
//   - a call to a plain service: its fixed price once it has answered, and also if it must not be
//     repeated and its outcome is unknown, since it may have run;
//   - anything else: nothing.
package settle

import (
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Filter comes after idempotency, so that a replay is never billed, and before budget, so that
// every reservation is ended.
type Filter struct {
	Budget  filter.Budget
	Records filter.Records
	Clock   filter.Clock
}

// ServeHTTP implements filter.Filter.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	c := filter.CallFrom(r.Context())
	ended := false
	defer func() {
		if !ended { // an inner filter panicked; nothing is known of the run
			f.end(c, errkind.New(errkind.Internal, "an internal error of the host"))
		}
	}()
	err := next.ServeHTTP(w, r)
	ended = true
	refusal := filter.CorrectRan(c, err)
	f.end(c, refusal)
	if refusal == nil {
		return nil
	}
	return refusal
}

func (f *Filter) end(c *filter.Call, e *errkind.Error) {
	// The record is updated first: once it is billed it counts as done, with its contents at that
	// time.
	f.record(c, e)
	f.bill(c, e)
}

// bill bills or releases the reservation.
func (f *Filter) bill(c *filter.Call, e *errkind.Error) {
	if !c.ReservationHeld {
		return
	}
	tokens := billed(c, e)
	if tokens == 0 {
		f.Budget.Release(c.ID)
		return
	}
	f.Budget.Settle(&pb.Bill{
		Budget: c.Account.Budget, Identity: c.Identity, Tokens: tokens, RequestId: c.ID, Team: c.TeamName,
		PromptTokens: c.Usage.Prompt, OutputTokens: c.Usage.Output, TimeMs: c.Arrived.UnixMilli(),
	})
}

func billed(c *filter.Call, e *errkind.Error) uint64 {
	if !c.Dispatched {
		return 0
	}
	if c.Kind == filter.WorkService {
		if e == nil || (!c.Idempotent && e.Ran() != errkind.RanNo) {
			return c.Reserved
		}
		return 0
	}
	if e != nil && e.Kind == errkind.ReservationExhausted {
		return c.Reserved
	}
	return min(c.Usage.Prompt+c.Usage.Output, c.Reserved)
}

// record stores how the call ended, for callers that ask again.
func (f *Filter) record(c *filter.Call, e *errkind.Error) {
	if c.Replayed {
		return
	}
	if e != nil && !c.Dispatched {
		f.Records.Abandon(c.Identity, c.ID)
		return
	}
	rec := c.NextRecord()
	rec.PromptTokens, rec.OutputTokens = c.Usage.Prompt, c.Usage.Output
	switch {
	case e == nil:
		rec.State = pb.InflightState_INFLIGHT_STATE_DONE
		keepAnswer(rec, c)
	case c.Idempotent && errkind.Lookup(e.Kind).Retry != errkind.RetryNever:
		// No whole answer was sent and the work may be repeated: a retry runs it again.
		rec.State = pb.InflightState_INFLIGHT_STATE_ABANDONED
	default:
		rec.State = pb.InflightState_INFLIGHT_STATE_DONE
		rec.AnswerStatus = int32(e.Status())
		rec.AnswerContentType = "application/json"
		rec.Answer = httpserver.ErrorBody(c.ID, e)
	}
	f.Records.Update(rec)
}

func keepAnswer(rec *pb.InflightRecord, c *filter.Call) {
	if c.Answer.Truncated {
		return
	}
	rec.AnswerStatus = int32(c.Answer.Status)
	rec.AnswerContentType = c.Answer.ContentType
	rec.Answer = c.Answer.Body
}
