package filter

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Values of a team's settings that are absent.
const (
	DefaultMaxTimeout      = 15 * time.Minute
	DefaultMaxOutputTokens = 4096
	DefaultServiceTokens   = 1
	DefaultMaxInFlight     = 256
	DefaultMaxAttempts     = 3
	DefaultRetryShare      = 0.1
	DefaultCopies          = 1
)

// MaxTimeout is the longest deadline a caller of the team may ask for.
func MaxTimeout(t *settings.Team) time.Duration {
	return orDefault(t.MaxTimeout.Std(), DefaultMaxTimeout)
}

// MaxOutputTokens caps the output of one request of the team.
func MaxOutputTokens(t *settings.Team) uint64 {
	return orDefault(t.MaxOutputTokens, DefaultMaxOutputTokens)
}

// ServiceTokens is what one call to a plain service costs the team.
func ServiceTokens(t *settings.Team) uint64 { return orDefault(t.ServiceTokens, DefaultServiceTokens) }

// MaxInFlight bounds the team's requests in flight at this host.
func MaxInFlight(t *settings.Team) int { return orDefault(t.MaxInFlight, DefaultMaxInFlight) }

// Copies of each in-flight record of the team.
func Copies(t *settings.Team) int { return orDefault(t.Copies, DefaultCopies) }

// PriorityOf is the class of the team's requests.
func PriorityOf(t *settings.Team) settings.Priority { return orDefault(t.Priority, settings.Normal) }

// RetryOf is the team's bound on retries, with defaults filled in.
func RetryOf(t *settings.Team) settings.Retry {
	r := settings.Retry{}
	if t.Retry != nil {
		r = *t.Retry
	}
	r.MaxAttempts = orDefault(r.MaxAttempts, DefaultMaxAttempts)
	r.Share = orDefault(r.Share, DefaultRetryShare)
	return r
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}
