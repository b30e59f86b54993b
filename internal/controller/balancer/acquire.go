package balancer

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/admission"
	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

const (
	// maxPermitRequests is for how many servers a request asks for permits or admissions. After that
	// only servers that need neither, or for which it holds them, are considered.
	maxPermitRequests = 3
	// maxAdmissionWait bounds the time for which a request waits for a brittle server to admit it while
	// no other server may get it.
	maxAdmissionWait = 100 * time.Millisecond
	// answerMargin is how long before the deadline of a request the wait ends: another host that asked for
	// a server must get the refusal in time.
	answerMargin = 75 * time.Millisecond
)

// Acquire implements relay.Balancer.
func (b *Balancer) Acquire(ctx context.Context, w *balance.Work) (relay.Lease, error) {
	in := *w
	began := time.Now()
	until := began.Add(maxAdmissionWait)
	if deadline, ok := ctx.Deadline(); ok {
		if in.Lifetime == 0 {
			in.Lifetime = time.Until(deadline)
		}
		if !in.Engine && in.Remaining == 0 {
			in.Remaining = max(time.Until(deadline), 1)
		}
		if latest := deadline.Add(-answerMargin); latest.Before(until) {
			until = latest
		}
	}
	for {
		in.MaxWait = w.MaxWait - time.Since(began)
		l, err := b.acquire(ctx, &in)
		if !errkind.Is(err, errkind.NoBackendServer) || !b.awaitAdmission(ctx, &in, until) {
			return l, err
		}
	}
}

// acquire chooses a server for w, with the permit and the admission that it needs.
func (b *Balancer) acquire(ctx context.Context, w *balance.Work) (relay.Lease, error) {
	in := *w
	ticket := uint64(0)
	defer func() { b.cancelTicket(ticket) }()
	for asked := 0; ; asked++ {
		in.HeldPermitsOnly = asked >= maxPermitRequests
		l, err := b.choose(ctx, &in, &ticket)
		switch need := err.(type) {
		case *balance.PermitNeeded:
			b.cfg.Limits.RequestPermits(ctx, need.Incarnation)
		case *balance.AdmissionNeeded:
			b.returnAdmission(in.Admission)
			in.Admission = b.cfg.Limits.RequestAdmission(ctx, need.Incarnation, need.Slots, in.Lifetime)
		default:
			if err != nil || l.Choice().Admission != in.Admission {
				b.returnAdmission(in.Admission)
			}
			return l, err
		}
	}
}

// returnAdmission returns an admission that no request has used.
func (b *Balancer) returnAdmission(a admission.Admission) {
	if a.ID != 0 {
		b.cfg.Limits.ReportAdmission(a, admission.Finished)
	}
}

// awaitAdmission waits until a brittle server can be asked again to admit w. It returns false if there is
// none before until.
func (b *Balancer) awaitAdmission(ctx context.Context, w *balance.Work, until time.Time) bool {
	due, ok := b.admissionDue(w)
	if !ok || !time.Now().Add(due).Before(until) {
		return false
	}
	select {
	case <-time.After(due):
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *Balancer) admissionDue(w *balance.Work) (due time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.AdmissionDue(time.Now(), w)
}
