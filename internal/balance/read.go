package balance

import "time"

// prefillRate is the number of prompt tokens that an engine prefills per millisecond while it
// decodes other requests.
const prefillRate = 33.0

// prefillTime returns the time that an engine takes to prefill the tokens.
func prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / prefillRate * float64(time.Millisecond))
}

// prefilledIn returns the number of tokens that an engine prefills in d.
func prefilledIn(d time.Duration) float64 {
	return prefillRate * float64(d) / float64(time.Millisecond)
}
