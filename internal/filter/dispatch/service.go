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

// minFirstTry is the least time for a first try at a plain service.
const minFirstTry = 50 * time.Millisecond

// service calls a plain service. Its answer, whatever its status, is the caller's.
func (f *Filter) service(ctx context.Context, w http.ResponseWriter, c *filter.Call, server, id string) error {
	before := c.Dispatched
	c.Dispatched = true
	try, cancel := f.tryContext(ctx, c)
	defer cancel()
	req := f.request(c, server, id)
	req.IdempotencyKey = c.Identity
	began := f.Clock.Now()
	answer, err := f.Client.Call(try, req)
	ran, refused, status := judge(err)
	if err == nil || ran != errkind.RanNo {
		reached(c)
	}
	if err == nil {
		c.Outcome.OK = true
		if answer.Status < http.StatusInternalServerError {
			answered(c)
		}
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
		broke(c, server, began)
	}
	c.Note(f.Clock.Now(), "dispatch", "attempt failed with status "+strconv.Itoa(status)+": "+err.Error())
	return failed(ran, server, err.Error())
}

// tryContext keeps half of the time back for another server when a call may be
// repeated: the connection may be one that has gone silent, which for a plain
// service shows only by waiting.
func (f *Filter) tryContext(ctx context.Context, c *filter.Call) (context.Context, context.CancelFunc) {
	half := c.Deadline.Sub(f.Clock.Now()) / 2
	if !c.Idempotent || c.Attempts > 1 || half < minFirstTry {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, half)
}

func (f *Filter) writeService(w http.ResponseWriter, c *filter.Call, a *engineclient.Answer) {
	c.Answer = filter.Answer{Begun: true, Status: a.Status, ContentType: a.ContentType}
	keep(&c.Answer, a.Body)
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

// judge reads what a failed call says of the run.
func judge(err error) (ran errkind.Ran, refused bool, status int) {
	var e *engineclient.Error
	if errors.As(err, &e) {
		return e.Ran, e.Refused, e.Status
	}
	return errkind.RanUnknown, false, 0
}
