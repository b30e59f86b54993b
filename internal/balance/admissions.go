package balance

import (
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/admission"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
)

// Admissions controls the sending of requests to brittle servers, each of which needs an admission.
type Admissions interface {
	// CheckAdmission returns whether a request to a server needs no admission (Free), has to request
	// one (MustRequest), or gets none for the returned time (Exhausted).
	CheckAdmission(now time.Time, inc instance.Incarnation) (ratelimit.State, time.Duration)
	// ReportAdmission reports how far an admitted request has come. An admission without an ID stands
	// for a request that was sent without one. It must not block.
	ReportAdmission(a admission.Admission, result admission.Result)
}

// AdmissionNeeded is the error for a request whose best server is brittle and has not admitted it.
type AdmissionNeeded struct {
	Incarnation instance.Incarnation
	// Slots is the number of requests that the server runs at once.
	Slots int
}

// Error implements error.
func (e *AdmissionNeeded) Error() string {
	return "an admission to server " + e.Incarnation.ID + " must be requested first"
}

// admissible reports whether a server can be considered for w as far as admissions go.
func (c *Core) admissible(now time.Time, w *Work, inc instance.Incarnation) bool {
	if c.cfg.Admissions == nil || w.Admission.For(inc) {
		return true
	}
	state, _ := c.cfg.Admissions.CheckAdmission(now, inc)
	return state == ratelimit.Free || state == ratelimit.MustRequest && !w.HeldPermitsOnly
}

// needsAdmission reports whether w must be admitted before it is sent to a server.
func (c *Core) needsAdmission(now time.Time, w *Work, inc instance.Incarnation) bool {
	if c.cfg.Admissions == nil || w.Admission.For(inc) {
		return false
	}
	state, _ := c.cfg.Admissions.CheckAdmission(now, inc)
	return state != ratelimit.Free
}

// minAdmissionRetry is the least Retry-After of a request that was refused because its servers are brittle
// and admitted no more: about the time in which a request of a busy server ends.
const minAdmissionRetry = 200 * time.Millisecond

// admissionWait returns how long a caller whom a server does not admit should wait; 0 if the server needs
// no admission.
func (c *Core) admissionWait(now time.Time, inc instance.Incarnation) time.Duration {
	if c.cfg.Admissions == nil {
		return 0
	}
	state, wait := c.cfg.Admissions.CheckAdmission(now, inc)
	if state == ratelimit.Free {
		return 0
	}
	return max(wait, minAdmissionRetry)
}

// AdmissionDue returns when the first brittle server that may get w otherwise can be asked to admit it; ok
// is false if there is none.
func (c *Core) AdmissionDue(now time.Time, w *Work) (due time.Duration, ok bool) {
	if c.cfg.Admissions == nil {
		return 0, false
	}
	for _, inst := range c.reg.ServingInShard(w.Service, w.Shard.Index, w.Shard.Of) {
		inc := inst.Incarnation()
		state, wait := c.cfg.Admissions.CheckAdmission(now, inc)
		if s := c.server(inc); state == ratelimit.Free || now.Before(s.cooldownUntil) || now.Before(s.backoffUntil) ||
			slices.Contains(w.Exclude, inc) || !c.mayServe(w, inst) || !c.permitted(now, w, inc) {
			continue
		}
		if !ok || wait < due {
			due, ok = wait, true
		}
	}
	return due, ok
}

// accepted reports that the server has accepted an attempt.
func (c *Core) accepted(r *attempt) {
	if r.admission.ID != 0 && r.engine && !r.firstSeen { // the answer of a plain service is complete at once
		c.cfg.Admissions.ReportAdmission(r.admission, admission.Accepted)
	}
}

// ended reports the end of an attempt, and also the rejection of one that was sent before this host knew that
// the server is brittle.
func (c *Core) ended(now time.Time, r *attempt, result Result) {
	if c.cfg.Admissions == nil {
		return
	}
	if result == Shed {
		if state, _ := c.cfg.Admissions.CheckAdmission(now, r.incarnation); r.admission.ID != 0 || state != ratelimit.Free {
			c.cfg.Admissions.ReportAdmission(admission.Admission{Incarnation: r.incarnation, ID: r.admission.ID, Owner: r.admission.Owner}, admission.Rejected)
		}
		return
	}
	switch {
	case r.admission.ID == 0:
	case result == Abandoned:
		c.cfg.Admissions.ReportAdmission(r.admission, admission.Left)
	default:
		c.cfg.Admissions.ReportAdmission(r.admission, admission.Finished)
	}
}
