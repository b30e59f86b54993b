package load

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Pauses of a caller before it tries again.
const (
	// brokenPause follows a try that brought no answer.
	brokenPause = 20 * time.Millisecond
	// askAgainPause follows the first refusal that says to ask again with the same key
	// but not when; it doubles with each try, up to longestPause.
	askAgainPause = 100 * time.Millisecond
	longestPause  = 2 * time.Second
)

// lateSlack is how long after the deadline a caller still listens for a final answer,
// to tell a late answer and a truthful refusal from none.
const lateSlack = 2 * time.Second

// verdict is what came of a request.
type verdict int

const (
	answered verdict = iota
	late             // whole and right, after the deadline
	refused
	wrong // looked like a success but is not the answer to the request
	lost  // no final answer
)

// result is the end of one request.
type result struct {
	verdict    verdict
	attempts   int
	broken     int // tries that brought no answer
	last       *attempt
	fault      string
	firstToken time.Duration
	total      time.Duration
}

// plan is what a caller does after a try.
type plan struct {
	again bool
	wait  time.Duration
}

// next decides what a good caller does after its n-th try, which brought a: it comes
// back when and only when that can help, and never after its deadline. At most most
// tries are made.
func next(a *attempt, left time.Duration, n, most int) plan {
	p := comeBack(a, n)
	if n >= most || p.wait >= left {
		return plan{}
	}
	return p
}

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

// askAgain is the pause after the n-th try.
func askAgain(n int) time.Duration {
	wait := askAgainPause
	for ; n > 1 && wait < longestPause; n-- {
		wait *= 2
	}
	return min(wait, longestPause)
}

// caller takes requests through all their tries.
type caller struct {
	sender   *sender
	book     *addressBook
	asker    *asker // nil: direct
	direct   string
	timeout  time.Duration
	attempts int
}

// call sends r until it has its final answer. started is when it should have been sent.
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

// judge sorts the request's end.
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
