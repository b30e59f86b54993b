package placement

import "time"

// bucket is the token bucket that limits the rate at which weights are fetched from the
// weight store, in bytes. Only the leader has one, so the limit applies to the whole
// fleet. The bytes of an order are taken in full before it is given: in any time t the
// fleet orders at most capacity + rate*t bytes, even if leaders change, because the
// bucket of each leader starts empty.
type bucket struct {
	level int64
	at    time.Time
}

// refill adds the bytes for the time since the last call. The capacity is that of one
// second, or the size of the largest model if that is larger.
func (b *bucket) refill(now time.Time, rate, largest int64) {
	capacity := max(rate, largest)
	elapsed := now.Sub(b.at)
	if elapsed <= 0 || rate <= 0 {
		return
	}
	// Only whole bytes are added; if there are none yet, the time counts at the next call.
	gained := int64(elapsed.Seconds() * float64(rate))
	if gained == 0 {
		return
	}
	b.level = min(capacity, b.level+gained)
	b.at = now
}

// canTake reports whether bytes may be ordered now; a rate of 0 means no limit.
func (b *bucket) canTake(bytes, rate int64) bool {
	return rate <= 0 || bytes <= b.level
}

func (b *bucket) take(bytes, rate int64) {
	if rate > 0 {
		b.level -= bytes
	}
}

// refund puts back the bytes of an order that was never sent.
func (b *bucket) refund(bytes int64) { b.level += bytes }
