// Package claim lets a request that is marked as not idempotent run at most once: a quorum of the
// control group commits one claim per identity before anything is sent to a backend server. Without
// a quorum the request is rejected without having run.
package claim

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog/log"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/filter/idempotency"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// reportTimeout bounds the report of a claim's end.
	reportTimeout = 10 * time.Second
	// notRunReportTimeout bounds the report while the caller waits for it.
	notRunReportTimeout = time.Second
)

// Filter claims calls that are not idempotent. Other calls pass unclaimed.
type Filter struct {
	Claims  filter.Claims
	Records filter.Records

	reporting sync.WaitGroup
}

// Wait returns once the end of every claim has been reported or given up. A draining host calls it
// after its last request.
func (f *Filter) Wait() { f.reporting.Wait() }

// ServeHTTP implements filter.Filter.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	c := filter.CallFrom(r.Context())
	// A call that takes over an engine's stream runs nothing: it reads the output of the claimed
	// run.
	if c.Idempotent || c.Resume != nil {
		return next.ServeHTTP(w, r)
	}
	res, err := f.Claims.Claim(r.Context(), c.Identity, c.ID)
	if err != nil {
		// The claim may have been committed nevertheless. Nothing was sent to a server, so the
		// claim is released. If that report is lost too, a retry receives "unknown" but never
		// causes a second run.
		f.reporting.Go(func() {
			f.report(context.WithoutCancel(r.Context()), c.Identity, c.ID, pb.ClaimState_CLAIM_STATE_NOT_RUN, reportTimeout)
		})
		return f.claimError(r.Context(), err)
	}
	if !res.Won {
		return f.answerLost(w, r, res)
	}
	err = next.ServeHTTP(w, r)
	f.finish(r.Context(), c, err)
	return err
}

// claimError returns the refusal for a call whose claim failed. Nothing was sent to a server,
// whether or not the claim was committed.
func (f *Filter) claimError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return filter.ContextError(ctx)
	}
	e := errkind.From(err)
	switch e.Kind {
	case errkind.NoQuorum, errkind.Internal:
		return errkind.New(errkind.ClaimUnavailable, "the control group did not confirm the request's claim: %s", e.Message).After(time.Second)
	}
	return e
}

// answerLost answers a call whose claim is held by another arrival of the same request.
func (f *Filter) answerLost(w http.ResponseWriter, r *http.Request, res *pb.ClaimResult) error {
	c := filter.CallFrom(r.Context())
	f.Records.Abandon(c.Identity, c.ID)
	rec, found, err := f.Records.Find(r.Context(), c.Identity)
	if err == nil && found && rec.State == pb.InflightState_INFLIGHT_STATE_DONE {
		c.Replayed = true
		return idempotency.Replay(w, c, rec)
	}
	if res.State == pb.ClaimState_CLAIM_STATE_DONE {
		return errkind.New(errkind.AnswerNotKept, "request %s ran, but its answer was not found", res.RequestId)
	}
	return errkind.New(errkind.OutcomeUnknown, "request %s was started by host %s, and its outcome is not known", res.RequestId, res.Holder.GetHost())
}

// finish reports to the control group how the run ended. That it did not run is reported before the
// caller is answered, so that a retry finds the claim free again. An unknown outcome is not
// reported: the claim stays taken.
func (f *Filter) finish(ctx context.Context, c *filter.Call, err error) {
	ctx = context.WithoutCancel(ctx)
	switch {
	case err == nil, c.Answer.Begun:
		f.reporting.Go(func() { f.report(ctx, c.Identity, c.ID, pb.ClaimState_CLAIM_STATE_DONE, reportTimeout) })
	case !c.Dispatched:
		f.report(ctx, c.Identity, c.ID, pb.ClaimState_CLAIM_STATE_NOT_RUN, notRunReportTimeout)
	}
}

func (f *Filter) report(ctx context.Context, identity, requestID string, state pb.ClaimState, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := f.Claims.Finish(ctx, identity, requestID, state); err != nil {
		log.Warn().Str("event", "claim-end-not-reported").Str("request", requestID).Str("state", state.String()).Err(err).Send()
	}
}
