// Package forward is the last filter of the chain for routed requests. It sends a request to a
// backend server, retries it at another one where that is allowed, and relays the answer. A stream
// that is interrupted is resumed at another server if its route allows that.
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
	Origins  relay.Origins
	Versions relay.Versions
	// ObservePlain is called with how long a plain service took to answer; nil: no call.
	ObservePlain func(took time.Duration)
	// Accepts reports whether a server accepts connections, true if that can't be found out; nil: not
	// asked.
	Accepts func(ctx context.Context, address string) bool
	// EnginePriority returns the priority of a request at an engine at a time, 0 being the first; nil: no
	// priority is sent.
	EnginePriority func(x *relay.Exchange, now time.Time) int
	// Queue lets requests wait for room at a backend server.
	Queue bool
	// Pacer makes what is sent to slow callers and servers wait; nil: nothing waits.
	Pacer relay.Pacer
	// Abort breaks the caller's connection, so that the caller sees that a begun answer is
	// incomplete.
	Abort func(w http.ResponseWriter)
}

// tableRetryAfter is when a caller may retry a request that only another routing table lets be served.
const tableRetryAfter = 4 * time.Second

// ServeHTTP forwards the request. It never calls next.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, _ filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	f.Retries.CountRequest(x.Service.Name)
	regions, restricted := routes.AllowedRegions(x.Route, x.Account)
	if restricted && len(regions) == 0 {
		return errkind.New(errkind.NoBackendServer, "no region is allowed by both route %q and account %q", x.Route.Name, x.AccountName()).
			After(tableRetryAfter)
	}
	t := &task{f: f, x: x, w: w, ctx: r.Context(), work: workOf(x), ran: errkind.RanNo}
	t.work.Regions = regions
	return t.run()
}

func workOf(x *relay.Exchange) *balance.Work {
	w := &balance.Work{
		Service: x.Service.Name, Prompt: x.Prompt, PromptTokens: x.PromptTokens, Objective: x.Route.Objective.Std(),
		Account: x.AccountName(), Weight: weightOf(x.Account), Rank: x.Priority(),
	}
	if x.Origin != nil {
		w.Versions = []string{x.Origin.Version}
	}
	if x.Service.Engine != nil {
		w.Engine, w.CacheTokens = true, x.Service.Engine.CacheTokens
		w.OutputTokens, w.OutputCap = expectedOutput(x), x.OutputCap
	}
	return w
}

// weightOf returns an account's share of scarce room: the tokens that it has paid for. Accounts without
// a budget get the least share.
func weightOf(a *routes.Account) uint64 {
	if a == nil || a.Prepaid == nil {
		return 1
	}
	return max(*a.Prepaid, 1)
}

// expectedOutput returns the expected size of the answer in tokens: the caller's estimate, if it gives
// one, but at most the cap.
func expectedOutput(x *relay.Exchange) uint64 {
	if x.OutputHint == 0 {
		return x.OutputCap
	}
	return min(x.OutputHint, x.OutputCap)
}

// task is one request with all its attempts.
type task struct {
	f    *Filter
	x    *relay.Exchange
	w    http.ResponseWriter
	ctx  context.Context
	work *balance.Work
	// ran is whether any attempt so far may have run the request.
	ran errkind.Ran
	// serversReached counts the servers that have received the request.
	serversReached int
	// retry is the attempt that was taken from the allowance and has not been sent yet; nil: none.
	retry relay.Retry
	// retryTaken is set if it has already been decided that there is a next attempt.
	retryTaken bool
	// cut is set once the rest of an answer can't be passed on to the caller.
	cut bool
	// unread is the longest time for which an attempt did not read its answer because the caller did not.
	unread time.Duration
	// events counts the events of a stream that the caller has received.
	events sse.Counter
	// eventOwed is set once a stream has broken off inside an event.
	eventOwed bool
	// firstEventAt is when the attempt's first event arrived; proved is set once its server has gone on for
	// provedAfter since then.
	firstEventAt time.Time
	proved       bool
}

// outcome is the result of one attempt.
type outcome struct {
	// err is nil if the answer was sent to the caller.
	err error
	// cause classifies the attempt for the log.
	cause engineclient.Cause
	// result is what the attempt shows about the server.
	result balance.Result
	// retryable is set if another server may succeed.
	retryable bool
	// complete is set if a server sent its whole answer and the answer is not a server error.
	complete bool
}

