// Package retryafter parses the Retry-After header (RFC 9110, section 10.2.3): a number of seconds,
// here also with a fraction, or a date.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Longest is the maximum of a parsed time; longer ones are reduced to it.
const Longest = 24 * time.Hour

// Parse parses the header's text. An empty text and a date in the past give 0; ok is false if the
// text is malformed.
func Parse(text string, now time.Time) (after time.Duration, ok bool) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, true
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if seconds < 0 || math.IsNaN(seconds) {
			return 0, false
		}
		return time.Duration(min(seconds, Longest.Seconds()) * float64(time.Second)), true
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	return min(max(at.Sub(now), 0), Longest), true
}
