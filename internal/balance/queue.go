package balance

import "time"

// prefillRate is how many prompt tokens an engine reads in a millisecond beside the
// decoding of others.
const prefillRate = 33.0

// queue models the prompt tokens that wait at an engine: they are read one after the
// other at prefillRate. Without the model a peer's word of its work would stand for half
// a second after the engine has done it, and requests would go elsewhere in vain.
type queue struct {
	tokens float64
	at     time.Time
}

// left is what is not yet read.
func (q *queue) left(now time.Time) float64 {
	read := prefillRate * float64(now.Sub(q.at)) / float64(time.Millisecond)
	return max(q.tokens-read, 0)
}

func (q *queue) add(now time.Time, tokens float64) {
	q.tokens = q.left(now) + tokens
	q.at = now
}

// readTime is how long an engine reads so many tokens.
func readTime(tokens float64) time.Duration {
	return time.Duration(tokens / prefillRate * float64(time.Millisecond))
}
