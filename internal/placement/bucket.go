package placement

import "time"

// bucket is the token bucket of the weight store, in bytes. The leader keeps the only
// one, so the limit is the fleet's. An order is paid in full before it is given: over
// any time t the fleet orders at most capacity + rate*t bytes, also when leaders
// change, since each leader's bucket starts empty.
type bucket struct {
	level int64
	at    time.Time
}

// refill adds what has come in since the last call, up to the largest model or what
// one second brings.
func (b *bucket) refill(now time.Time, rate, largest int64) {
	capacity := max(rate, largest)
	elapsed := now.Sub(b.at)
	if elapsed <= 0 || rate <= 0 {
		return
	}
	// Whole bytes only; the rest of the time stays for the next call.
	gained := int64(elapsed.Seconds() * float64(rate))
	if gained == 0 {
		return
	}
	b.level = min(capacity, b.level+gained)
	b.at = now
}

// canTake tells whether bytes may be ordered; a rate of 0 is no limit.
func (b *bucket) canTake(bytes, rate int64) bool {
	return rate <= 0 || bytes <= b.level
}

func (b *bucket) take(bytes, rate int64) {
	if rate > 0 {
		b.level -= bytes
	}
}

// refund returns the bytes of an order that was never sent.
func (b *bucket) refund(bytes int64) { b.level += bytes }
