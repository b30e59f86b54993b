// Package idempotency directs all arrivals of the same request to the same run. It stores the
// in-flight record before anything is reserved or dispatched. If the identity is already known, the
// finished answer is replayed, the engine's stream of a dead host is taken over, or the caller is
// told the request's state.
package idempotency

import (
	"context"
	"net/http"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// inProgressRetry is the time after which a caller should ask again for a request that is still
// running.
const inProgressRetry = time.Second

// Filter begins in-flight records and recognizes requests that arrived before.
type Filter struct {
	Records  filter.Records
	Hosts    filter.Hosts
	Settings filter.Settings
	Clock    filter.Clock
}

// ServeHTTP implements filter.Filter.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	c := filter.CallFrom(r.Context())
	now := f.Clock.Now()
	key := r.Header.Get(filter.HeaderIdempotencyKey)
	c.KeyGiven = key != ""
	if !c.KeyGiven {
		key = NewKey(now)
	} else if err := checkKey(key, now, f.Settings.Fleet().IdempotencyWindow.Std()); err != nil {
		return err
	}
	// The header is set before anything can fail: a caller whose answer is lost asks again with
	// this key.
	w.Header().Set(filter.HeaderIdempotencyKey, key)
	c.Identity = c.AccountName + "/" + key
	c.Record = f.newRecord(c)
	known, begun, err := f.Records.Begin(r.Context(), c.Record, c.Team.Copies)
	if err != nil {
		return contextErrorOr(r.Context(), err)
	}
	if begun {
		return next.ServeHTTP(w, r)
	}
	return f.serveKnown(w, r, next, known)
}

func contextErrorOr(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return filter.ContextError(ctx)
	}
	return err
}

func (f *Filter) newRecord(c *filter.Call) *pb.InflightRecord {
	return &pb.InflightRecord{
		Identity: c.Identity, RequestId: c.ID, Holder: f.Hosts.Self(),
		Budget: c.Account.Budget, Reserved: c.Reserved, Team: c.TeamName, Account: c.AccountName,
		Idempotent: c.Idempotent, State: pb.InflightState_INFLIGHT_STATE_RUNNING,
		PromptTokens: c.PromptTokens, Version: 1, BodyHash: c.BodyHash, Stream: c.Stream, Path: c.Path,
		TimeoutMs: c.Deadline.Sub(c.Arrived).Milliseconds(),
	}
}

// serveKnown serves a request whose identity is known.
func (f *Filter) serveKnown(w http.ResponseWriter, r *http.Request, next filter.Handler, known *pb.InflightRecord) error {
	c := filter.CallFrom(r.Context())
	if known.BodyHash != c.BodyHash {
		return errkind.New(errkind.KeyConflict, "the idempotency key was used with another body")
	}
	switch known.State {
	case pb.InflightState_INFLIGHT_STATE_DONE:
		c.Note(f.Clock.Now(), "idempotency", "replayed the answer of request "+known.RequestId)
		return Replay(w, c, known)
	case pb.InflightState_INFLIGHT_STATE_ABANDONED:
		// The earlier run ended without a whole answer and may be repeated.
		c.Dispatched = true
		return f.takeOver(w, r, next, known)
	}
	if f.Hosts.Alive(known.Holder) {
		return errkind.New(errkind.InProgress, "request %s with this idempotency key is still running", known.RequestId).After(inProgressRetry)
	}
	c.Dispatched = true
	// Only model engines keep their streams for another reader.
	if c.Kind == filter.WorkModel && known.Server != "" && known.EngineRequestId != "" {
		c.Resume = &filter.ResumePoint{Server: known.Server, EngineRequestID: known.EngineRequestId}
	}
	if !c.Idempotent && c.Resume == nil {
		return errkind.New(errkind.OutcomeUnknown, "the host that ran request %s is dead, and the outcome of the request is not known", known.RequestId)
	}
	return f.takeOver(w, r, next, known)
}

// takeOver makes this host the holder of the record and calls the rest of the chain.
func (f *Filter) takeOver(w http.ResponseWriter, r *http.Request, next filter.Handler, known *pb.InflightRecord) error {
	c := filter.CallFrom(r.Context())
	c.Record.Version = known.Version
	if c.Resume != nil {
		c.Record.Server, c.Record.EngineRequestId = c.Resume.Server, c.Resume.EngineRequestID
	}
	c.Note(f.Clock.Now(), "idempotency", "took over request "+known.RequestId+" of host "+known.Holder.GetHost())
	if err := f.Records.Takeover(r.Context(), c.Record, c.Team.Copies); err != nil {
		return contextErrorOr(r.Context(), err)
	}
	c.TakenOver = true
	return next.ServeHTTP(w, r)
}

// Replay answers with the answer stored in the record of a finished run.
func Replay(w http.ResponseWriter, c *filter.Call, rec *pb.InflightRecord) error {
	if rec.AnswerStatus == 0 {
		return errkind.New(errkind.AnswerNotKept, "request %s ran, but its answer is no longer kept", rec.RequestId)
	}
	c.Usage = filter.Usage{Prompt: rec.PromptTokens, Output: rec.OutputTokens}
	c.Answer = filter.Answer{Begun: true, Status: int(rec.AnswerStatus), ContentType: rec.AnswerContentType, Body: rec.Answer}
	if rec.AnswerContentType != "" {
		w.Header().Set("Content-Type", rec.AnswerContentType)
	}
	w.WriteHeader(int(rec.AnswerStatus))
	_, _ = w.Write(rec.Answer)
	return nil
}