func (t *task) run() error {
	defer t.returnRetry()
	for {
		asked := time.Now()
		t.work.MaxWait = t.maxWait(asked)
		lease, err := t.f.Balancer.Acquire(t.ctx, t.work)
		if err != nil {
			if t.f.Queue {
				t.x.RefusedAfter = time.Since(asked)
			}
			return t.giveUp(err)
		}
		if !t.versionShared(lease) {
			lease.Done(balance.Abandoned)
			continue
		}
		release, err := t.allowSend()
		if err != nil {
			lease.Done(balance.Abandoned)
			return t.giveUp(err)
		}
		out := t.attempt(lease, release)
		if release != nil {
			release()
		}
		if out.err == nil {
			t.reportAnswer(lease, out)
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
		if err := t.x.Admission.AllowRetry(t.ctx); err != nil {
			return t.giveUp(err)
		}
	}
}

// allowSend asks whether the request may still be sent, after it has waited for a server, and takes room
// for its body, which release gives back; nil: no room was taken.
func (t *task) allowSend() (release func(), err error) {
	if t.x.Admission != nil {
		if err := t.x.Admission.AllowSend(t.ctx); err != nil {
			return nil, err
		}
	}
	if t.f.Pacer == nil || len(t.x.Body) == 0 {
		return nil, nil
	}
	return t.f.Pacer.Body(t.ctx, t.x.AccountName(), t.x.ID, len(t.x.Body))
}

// reportAnswer reports an answer that was passed on to its end to the quarantine.
func (t *task) reportAnswer(lease relay.Lease, out outcome) {
	if t.x.Admission == nil {
		return
	}
	output := t.x.BytesSent > 0
	if t.x.Route.Kind == routes.Stream {
		output = t.x.Attempts[len(t.x.Attempts)-1].Events > 0
	}
	t.x.Admission.Answered(filter.ServerAnswer{
		Whole: out.complete, Output: output && t.x.Status < http.StatusMultipleChoices, Software: t.software(lease),
	})
}

// provedAfter is how long a server has to go on after its first event to show that it did not crash as it
// began to answer.
const provedAfter = 300 * time.Millisecond

// reportProgress reports to the quarantine once that a server goes on with a stream it has begun.
func (t *task) reportProgress(lease relay.Lease) {
	switch {
	case t.x.Admission == nil || t.proved:
	case t.firstEventAt.IsZero():
		t.firstEventAt = time.Now()
	case time.Since(t.firstEventAt) >= provedAfter:
		t.proved = true
		t.x.Admission.Answered(filter.ServerAnswer{Output: true, Software: t.software(lease)})
	}
}

// software returns what the server of a lease runs.
func (t *task) software(lease relay.Lease) string {
	return t.x.Service.Name + "/" + lease.Choice().Instance.Version + "/" + t.x.Model
}

// takeRetry reports whether a further attempt is allowed, and takes it from the allowance.
func (t *task) takeRetry() bool {
	if t.x.Begun && !t.mayResume() {
		return false
	}
	if t.ran != errkind.RanNo && !t.x.Route.Repeatable() {
		return false
	}
	if t.serversReached == 0 || t.retryTaken {
		t.retryTaken = false
		return true // no server has received the request yet, or the retry was already taken
	}
	if t.serversReached < t.x.Route.MaxAttempts {
		t.retry = t.f.Retries.Allow(t.x.Service.Name, t.x.ID)
	}
	return t.retry != nil
}

// sendRetry records that an attempt which was taken from the allowance is sent now.
func (t *task) sendRetry() {
	if t.retry != nil {
		t.retry.Sent()
		t.retry = nil
	}
}

// returnRetry gives back an attempt that was taken from the allowance and not sent.
func (t *task) returnRetry() {
	if t.retry != nil {
		t.retry.Return()
		t.retry = nil
	}
}

// mayResume reports whether another server can continue an answer that has begun. It can't if the
// caller has part of an event, since that server sends the event from its beginning, or if the software
// version that the server must run is not known.
func (t *task) mayResume() bool {
	return t.x.Route.Kind == routes.Stream && t.x.Route.Resumable && t.events.LastID() != "" && t.events.IncompleteBytes() == 0 &&
		t.x.Origin != nil
}

// takeRetryEarly is takeRetry called before the attempt fails. The attempt that it allows has to be
// made.
func (t *task) takeRetryEarly() bool {
	t.retryTaken = t.takeRetry()
	return t.retryTaken
}

// giveUp ends the request with an error that holds for all its attempts. An answer that has begun
// is aborted: only a connection without a proper end tells the caller that it is incomplete.
func (t *task) giveUp(err error) error {
	if t.x.Begun {
		t.f.Abort(t.w)
		return truncatedError(errkind.From(err))
	}
	e := *errkind.From(err)
	if t.ran != errkind.RanNo && e.Ran() == errkind.RanNo {
		// A caller that is told that its request did not run may send it again.
		return errkind.New(errkind.BackendServerFailed, "after an attempt that may have run: %s", e.Message).WithRan(t.ran)
	}
	return &e
}

// truncatedError returns the error for an answer that had begun. Its kind distinguishes a server's
// failure from an end by the caller or the deadline.
func truncatedError(e *errkind.Error) error {
	kind := errkind.BackendServerFailed
	if e.Kind == errkind.CallerGone || e.Kind == errkind.DeadlineExceeded {
		kind = e.Kind
	}
	return errkind.New(kind, "the answer was truncated: %s", e.Message).WithRan(errkind.RanYes)
}

// outgoing returns the request to send to the chosen server.
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
	if t.f.EnginePriority != nil && x.Service.Engine != nil {
		out.Priority = t.f.EnginePriority(x, time.Now())
	}
	x.Attempts[len(x.Attempts)-1].Priority = out.Priority
	t.f.Dialect.Encode(h, x, out)
	return &engineclient.Forward{
		Address: choice.Instance.Address, Method: x.Method, Target: x.Target, Host: x.Host, Header: h, Body: x.Body,
	}
}

// markMayHaveRun records that a server may have begun to run the request.
func (t *task) markMayHaveRun() { t.ran = errkind.RanUnknown }
