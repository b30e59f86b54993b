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

// pass implements filter.Pass. It belongs to its request's goroutine.
type pass struct {
	g    *Guard
	id   quarantine.ID
	name string
	// standing is the request's standing when it was last looked up.
	standing quarantine.Status
	// slotOwner is the host at which this execution holds the request's slot, which keeps other
	// executions of the same request waiting; nil if it holds none.
	slotOwner *owners.Host
	// trial is set if this execution is a trial.
	trial bool
	// breaks has a channel for each attempt whose connection broke. It is closed once it is known
	// whether the server has crashed.
	breaks []<-chan struct{}
}

// Status implements filter.Pass.
func (p *pass) Status() quarantine.Status { return p.standing }

// admit asks for admission if the request is suspected or quarantined.
func (p *pass) admit(ctx context.Context) error {
	p.standing = p.g.standing(p.id)
	if p.standing.Level == quarantine.Free {
		return nil
	}
	v := p.awaitVerdict(ctx)
	p.standing = p.g.standing(p.id)
	p.g.metrics.decisions.Add(string(v.Decision), 1)
	p.g.cfg.Log.Info().Str("event", "suspect-decided").Str("pass", p.name).Str("account", p.id.Account).
		Stringer("fingerprint", p.id.Fingerprint).Str("decision", string(v.Decision)).Dur("after", v.After).
		Str("level", string(p.standing.Level)).Int("crashes", p.standing.Crashes).Int("trials", p.standing.Trials).Send()
	switch v.Decision {
	case quarantine.Wait, quarantine.Refuse:
		return refusal(p.standing, v)
	}
	return nil
}

// awaitVerdict asks for admission until the verdict is not to wait, or slotTimeout has passed.
func (p *pass) awaitVerdict(ctx context.Context) quarantine.Verdict {
	for end := time.Now().Add(slotTimeout); ; {
		v := p.requestVerdict(ctx)
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
func (p *pass) requestVerdict(ctx context.Context) quarantine.Verdict {
	st := p.g.standing(p.id)
	if st.Level == quarantine.Quarantined && st.NextTrial > 0 {
		return quarantine.Verdict{Decision: quarantine.Refuse, After: st.NextTrial}
	}
	lifetime := defaultLifetime
	if deadline, ok := ctx.Deadline(); ok {
		lifetime = time.Until(deadline)
	}
	hosts := p.g.cfg.Owners.FirstRanked(Key(p.id), 1)
	if len(hosts) > 0 && !hosts[0].Self() {
		if v, ok := p.askOwner(ctx, hosts[0], lifetime); ok {
			return p.recordVerdict(v, hosts[0])
		}
		if p.g.standing(p.id).Level == quarantine.Quarantined {
			return quarantine.Verdict{Decision: quarantine.Refuse, After: time.Second}
		}
	}
	return p.recordVerdict(p.g.decide(p.id, p.name, lifetime), owners.Host{})
}

// recordVerdict records the owner that granted the request's slot, if the verdict grants it.
func (p *pass) recordVerdict(v quarantine.Verdict, owner owners.Host) quarantine.Verdict {
	if v.Decision == quarantine.Exclusive || v.Decision == quarantine.Trial {
		p.slotOwner, p.trial = &owner, v.Decision == quarantine.Trial
	}
	return v
}

func (p *pass) askOwner(ctx context.Context, h owners.Host, lifetime time.Duration) (quarantine.Verdict, bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := p.g.cfg.Client(h.Address).AdmitSuspect(callCtx, &pb.AdmitSuspectRequest{
		Suspect: p.g.state(p.id), Name: p.name, LifetimeMs: lifetime.Milliseconds(),
	})
	if err != nil {
		if ctx.Err() == nil {
			p.g.cfg.Owners.MarkUnanswered(h.Name)
		}
		p.g.cfg.Log.Warn().Str("event", "suspect-owner-unanswered").Str("owner", h.Name).Str("pass", p.name).Err(err).Send()
		return quarantine.Verdict{}, false
	}
	p.g.cfg.Owners.MarkAnswered(h.Name)
	p.g.mergeUpdates([]*pb.Suspect{reply.GetSuspect()}, h.Name)
	return quarantine.Verdict{
		Decision: quarantine.Decision(reply.GetDecision()), After: time.Duration(reply.GetAfterMs()) * time.Millisecond,
	}, true
}

// ServerReached implements filter.Pass.
func (p *pass) ServerReached() {
	if p.trial {
		p.g.recordTrial(p.id, p.name)
	}
}

// ConnectionLost implements filter.Pass.
func (p *pass) ConnectionLost(b filter.ConnectionLoss) {
	p.breaks = append(p.breaks, p.g.checkCrash(p.id, b))
}

// AllowRetry implements filter.Pass. It does not wait for the crash check after a first break, since most
// requests whose connection breaks did not cause it.
func (p *pass) AllowRetry(ctx context.Context) error {
	p.standing = p.g.standing(p.id)
	if len(p.breaks) > 1 || p.standing.Level != quarantine.Free {
		p.awaitCrashChecks(ctx)
		p.standing = p.g.standing(p.id)
	}
	if p.slotOwner != nil && p.standing.Level == quarantine.Suspected {
		return nil
	}
	return p.admit(ctx)
}

func (p *pass) awaitCrashChecks(ctx context.Context) {
	for _, checked := range p.breaks {
		select {
		case <-checked:
		case <-ctx.Done():
		}
	}
}

// Answered implements filter.Pass.
func (p *pass) Answered() { p.g.clear(p.id) }

// Close implements filter.Pass. Other executions of the same request go on waiting until it is known
// whether a server crashed during this one.
func (p *pass) Close() {
	if p.slotOwner == nil {
		return
	}
	owner := *p.slotOwner
	p.slotOwner = nil
	p.g.background.Go(func() {
		defer panics.Log(p.g.cfg.Log, "ending a suspect's execution")
		p.awaitCrashChecks(context.Background())
		p.g.endExecution(owner, p.id, p.name)
	})
}
