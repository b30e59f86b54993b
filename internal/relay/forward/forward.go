// Package forward is the last filter of the chain for routed requests: it sends a
// request to a backend server, again to another one where that is allowed, and relays
// the answer. A stream that breaks off goes on at another server, if its route says that
// it may.
package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/sse"
)

// Filter implements filter.Filter.
type Filter struct {
	Dialect  relay.Dialect
	Client   relay.Forwarder
	Balancer relay.Balancer
	Retries  relay.Retries
	Limits   relay.Limits
	// Abort breaks the caller's connection: the answer that has begun stays without its
	// end.
	Abort func(w http.ResponseWriter)
}

// ServeHTTP sends the request on; next is never called.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, _ filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	f.Retries.CountRequest(x.Service.Name)
	t := &task{f: f, x: x, w: w, ctx: r.Context(), work: workOf(x), ran: errkind.RanNo}
	return t.run()
}

func workOf(x *relay.Exchange) *balance.Work {
	w := &balance.Work{
		Service: x.Service.Name, Prompt: x.Prompt, PromptTokens: x.PromptTokens, Objective: x.Route.Objective.Std(),
	}
	if x.Service.Engine != nil {
		w.Engine, w.CacheTokens = true, x.Service.Engine.CacheTokens
	}
	return w
}

// task is one request with all its attempts.
type task struct {
	f    *Filter
	x    *relay.Exchange
	w    http.ResponseWriter
	ctx  context.Context
	work *balance.Work
	// ran is what is known of the attempts so far: whether any of them may have run.
	ran errkind.Ran
	// serversReached counts the servers that the request has reached.
	serversReached int
	// retryTaken: the next attempt was taken from the allowance already.
	retryTaken bool
	// events are those of a stream that the caller has.
	events sse.Counter
}

// outcome of one attempt.
type outcome struct {
	// err is nil when the answer is with the caller.
	err error
	// cause is what became of the attempt.
	cause engineclient.Cause
	// result says what the attempt tells of the server.
	result balance.Result
	// retryable: another server may do better.
	retryable bool
	// complete: a server gave its complete answer, and did not fail.
	complete bool
}

func (t *task) run() error {
	for {
		lease, err := t.f.Balancer.Acquire(t.ctx, t.work)
		if err != nil {
			return t.giveUp(err)
		}
		out := t.attempt(lease)
		if out.complete && t.x.Admission != nil {
			t.x.Admission.Answered()
		}
		if out.err == nil {
			return nil
		}
		if t.ctx.Err() != nil {
			return t.giveUp(filter.ContextError(t.ctx))
		}
		if !out.retryable || !t.takeRetry() {
			return t.giveUp(out.err)
		}
		if t.x.Admission == nil {
			continue
		}
		if err := t.x.Admission.Again(t.ctx); err != nil {
			return t.giveUp(err)
		}
	}
}

// takeRetry tells whether a further attempt is allowed, and takes it from the allowance.
func (t *task) takeRetry() bool {
	if t.x.Begun && !t.mayResume() {
		return false
	}
	if t.ran != errkind.RanNo && !t.x.Route.Repeatable() {
		return false
	}
	if t.serversReached == 0 || t.retryTaken {
		t.retryTaken = false
		return true // nothing reached a server yet
	}
	return t.serversReached < t.x.Route.MaxAttempts && t.f.Retries.Allow(t.x.Service.Name)
}

// mayResume tells whether another server can go on with an answer that has begun.
func (t *task) mayResume() bool {
	return t.x.Route.Kind == routes.Stream && t.x.Route.Resumable && t.events.LastID() != ""
}

// takeRetryEarly is mayRepeat ahead of time: the attempt that it allows is made.
func (t *task) takeRetryEarly() bool {
	t.retryTaken = t.takeRetry()
	return t.retryTaken
}

// giveUp ends the request with an error that is true of all its attempts. An answer that
// has begun is broken off: only a connection without its proper end tells the caller.
func (t *task) giveUp(err error) error {
	if t.x.Begun {
		t.f.Abort(t.w)
		return truncatedError(errkind.From(err))
	}
	e := *errkind.From(err)
	if t.ran != errkind.RanNo && e.Ran() == errkind.RanNo {
		// A caller that is told "did not run" may send the request again.
		return errkind.New(errkind.BackendServerFailed, "after an attempt that may have run: %s", e.Message).WithRan(t.ran)
	}
	return &e
}

// truncatedError is the error of an answer that had begun. Its kind tells a server's failure
// from the end that the caller or the deadline set.
func truncatedError(e *errkind.Error) error {
	kind := errkind.BackendServerFailed
	if e.Kind == errkind.CallerGone || e.Kind == errkind.DeadlineExceeded {
		kind = e.Kind
	}
	return errkind.New(kind, "the answer broke off: %s", e.Message).WithRan(errkind.RanYes)
}

// outgoing is the request as the chosen server gets it.
func (t *task) outgoing(choice balance.Choice) *engineclient.Forward {
	x := t.x
	h := x.Header.Clone()
	out := relay.Outgoing{
		Instance: choice.Instance.ID, Remaining: time.Until(x.Deadline), Account: x.AccountName(),
		Priority: -1, ResumeAfter: x.ResumeAfter,
	}
	if t.x.Begun {
		out.ResumeAfter = t.events.LastID()
	}
	t.f.Dialect.Encode(h, x, out)
	return &engineclient.Forward{
		Address: choice.Instance.Address, Method: x.Method, Target: x.Target, Host: x.Host, Header: h, Body: x.Body,
	}
}

// markMayHaveRun notes that a server may have begun to work on the request.
func (t *task) markMayHaveRun() { t.ran = errkind.RanUnknown }
