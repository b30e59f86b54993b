package balance

import "time"

// prefillRate is how many prompt tokens an engine reads in a millisecond beside the
// decoding of others.
const prefillRate = 33.0

// readTime is how long an engine reads so many tokens.
func readTime(tokens float64) time.Duration {
	return time.Duration(tokens / prefillRate * float64(time.Millisecond))
}

// readIn is how many tokens an engine reads in so long.
func readIn(d time.Duration) float64 { return prefillRate * float64(d) / float64(time.Millisecond) }
