// Package forward is the last filter of the chain for routed requests: it sends a
// request to a backend server, again to another one where that is allowed, and relays
// the answer.
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
)

// Filter implements filter.Filter.
type Filter struct {
	Dialect  relay.Dialect
	Client   relay.Forwarder
	Balancer relay.Balancer
	Retries  relay.Retries
	// Abort breaks the caller's connection: the answer that has begun stays without its
	// end.
	Abort func(w http.ResponseWriter)
}

// ServeHTTP sends the request on; next is never called.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, _ filter.Handler) error {
	x := relay.From(r.Context())
	f.Retries.First(x.Service.Name)
	t := &try{f: f, x: x, w: w, ctx: r.Context(), work: workOf(x), ran: errkind.RanNo}
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

// try is one request with all its attempts.
type try struct {
	f    *Filter
	x    *relay.Exchange
	w    http.ResponseWriter
	ctx  context.Context
	work *balance.Work
	// ran is what is known of the attempts so far: whether any of them may have run.
	ran errkind.Ran
	// sent counts the servers that the request has reached.
	sent int
	// allowed: the next attempt was taken from the allowance already.
	allowed bool
}

func (t *try) run() error {
	for {
		lease, err := t.f.Balancer.Acquire(t.ctx, t.work)
		if err != nil {
			return t.refusal(err)
		}
		err, again := t.attempt(lease)
		if err == nil {
			return nil
		}
		if t.ctx.Err() != nil {
			return t.refusal(filter.ContextError(t.ctx))
		}
		if !again || !t.mayRepeat() {
			return t.refusal(err)
		}
	}
}

// mayRepeat tells whether a further attempt is allowed, and takes it from the allowance.
func (t *try) mayRepeat() bool {
	if t.x.Begun || t.ran != errkind.RanNo && !t.x.Route.Repeatable() {
		return false
	}
	if t.sent == 0 || t.allowed {
		t.allowed = false
		return true
	}
	return t.sent < t.x.Route.MaxAttempts && t.f.Retries.Allow(t.x.Service.Name)
}

// allowNext is mayRepeat ahead of time: the attempt that it allows is made.
func (t *try) allowNext() bool {
	t.allowed = t.mayRepeat()
	return t.allowed
}

// refusal makes what an error says of the run true for all attempts.
func (t *try) refusal(err error) error {
	e := *errkind.From(err)
	if t.ran != errkind.RanNo && e.Ran() == errkind.RanNo {
		// A caller that is told "did not run" may send the request again.
		return errkind.New(errkind.BackendServerFailed, "after an attempt that may have run: %s", e.Message).WithRan(t.ran)
	}
	return &e
}

// attempt sends the request to one server. again tells whether another server may
// do better.
func (t *try) attempt(lease relay.Lease) (err error, again bool) {
	choice := lease.Choice()
	t.work.Exclude = append(t.work.Exclude, choice.Instance.ID)
	t.x.Attempts = append(t.x.Attempts, relay.Attempt{
		Server: choice.Instance.ID, Wait: choice.Wait, Cached: choice.Cached, Shared: choice.Shared, Home: choice.HomeWait, Running: choice.Running,
	})
	note := &t.x.Attempts[len(t.x.Attempts)-1]
	started := time.Now()
	result := balance.Abandoned
	defer func() {
		note.Took = time.Since(started)
		if note.Outcome == "" && err != nil {
			note.Outcome = err.Error()
		}
		lease.Done(result)
	}()

	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	res, sendErr := t.f.Client.Forward(ctx, t.outgoing(choice))
	if sendErr != nil {
		result = t.notAnswered(sendErr)
		return errkind.New(errkind.BackendServerFailed, "%v", sendErr).WithRan(t.ran), true
	}
	defer func() { _ = res.Body.Close() }()
	note.First = time.Since(started)
	t.sent++
	reply := t.f.Dialect.Reply(res)
	if reply.Load != nil {
		lease.Report(*reply.Load)
	}
	switch {
	case reply.OtherInstance:
		lease.Wrong()
		return errkind.New(errkind.NoBackendServer, "another instance has the server's address"), true
	case reply.ID != t.x.ID:
		// A late answer to another request, or bytes that are no answer: never for this caller.
		t.mayHaveRun()
		t.x.Input = true
		result = balance.Broken
		return errkind.New(errkind.BackendServerFailed, "the answer names request %q", reply.ID).WithRan(t.ran), true
	case reply.NotRun:
		result = balance.Shed
		return errkind.New(errkind.Overloaded, "the backend server did not take the request: status %d", res.StatusCode).After(shedRetry), true
	}
	t.mayHaveRun()
	result, err, again = t.deliver(lease, res)
	if err == nil {
		note.Outcome = "answered"
	}
	return err, again
}

// shedRetry is when a caller may come back whose request a full server did not take:
// about the time in which a batch of a busy engine ends a request.
const shedRetry = 300 * time.Millisecond

func (t *try) outgoing(choice balance.Choice) *engineclient.Forward {
	x := t.x
	h := x.Header.Clone()
	out := relay.Outgoing{
		Instance: choice.Instance.ID, Left: time.Until(x.Deadline), Account: x.AccountName(),
		Priority: -1, ResumeAfter: x.ResumeAfter,
	}
	t.f.Dialect.Encode(h, x, out)
	return &engineclient.Forward{
		Address: choice.Instance.Address, Method: x.Method, Target: x.Target, Host: x.Host, Header: h, Body: x.Body,
	}
}

// mayHaveRun notes that a server may have begun to work on the request.
func (t *try) mayHaveRun() { t.ran = errkind.RanUnknown }

// notAnswered takes an attempt without an answer.
func (t *try) notAnswered(err error) balance.Result {
	if e, ok := err.(*engineclient.Error); ok && e.Ran == errkind.RanNo {
		return t.unlessOver(balance.Unreachable)
	}
	t.sent++
	t.mayHaveRun()
	result := t.unlessOver(balance.Broken)
	t.x.Input = t.x.Input || result == balance.Broken
	return result
}

// unlessOver is the result, or Abandoned if the request's own end caused it.
func (t *try) unlessOver(result balance.Result) balance.Result {
	if t.ctx.Err() != nil {
		return balance.Abandoned
	}
	return result
}
