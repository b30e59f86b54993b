package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// minFirstAttempt is the minimum time limit of a first attempt at a plain service.
const minFirstAttempt = 50 * time.Millisecond

// service calls a plain service. Its answer is passed on to the caller whatever its status.
func (f *Filter) service(ctx context.Context, w http.ResponseWriter, c *filter.Call, server, id string) error {
	before := c.Dispatched
	c.Dispatched = true
	try, cancel := f.tryContext(ctx, c)
	defer cancel()
	req := f.request(c, server, id)
	req.IdempotencyKey = c.Identity
	began := f.Clock.Now()
	answer, err := f.Client.Call(try, req)
	ran, refused, status := errorDetails(err)
	if err == nil || ran != errkind.RanNo {
		reportReached(c)
	}
	if err == nil {
		c.Outcome.OK = true
		f.reportEnd(c, answer)
		f.writeService(w, c, answer)
		return nil
	}
	if ran == errkind.RanNo {
		c.Dispatched = before
	}
	c.Outcome.Refused = refused
	if ctx.Err() != nil {
		return filter.ContextError(ctx).WithRan(ran)
	}
	if try.Err() != nil {
		c.Outcome.Silent = true
		f.Client.DropConnections(server)
	} else if engineclient.CauseOf(err).CrashLike() {
		reportConnectionLoss(c, server, began, false)
	}
	c.Note(f.Clock.Now(), "dispatch", "attempt failed with status "+strconv.Itoa(status)+": "+err.Error())
	return attemptFailed(ran, server, err.Error())
}

// reportEnd reports an answer to the quarantine if it is shown to be whole and not a server error.
func (f *Filter) reportEnd(c *filter.Call, answer *engineclient.Answer) {
	switch {
	case !answer.EndShown:
		c.Note(f.Clock.Now(), "dispatch", "the answer ended with its connection, and its content doesn't show whether it is whole")
	case answer.Status < http.StatusInternalServerError:
		reportAnswered(c, len(answer.Body) > 0)
	}
}

// tryContext returns the context of an attempt. For the first attempt of a call that may be
// repeated it keeps half of the time for another server: the connection may have become silent,
// which for a plain service can only be detected by waiting.
func (f *Filter) tryContext(ctx context.Context, c *filter.Call) (context.Context, context.CancelFunc) {
	half := c.Deadline.Sub(f.Clock.Now()) / 2
	if !c.Idempotent || c.Attempts > 1 || half < minFirstAttempt {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, half)
}

func (f *Filter) writeService(w http.ResponseWriter, c *filter.Call, a *engineclient.Answer) {
	c.Answer = filter.Answer{Begun: true, Status: a.Status, ContentType: a.ContentType}
	appendAnswer(&c.Answer, a.Body)
	h := w.Header()
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	if len(a.Body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// errorDetails returns what the error of a failed call says about the run.
func errorDetails(err error) (ran errkind.Ran, refused bool, status int) {
	var e *engineclient.Error
	if errors.As(err, &e) {
		return e.Ran, e.Refused, e.Status
	}
	return errkind.RanUnknown, false, 0
}
