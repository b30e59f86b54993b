package load

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// The delays before a caller tries again.
const (
	// brokenRetryDelay is the delay after an attempt without a complete answer.
	brokenRetryDelay = 20 * time.Millisecond
	// firstBackoff is the delay after the first refusal that asks for a retry with the same
	// key but does not say when. It doubles with each attempt, up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// lateGrace is how long a caller still waits for a final answer after the deadline, so that
// late answers and refusals are distinguished from missing ones.
const lateGrace = 2 * time.Second

// outcome is the final state of a request.
type outcome int

const (
	answered outcome = iota
	late             // complete and correct, but after the deadline
	refused
	wrong // looked like a success but is not the answer to the request
	lost  // no final answer
)

// result describes the outcome of one request.
type result struct {
	outcome    outcome
	attempts   int
	broken     int // attempts without a complete answer
	last       *attempt
	fault      string
	firstToken time.Duration
	total      time.Duration
}

// retryDecision states whether a caller tries again, and after which delay.
type retryDecision struct {
	retry bool
	wait  time.Duration
}

// decideRetry decides whether a well-behaved caller tries again after its n-th attempt, whose
// outcome is a. It tries again only if that can help, never after its deadline, and makes at most
// maxAttempts attempts.
func decideRetry(a *attempt, left time.Duration, n, maxAttempts int) retryDecision {
	p := retryFor(a, n)
	if n >= maxAttempts || p.wait >= left {
		return retryDecision{}
	}
	return p
}

// retryFor returns the decision that follows from the outcome a of the n-th attempt alone.
func retryFor(a *attempt, n int) retryDecision {
	if a.broken != nil {
		return retryDecision{retry: true, wait: brokenRetryDelay}
	}
	if a.refusal == nil {
		return retryDecision{}
	}
	switch a.refusal.Retry {
	case errkind.RetryElsewhere:
		return retryDecision{retry: true, wait: a.refusal.RetryAfter}
	case errkind.RetryAfter:
		return retryDecision{retry: a.refusal.RetryAfter > 0, wait: a.refusal.RetryAfter}
	case errkind.RetrySameKey:
		return retryDecision{retry: true, wait: max(a.refusal.RetryAfter, backoffAfter(n))}
	default:
		return retryDecision{}
	}
}

// backoffAfter returns the delay after the n-th attempt.
func backoffAfter(n int) time.Duration {
	wait := firstBackoff
	for ; n > 1 && wait < maxBackoff; n-- {
		wait *= 2
	}
	return min(wait, maxBackoff)
}

// caller sends requests and retries them.
type caller struct {
	sender    *sender
	addresses *addressCache
	fetcher   *addressFetcher // nil if requests go to the backend server direct
	direct    string
	timeout   time.Duration
	attempts  int
}

// call sends r until it has a final answer. started is the scheduled time of the first attempt.
func (c *caller) call(ctx context.Context, r *request, started time.Time) result {
	deadline := started.Add(c.timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(lateGrace))
	defer cancel()
	tried := map[string]bool{}
	res := result{}
	for {
		res.attempts++
		res.last = c.try(ctx, r, time.Until(deadline), tried)
		if res.last.broken != nil {
			res.broken++
		}
		if res.firstToken == 0 && !res.last.firstToken.IsZero() {
			res.firstToken = res.last.firstToken.Sub(started)
		}
		p := decideRetry(res.last, time.Until(deadline), res.attempts, c.attempts)
		if !p.retry {
			break
		}
		pause(ctx, p.wait)
	}
	res.total = time.Since(started)
	res.classify(r, c.timeout)
	return res
}

func (c *caller) try(ctx context.Context, r *request, left time.Duration, tried map[string]bool) *attempt {
	address := c.direct
	if address == "" {
		err := c.fetcher.refresh(ctx)
		var ok bool
		if address, ok = c.addresses.pick(time.Now(), tried); !ok {
			return &attempt{broken: err}
		}
	}
	tried[address] = true
	a := c.sender.try(ctx, address, r, left)
	if a.broken != nil {
		c.addresses.fail(time.Now(), address)
	}
	return a
}

// classify sets the outcome and the fault from the last attempt.
func (res *result) classify(r *request, timeout time.Duration) {
	a := res.last
	switch {
	case a.broken != nil:
		res.outcome = lost
		res.fault = a.broken.Error()
	case a.refusal != nil:
		res.outcome = refused
	default:
		if res.fault = r.fault(a); res.fault != "" {
			res.outcome = wrong
			return
		}
		if res.total > timeout {
			res.outcome = late
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
