// Package claim lets a request that is marked not idempotent run at most once: the
// control group's quorum commits one claim per identity before anything is sent to a
// backend server. Without a quorum the request is refused and did not run.
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
	// finishTimeout bounds the word of a claim's end.
	finishTimeout = 10 * time.Second
	// notRunTimeout bounds it where the caller waits for it.
	notRunTimeout = time.Second
)

// Filter claims calls that are not idempotent; others pass.
type Filter struct {
	Claims  filter.Claims
	Records filter.Records

	finishing sync.WaitGroup
}

// Wait returns once every claim's end has been told or given up. A draining host
// calls it after its last request.
func (f *Filter) Wait() { f.finishing.Wait() }

// ServeHTTP implements filter.Filter.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	c := filter.CallFrom(r.Context())
	// A call that takes over an engine's stream runs nothing: it reads the claimed run.
	if c.Idempotent || c.Resume != nil {
		return next.ServeHTTP(w, r)
	}
	res, err := f.Claims.Claim(r.Context(), c.Identity, c.ID)
	if err != nil {
		// The claim may have been committed all the same. Nothing was sent, so it is
		// given back; if that word is lost too, a retry learns "unknown", never a second run.
		f.finishing.Go(func() {
			f.tell(context.WithoutCancel(r.Context()), c.Identity, c.ID, pb.ClaimState_CLAIM_STATE_NOT_RUN, finishTimeout)
		})
		return f.unclaimed(r.Context(), err)
	}
	if !res.Won {
		return f.lost(w, r, res)
	}
	err = next.ServeHTTP(w, r)
	f.finish(r.Context(), c, err)
	return err
}

// unclaimed: whether or not the claim was committed, nothing was sent to a server.
func (f *Filter) unclaimed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return filter.ContextError(ctx)
	}
	e := errkind.From(err)
	switch e.Kind {
	case errkind.NoQuorum, errkind.Internal:
		return errkind.New(errkind.ClaimUnavailable, "the request was not claimed: %s", e.Message).After(time.Second)
	}
	return e
}

// lost: another arrival of the request holds the claim.
func (f *Filter) lost(w http.ResponseWriter, r *http.Request, res *pb.ClaimResult) error {
	c := filter.CallFrom(r.Context())
	f.Records.Abandon(c.Identity, c.ID)
	rec, found, err := f.Records.Find(r.Context(), c.Identity)
	if err == nil && found && rec.State == pb.InflightState_INFLIGHT_STATE_DONE {
		c.Replayed = true
		return idempotency.Replay(w, c, rec)
	}
	if res.State == pb.ClaimState_CLAIM_STATE_DONE {
		return errkind.New(errkind.AnswerNotKept, "request %s ran and its answer is not found", res.RequestId)
	}
	return errkind.New(errkind.OutcomeUnknown, "request %s was started by host %s and its outcome is not known", res.RequestId, res.Holder.GetHost())
}

// finish tells the control group how the run ended. The word that it did not run is
// told before the caller is answered, so that a retry finds the claim free again. Of
// an unknown outcome nothing is told: the claim stays taken.
func (f *Filter) finish(ctx context.Context, c *filter.Call, err error) {
	ctx = context.WithoutCancel(ctx)
	switch {
	case err == nil, c.Answer.Begun:
		f.finishing.Go(func() { f.tell(ctx, c.Identity, c.ID, pb.ClaimState_CLAIM_STATE_DONE, finishTimeout) })
	case !c.Dispatched:
		f.tell(ctx, c.Identity, c.ID, pb.ClaimState_CLAIM_STATE_NOT_RUN, notRunTimeout)
	}
}

func (f *Filter) tell(ctx context.Context, identity, requestID string, state pb.ClaimState, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := f.Claims.Finish(ctx, identity, requestID, state); err != nil {
		log.Warn().Str("event", "claim-end-not-reported").Str("request", requestID).Str("state", state.String()).Err(err).Send()
	}
}
