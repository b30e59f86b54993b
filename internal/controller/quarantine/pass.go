package quarantine

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

// admission implements filter.Admission. It belongs to its request's goroutine.
type admission struct {
	g    *Guard
	id   quarantine.ID
	name string
	// status is the request's quarantine status as of the last check.
	status quarantine.Status
	// slotOwner is the host at which this execution holds the request's slot, which keeps other
	// executions of the same request waiting; nil if it holds none.
	slotOwner *owners.Host
	// trial is set if this execution is a trial.
	trial bool
	// crashChecks has a channel for each attempt whose connection broke. It is closed once it is
	// known whether the server has crashed.
	crashChecks []<-chan struct{}
}

// Status implements filter.Admission.
func (a *admission) Status() quarantine.Status { return a.status }

// admit asks for admission if the request is suspected or quarantined.
func (a *admission) admit(ctx context.Context) error {
	a.status = a.g.status(a.id)
	if a.status.Level == quarantine.Free {
		return nil
	}
	v := a.awaitVerdict(ctx)
	a.status = a.g.status(a.id)
	a.g.metrics.decisions.Add(string(v.Decision), 1)
	a.g.cfg.Log.Info().Str("event", "suspect-decided").Str("pass", a.name).Str("account", a.id.Account).
		Stringer("fingerprint", a.id.Fingerprint).Str("decision", string(v.Decision)).Dur("after", v.After).
		Str("level", string(a.status.Level)).Int("crashes", a.status.Crashes).Int("trials", a.status.Trials).Send()
	switch v.Decision {
	case quarantine.Wait, quarantine.Refuse:
		return refusal(a.status, v)
	}
	return nil
}

// awaitVerdict asks for admission until the verdict is not to wait, or slotTimeout has passed.
func (a *admission) awaitVerdict(ctx context.Context) quarantine.Verdict {
	for end := time.Now().Add(slotTimeout); ; {
		v := a.requestVerdict(ctx)
		if v.Decision != quarantine.Wait || time.Now().After(end) {
			return v
		}
		select {
		case <-ctx.Done():
			return v
		case <-time.After(slotPollInterval):
		}
	}
}

// requestVerdict has the request's owner decide. If the owner does not answer, this host decides
// and admits no quarantined request.
func (a *admission) requestVerdict(ctx context.Context) quarantine.Verdict {
	st := a.g.status(a.id)
	if st.Level == quarantine.Quarantined && st.NextTrial > 0 {
		return quarantine.Verdict{Decision: quarantine.Refuse, After: st.NextTrial}
	}
	lifetime := defaultLifetime
	if deadline, ok := ctx.Deadline(); ok {
		lifetime = time.Until(deadline)
	}
	hosts := a.g.cfg.Owners.FirstRanked(Key(a.id), 1)
	if len(hosts) > 0 && !hosts[0].Self() {
		if v, ok := a.askOwner(ctx, hosts[0], lifetime); ok {
			return a.recordVerdict(v, hosts[0])
		}
		if a.g.status(a.id).Level == quarantine.Quarantined {
			return quarantine.Verdict{Decision: quarantine.Refuse, After: time.Second}
		}
	}
	return a.recordVerdict(a.g.decide(a.id, a.name, lifetime), owners.Host{})
}

// recordVerdict records the owner that granted the request's slot, if the verdict grants it.
func (a *admission) recordVerdict(v quarantine.Verdict, owner owners.Host) quarantine.Verdict {
	if v.Decision == quarantine.Exclusive || v.Decision == quarantine.Trial {
		a.slotOwner, a.trial = &owner, v.Decision == quarantine.Trial
	}
	return v
}

func (a *admission) askOwner(ctx context.Context, h owners.Host, lifetime time.Duration) (quarantine.Verdict, bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := a.g.cfg.Client(h.Address).AdmitSuspect(callCtx, &pb.AdmitSuspectRequest{
		Suspect: a.g.state(a.id), Name: a.name, LifetimeMs: lifetime.Milliseconds(),
	})
	if err != nil {
		if ctx.Err() == nil {
			a.g.cfg.Owners.MarkUnanswered(h.Name)
		}
		a.g.cfg.Log.Warn().Str("event", "suspect-owner-unanswered").Str("owner", h.Name).Str("pass", a.name).Err(err).Send()
		return quarantine.Verdict{}, false
	}
	a.g.cfg.Owners.MarkAnswered(h.Name)
	a.g.mergeUpdates([]*pb.Suspect{reply.GetSuspect()}, h.Name)
	return quarantine.Verdict{
		Decision: quarantine.Decision(reply.GetDecision()), After: time.Duration(reply.GetAfterMs()) * time.Millisecond,
	}, true
}

// ServerReached implements filter.Admission.
func (a *admission) ServerReached() {
	if a.trial {
		a.g.recordTrial(a.id, a.name)
	}
}

// ConnectionLost implements filter.Admission.
func (a *admission) ConnectionLost(b filter.ConnectionLoss) {
	a.crashChecks = append(a.crashChecks, a.g.checkCrash(a.id, b))
}

// AllowRetry implements filter.Admission. It does not wait for the crash check after a first break, since most
// requests whose connection breaks did not cause it.
func (a *admission) AllowRetry(ctx context.Context) error {
	a.status = a.g.status(a.id)
	if len(a.crashChecks) > 1 || a.status.Level != quarantine.Free {
		a.awaitCrashChecks(ctx)
		a.status = a.g.status(a.id)
	}
	if a.slotOwner != nil && a.status.Level == quarantine.Suspected {
		return nil
	}
	return a.admit(ctx)
}

func (a *admission) awaitCrashChecks(ctx context.Context) {
	for _, checked := range a.crashChecks {
		select {
		case <-checked:
		case <-ctx.Done():
		}
	}
}

// Answered implements filter.Admission.
func (a *admission) Answered() { a.g.clear(a.id) }

// Close implements filter.Admission. Other executions of the same request go on waiting until it is known
// whether a server crashed during this one.
func (a *admission) Close() {
	if a.slotOwner == nil {
		return
	}
	owner := *a.slotOwner
	a.slotOwner = nil
	a.g.background.Go(func() {
		defer panics.Log(a.g.cfg.Log, "ending a suspect's execution")
		a.awaitCrashChecks(context.Background())
		a.g.endExecution(owner, a.id, a.name)
	})
}
