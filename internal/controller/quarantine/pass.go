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
	// seen is the request's standing when it was last looked at.
	seen quarantine.Status
	// held is the host that keeps others of the same request waiting for this one.
	held *owners.Host
	// trial: this is one.
	trial bool
	// breaks of its attempts; each is closed once it is known whether the server has ended.
	breaks []<-chan struct{}
}

// Status implements filter.Pass.
func (p *pass) Status() quarantine.Status { return p.seen }

// admit asks for a run if anything is held against the request.
func (p *pass) admit(ctx context.Context) error {
	p.seen = p.g.standing(p.id)
	if p.seen.Level == quarantine.Free {
		return nil
	}
	v := p.await(ctx)
	p.seen = p.g.standing(p.id)
	p.g.metrics.decisions.Add(string(v.Decision), 1)
	p.g.cfg.Log.Info().Str("event", "suspect-decided").Str("pass", p.name).Str("account", p.id.Account).
		Stringer("fingerprint", p.id.Fingerprint).Str("decision", string(v.Decision)).Dur("after", v.After).
		Str("level", string(p.seen.Level)).Int("crashes", p.seen.Crashes).Int("trials", p.seen.Trials).Send()
	switch v.Decision {
	case quarantine.Wait, quarantine.Refuse:
		return refused(p.seen, v)
	}
	return nil
}

// await asks until the request may run, or need not be asked for any more.
func (p *pass) await(ctx context.Context) quarantine.Verdict {
	for end := time.Now().Add(waitFor); ; {
		v := p.ask(ctx)
		if v.Decision != quarantine.Wait || time.Now().After(end) {
			return v
		}
		select {
		case <-ctx.Done():
			return v
		case <-time.After(waitStep):
		}
	}
}

// ask has the request's owner decide. Without an answer this host decides, and does not try
// what is quarantined.
func (p *pass) ask(ctx context.Context) quarantine.Verdict {
	st := p.g.standing(p.id)
	if st.Level == quarantine.Quarantined && st.NextTrial > 0 {
		return quarantine.Verdict{Decision: quarantine.Refuse, After: st.NextTrial}
	}
	lifetime := noDeadline
	if deadline, ok := ctx.Deadline(); ok {
		lifetime = time.Until(deadline)
	}
	hosts := p.g.cfg.Owners.Of(Key(p.id), 1)
	if len(hosts) > 0 && !hosts[0].Self() {
		if v, ok := p.askOwner(ctx, hosts[0], lifetime); ok {
			return p.take(v, hosts[0])
		}
		if p.g.standing(p.id).Level == quarantine.Quarantined {
			return quarantine.Verdict{Decision: quarantine.Refuse, After: time.Second}
		}
	}
	return p.take(p.g.decide(p.id, p.name, lifetime), owners.Host{})
}

// take notes who keeps others waiting for this request.
func (p *pass) take(v quarantine.Verdict, owner owners.Host) quarantine.Verdict {
	if v.Decision == quarantine.Exclusive || v.Decision == quarantine.Trial {
		p.held, p.trial = &owner, v.Decision == quarantine.Trial
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
			p.g.cfg.Owners.Unanswered(h.Name)
		}
		p.g.cfg.Log.Warn().Str("event", "suspect-owner-unanswered").Str("owner", h.Name).Str("pass", p.name).Err(err).Send()
		return quarantine.Verdict{}, false
	}
	p.g.cfg.Owners.Answered(h.Name)
	p.g.learn([]*pb.Suspect{reply.GetSuspect()}, h.Name)
	return quarantine.Verdict{
		Decision: quarantine.Decision(reply.GetDecision()), After: time.Duration(reply.GetAfterMs()) * time.Millisecond,
	}, true
}

// ServerReached implements filter.Pass.
func (p *pass) ServerReached() {
	if p.trial {
		p.g.tried(p.id, p.name)
	}
}

// ConnectionLost implements filter.Pass.
func (p *pass) ConnectionLost(b filter.ConnectionLoss) { p.breaks = append(p.breaks, p.g.judge(p.id, b)) }

// AllowRetry implements filter.Pass. After a first break nothing waits for the verdict on it: most
// requests whose connection breaks had no part in it.
func (p *pass) AllowRetry(ctx context.Context) error {
	p.seen = p.g.standing(p.id)
	if len(p.breaks) > 1 || p.seen.Level != quarantine.Free {
		p.awaitVerdicts(ctx)
		p.seen = p.g.standing(p.id)
	}
	if p.held != nil && p.seen.Level == quarantine.Suspected {
		return nil
	}
	return p.admit(ctx)
}

func (p *pass) awaitVerdicts(ctx context.Context) {
	for _, judged := range p.breaks {
		select {
		case <-judged:
		case <-ctx.Done():
		}
	}
}

// Answered implements filter.Pass.
func (p *pass) Answered() { p.g.clear(p.id) }

// Close implements filter.Pass. Others of the same request go on waiting until it is known whether
// a server crashed under this one.
func (p *pass) Close() {
	if p.held == nil {
		return
	}
	owner := *p.held
	p.held = nil
	p.g.behind.Go(func() {
		defer panics.Log(p.g.cfg.Log, "ending a suspect's run")
		p.awaitVerdicts(context.Background())
		p.g.endRun(owner, p.id, p.name)
	})
}
