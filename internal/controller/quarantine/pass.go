package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

// firstCheckTimeout is how long a request with unproved parts waits before its second attempt until it is known
// whether the server of the first one has crashed.
const firstCheckTimeout = 100 * time.Millisecond

// admission implements filter.Admission. It belongs to its request's goroutine.
type admission struct {
	g       *Guard
	request quarantine.Request
	name    string
	// status is that of the request's most severe restriction as of the last check.
	status quarantine.Status
	// checkedVersion is the version of the table at the last check.
	checkedVersion uint64
	// slots are the slots that this execution holds, which keep other executions of the same request, or of
	// requests with the same part, waiting.
	slots []heldSlot
	// crashChecks has a channel for each attempt whose connection broke. It is closed once it is
	// known whether the server has crashed. software is what the server of the last one ran.
	crashChecks []<-chan struct{}
	software    string
}

// heldSlot is a slot of a request or part, held at its owner.
type heldSlot struct {
	id    quarantine.ID
	owner owners.Host
	// trial is set if the execution is a trial of the request or part.
	trial bool
}

// Status implements filter.Admission.
func (a *admission) Status() quarantine.Status { return a.status }

// admit asks for admission if the request or one of its parts is suspected or quarantined.
func (a *admission) admit(ctx context.Context) error {
	restrictions := a.check()
	if len(restrictions) == 0 {
		return nil
	}
	v, by := a.awaitVerdict(ctx, restrictions)
	a.check()
	a.g.metrics.decisions.Add(string(v.Decision), 1)
	event := a.g.cfg.Log.Info().Str("event", "suspect-decided").Str("pass", a.name).Str("account", a.request.ID.Account).
		Stringer("fingerprint", a.request.ID.Fingerprint).Str("decision", string(v.Decision)).Dur("after", v.After).
		Str("level", string(by.Status.Level)).Int("crashes", by.Status.Crashes).Int("trials", by.Status.Trials)
	logPart(event, by.ID).Send()
	switch v.Decision {
	case quarantine.Wait, quarantine.Refuse:
		return refusal(by, v)
	}
	return nil
}

// check returns the request's restrictions as this host knows them.
func (a *admission) check() []quarantine.Restriction {
	restrictions, version := a.g.restrictions(a.request)
	a.checkedVersion, a.status = version, quarantine.Status{Level: quarantine.Free}
	for _, r := range restrictions {
		if r.Status.Crashes > a.status.Crashes {
			a.status = r.Status
		}
	}
	return restrictions
}

// awaitVerdict asks for admission until the verdict is not to wait, or slotTimeout has passed. by is the
// restriction that decided.
func (a *admission) awaitVerdict(ctx context.Context, restrictions []quarantine.Restriction) (v quarantine.Verdict, by quarantine.Restriction) {
	for end := time.Now().Add(slotTimeout); ; {
		v, by = a.requestVerdicts(ctx, restrictions)
		if v.Decision != quarantine.Wait || time.Now().After(end) {
			return v, by
		}
		select {
		case <-ctx.Done():
			return v, by
		case <-time.After(slotPollInterval):
		}
		restrictions = a.check()
	}
}

// requestVerdicts asks for admission despite each restriction. A request that is rejected because of one of
// them keeps no slot of the others.
func (a *admission) requestVerdicts(ctx context.Context, restrictions []quarantine.Restriction) (v quarantine.Verdict, by quarantine.Restriction) {
	for _, r := range restrictions {
		if r.Status.NextTrial > 0 {
			return quarantine.Verdict{Decision: quarantine.Refuse, After: r.Status.NextTrial}, r
		}
	}
	v = quarantine.Verdict{Decision: quarantine.Run}
	held := len(a.slots)
	for _, r := range restrictions {
		if r.Status.Level == quarantine.Suspected && a.holds(r.ID) {
			continue
		}
		v, by = a.requestVerdict(ctx, r), r
		if v.Decision == quarantine.Wait || v.Decision == quarantine.Refuse {
			a.release(a.slots[held:])
			a.slots = a.slots[:held:held]
			return v, by
		}
	}
	return v, by
}

func (a *admission) holds(id quarantine.ID) bool {
	return slices.ContainsFunc(a.slots, func(s heldSlot) bool { return s.id == id })
}

