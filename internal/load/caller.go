package load

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// The delays before a caller tries again.
const (
	// brokenPause is the delay after an attempt without a complete answer.
	brokenPause = 20 * time.Millisecond
	// askAgainPause is the delay after the first refusal that asks for a retry with the same
	// key but does not say when. It doubles with each attempt, up to longestPause.
	askAgainPause = 100 * time.Millisecond
	longestPause  = 2 * time.Second
)

// lateSlack is how long a caller still waits for a final answer after the deadline, so that
// late answers and refusals are distinguished from missing ones.
const lateSlack = 2 * time.Second

// verdict is the outcome of a request.
type verdict int

const (
	answered verdict = iota
	late             // complete and correct, but after the deadline
	refused
	wrong // looked like a success but is not the answer to the request
	lost  // no final answer
)

// result describes the outcome of one request.
type result struct {
	verdict    verdict
	attempts   int
	broken     int // attempts without a complete answer
	last       *attempt
	fault      string
	firstToken time.Duration
	total      time.Duration
}

// plan tells whether and when a caller tries again.
type plan struct {
	again bool
	wait  time.Duration
}

// next decides whether a well-behaved caller tries again after its n-th attempt, whose outcome
// is a. It tries again only if that can help, never after its deadline, and makes at most
// maxAttempts attempts.
func next(a *attempt, left time.Duration, n, maxAttempts int) plan {
	p := comeBack(a, n)
	if n >= maxAttempts || p.wait >= left {
		return plan{}
	}
	return p
}

// comeBack returns the plan that follows from the outcome a of the n-th attempt alone.
func comeBack(a *attempt, n int) plan {
	if a.broken != nil {
		return plan{again: true, wait: brokenPause}
	}
	if a.refusal == nil {
		return plan{}
	}
	switch a.refusal.Retry {
	case errkind.RetryElsewhere:
		return plan{again: true, wait: a.refusal.RetryAfter}
	case errkind.RetryAfter:
		return plan{again: a.refusal.RetryAfter > 0, wait: a.refusal.RetryAfter}
	case errkind.RetrySameKey:
		return plan{again: true, wait: max(a.refusal.RetryAfter, askAgain(n))}
	default:
		return plan{}
	}
}

// askAgain returns the delay after the n-th attempt.
func askAgain(n int) time.Duration {
	wait := askAgainPause
	for ; n > 1 && wait < longestPause; n-- {
		wait *= 2
	}
	return min(wait, longestPause)
}

// caller sends requests and retries them.
type caller struct {
	sender   *sender
	book     *addressBook
	asker    *asker // nil if requests go to the backend server direct
	direct   string
	timeout  time.Duration
	attempts int
}

// call sends r until it has a final answer. started is the scheduled time of the first attempt.
func (c *caller) call(ctx context.Context, r *request, started time.Time) result {
	deadline := started.Add(c.timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(lateSlack))
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
		p := next(res.last, time.Until(deadline), res.attempts, c.attempts)
		if !p.again {
			break
		}
		pause(ctx, p.wait)
	}
	res.total = time.Since(started)
	res.judge(r, c.timeout)
	return res
}

func (c *caller) try(ctx context.Context, r *request, left time.Duration, tried map[string]bool) *attempt {
	address := c.direct
	if address == "" {
		err := c.asker.refresh(ctx)
		var ok bool
		if address, ok = c.book.pick(time.Now(), tried); !ok {
			return &attempt{broken: err}
		}
	}
	tried[address] = true
	a := c.sender.try(ctx, address, r, left)
	if a.broken != nil {
		c.book.fail(time.Now(), address)
	}
	return a
}

// judge sets the verdict and the fault from the last attempt.
func (res *result) judge(r *request, timeout time.Duration) {
	a := res.last
	switch {
	case a.broken != nil:
		res.verdict = lost
		res.fault = a.broken.Error()
	case a.refusal != nil:
		res.verdict = refused
	default:
		if res.fault = r.fault(a); res.fault != "" {
			res.verdict = wrong
			return
		}
		if res.total > timeout {
			res.verdict = late
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
