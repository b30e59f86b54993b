// Package route acquires a slot for a call at a backend server and, if an attempt fails, tries
// again at another one: only if the call certainly did not run or may run twice, and within the
// team's retry allowance and the deadline.
package route

import (
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// Step is the name of this filter in the notes of a call.
const Step = "route"

// Filter runs the loop of attempts.
type Filter struct {
	Scheduler filter.Scheduler
	Retries   filter.Retries
	Records   filter.Records
	Clock     filter.Clock
}

// ServeHTTP implements filter.Filter.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	c := filter.CallFrom(r.Context())
	if c.Resume != nil {
		err := f.resume(w, r, next)
		if !mayRetry(c, err) || !quarantineAllows(r, c) {
			return finalError(c, err)
		}
		c.Resume = nil
	}
	f.Retries.CountRequest(c.TeamName)
	work := workOf(c)
	for {
		err := f.attempt(w, r, next, &work)
		if err == nil || !mayRetry(c, err) {
			return finalError(c, err)
		}
		if c.Attempts >= c.Team.Retry.MaxAttempts || !f.Retries.Allow(c.TeamName, *c.Team.Retry) {
			return finalError(c, err)
		}
		if !quarantineAllows(r, c) {
			return finalError(c, err)
		}
	}
}

// quarantineAllows reports whether the quarantine allows the call to be sent to another server.
func quarantineAllows(r *http.Request, c *filter.Call) bool {
	return c.Admission == nil || c.Admission.AllowRetry(r.Context()) == nil
}

func workOf(c *filter.Call) filter.Work {
	target := c.Model
	if c.Kind == filter.WorkService {
		target = c.Service
	}
	return filter.Work{
		ID: c.ID, Account: c.AccountName, Weight: c.Account.Weight, Team: c.TeamName, Priority: c.Team.Priority,
		Kind: c.Kind, Target: target, Adapter: c.Adapter,
		PromptTokens: c.PromptTokens, OutputCap: c.OutputCap, PromptHashes: c.PromptHashes, Deadline: c.Deadline,
	}
}

// mayRetry reports whether the call may be sent to another server after err.
func mayRetry(c *filter.Call, err error) bool {
	if c.NoRetry || !errkind.Is(err, errkind.BackendServerFailed) {
		return false
	}
	return c.Idempotent || !c.Dispatched
}

// finalError returns the error to answer if no attempt is left. The outcome of a run that must not
// be repeated and may have happened is unknown.
func finalError(c *filter.Call, err error) error {
	if errkind.Is(err, errkind.BackendServerFailed) && !c.Idempotent && c.Dispatched {
		return errkind.New(errkind.OutcomeUnknown, "%s", errkind.From(err).Message)
	}
	return err
}

// attempt acquires a slot at one server and runs the call there.
func (f *Filter) attempt(w http.ResponseWriter, r *http.Request, next filter.Handler, work *filter.Work) error {
	c := filter.CallFrom(r.Context())
	lease, err := f.Scheduler.Acquire(r.Context(), *work)
	if err != nil {
		if r.Context().Err() != nil {
			return filter.ContextError(r.Context())
		}
		return err
	}
	if c.Admission != nil {
		if err := c.Admission.AllowSend(r.Context()); err != nil {
			lease.Done(filter.Outcome{})
			return err
		}
	}
	c.Lease = lease
	c.Attempts++
	c.Outcome = filter.Outcome{}
	began := f.Clock.Now()
	defer func() {
		c.Outcome.Took = f.Clock.Now().Sub(began)
		lease.Done(c.Outcome)
	}()
	work.Exclude = append(work.Exclude, lease.Address())
	f.noteServer(c, began)
	return next.ServeHTTP(w, r)
}

// noteServer updates the in-flight record, so that the peers with a copy know where the call runs.
func (f *Filter) noteServer(c *filter.Call, now time.Time) {
	c.Note(now, Step, "attempt "+strconv.Itoa(c.Attempts)+" at "+c.Lease.Address()+": "+c.Lease.Reason())
	rec := c.NextRecord()
	rec.Server = c.Lease.Address()
	rec.EngineRequestId = EngineRequestID(c)
	f.Records.Update(rec)
}

// EngineRequestID returns the ID of the call's current attempt at its engine.
func EngineRequestID(c *filter.Call) string { return AttemptID(c.ID, c.Attempts) }

// AttemptID returns the ID of an attempt of a request at its engine.
func AttemptID(requestID string, attempt int) string { return requestID + "-" + strconv.Itoa(attempt) }

// resume reads the stream of a former holder. It acquires no slot, since the run already has one.
func (f *Filter) resume(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	c := filter.CallFrom(r.Context())
	c.Note(f.Clock.Now(), Step, "resumed "+c.Resume.EngineRequestID+" at "+c.Resume.Server)
	return next.ServeHTTP(w, r)
}