// requestVerdict has the owner of a request or part decide. If the owner does not answer, this host decides
// and admits nothing that is quarantined.
func (a *admission) requestVerdict(ctx context.Context, r quarantine.Restriction) quarantine.Verdict {
	lifetime := defaultLifetime
	if deadline, ok := ctx.Deadline(); ok {
		lifetime = time.Until(deadline)
	}
	q := quarantine.Query{ID: r.ID, Request: a.request, Name: a.name, Lifetime: lifetime}
	hosts := a.g.cfg.Owners.FirstRanked(Key(r.ID), 1)
	if len(hosts) > 0 && !hosts[0].Self() {
		if v, ok := a.askOwner(ctx, hosts[0], q); ok {
			return a.recordVerdict(r.ID, v, hosts[0])
		}
		if a.g.statusIn(r.ID, a.request).Level == quarantine.Quarantined {
			return quarantine.Verdict{Decision: quarantine.Refuse, After: time.Second}
		}
	}
	return a.recordVerdict(r.ID, a.g.decide(q), owners.Host{})
}

// recordVerdict records the slot that the verdict grants, if it grants one.
func (a *admission) recordVerdict(id quarantine.ID, v quarantine.Verdict, owner owners.Host) quarantine.Verdict {
	if v.Decision != quarantine.Exclusive && v.Decision != quarantine.Trial {
		return v
	}
	s := heldSlot{id: id, owner: owner, trial: v.Decision == quarantine.Trial}
	if i := slices.IndexFunc(a.slots, func(held heldSlot) bool { return held.id == id }); i >= 0 {
		a.slots[i] = s
	} else {
		a.slots = append(a.slots, s)
	}
	return v
}

func (a *admission) askOwner(ctx context.Context, h owners.Host, q quarantine.Query) (quarantine.Verdict, bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &pb.AdmitSuspectRequest{Suspect: a.g.state(q.ID), Name: q.Name, LifetimeMs: q.Lifetime.Milliseconds()}
	req.Causes = a.g.causes(q.ID)
	req.Account, req.Fingerprint = q.Request.ID.Account, q.Request.ID.Fingerprint[:]
	for _, f := range q.Request.Parts {
		req.Parts = append(req.Parts, f[:])
	}
	reply, err := a.g.cfg.Client(h.Address).AdmitSuspect(callCtx, req)
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
	for _, s := range a.slots {
		if s.trial {
			a.g.recordTrial(s.id, a.name)
		}
	}
}

// ConnectionLost implements filter.Admission.
func (a *admission) ConnectionLost(b filter.ConnectionLoss) {
	a.software = b.Software
	a.crashChecks = append(a.crashChecks, a.g.checkCrash(a.request, b))
}

// AllowSend implements filter.Admission.
func (a *admission) AllowSend(ctx context.Context) error {
	if a.g.version() == a.checkedVersion {
		return nil
	}
	return a.admit(ctx)
}

// AllowRetry implements filter.Admission. It does not wait long for the crash check after a first break, since
// most requests whose connection breaks did not cause it, and not at all if each part of the request's prompt
// is proved.
func (a *admission) AllowRetry(ctx context.Context) error {
	switch restricted := len(a.check()) > 0; {
	case len(a.crashChecks) > 1 || restricted:
		a.awaitCrashChecks(ctx)
	case a.g.unproved(a.request, a.software):
		bounded, cancel := context.WithTimeout(ctx, firstCheckTimeout)
		a.awaitCrashChecks(bounded)
		cancel()
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
func (a *admission) Answered(answer filter.ServerAnswer) {
	if answer.Whole {
		a.g.clear(a.request.ID)
	}
	if answer.Output {
		a.g.recordAnswer(a.request, answer.Software)
	}
}

// Close implements filter.Admission. Other executions go on waiting until it is known whether a server
// crashed during this one.
func (a *admission) Close() {
	a.release(a.slots)
	a.slots = nil
}

// release ends the given slots once all crash checks are done.
func (a *admission) release(slots []heldSlot) {
	if len(slots) == 0 {
		return
	}
	slots = slices.Clone(slots)
	a.g.background.Go(func() {
		defer panics.Log(a.g.cfg.Log, "ending a suspect's execution")
		a.awaitCrashChecks(context.Background())
		for _, s := range slots {
			a.g.endExecution(s.owner, s.id, a.name)
		}
	})
}
