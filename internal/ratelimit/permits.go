package ratelimit

import (
	"math"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

const (
	// demandWindow is the time over which the use of permits is averaged.
	demandWindow = time.Second
	// prefetchTime is the time for which a host requests permits in advance: for the requests that it
	// expects to send within it, besides the present one. Unused permits expire if its requests go to
	// other servers.
	prefetchTime = 100 * time.Millisecond
)

// State describes whether a request may be sent to a server.
type State int

// Permit states.
const (
	// Free: no limit is in force.
	Free State = iota
	// Held: this host holds a permit.
	Held
	// MustRequest: a permit has to be requested first.
	MustRequest
	// Exhausted: no permit is available for a while.
	Exhausted
)

// Permits controls the sending of requests to rate-limited servers.
type Permits interface {
	// Check returns the permit state of a server and, if it is Exhausted, for how long.
	Check(now time.Time, inc instance.Incarnation) (State, time.Duration)
	// Use consumes a permit for a request.
	Use(now time.Time, inc instance.Incarnation)
	// Limit returns the limit in force for a server in requests a second; ok is false if there is none.
	Limit(inc instance.Incarnation) (perSecond float64, ok bool)
}

// permits holds this host's permits for one server.
type permits struct {
	held  int
	until time.Time // when the held permits expire
	// exhausted is the time before which no permit is available.
	exhausted time.Time
	// used is the number of used permits, decayed to usedAt.
	used   float64
	usedAt time.Time
}

// Check returns the permit state of a server and, if it is Exhausted, for how long.
func (t *Table) Check(now time.Time, inc instance.Incarnation) (State, time.Duration) {
	if _, limited := t.Limit(now, inc); !limited {
		return Free, 0
	}
	p := t.permits[inc]
	switch {
	case p == nil:
		return MustRequest, 0
	case p.held > 0 && now.Before(p.until):
		return Held, 0
	case now.Before(p.exhausted):
		return Exhausted, p.exhausted.Sub(now)
	}
	return MustRequest, 0
}

// Use consumes a permit for a request to a server, if the server is limited.
func (t *Table) Use(now time.Time, inc instance.Incarnation) {
	if _, limited := t.Limit(now, inc); !limited {
		return
	}
	p := t.permitsOf(inc)
	p.held = max(p.held-1, 0)
	p.decay(now)
	p.used++
}

// Want returns the number of permits to request.
func (t *Table) Want(now time.Time, inc instance.Incarnation) int {
	p := t.permitsOf(inc)
	p.decay(now)
	return 1 + int(p.used*prefetchTime.Seconds()/demandWindow.Seconds())
}

// Granted records n permits that were requested at asked.
func (t *Table) Granted(asked time.Time, inc instance.Incarnation, n int) {
	p := t.permitsOf(inc)
	p.held, p.until, p.exhausted = n, asked.Add(PermitLifetime), time.Time{}
}

// Refused records that no permit is available before until.
func (t *Table) Refused(until time.Time, inc instance.Incarnation) {
	p := t.permitsOf(inc)
	p.held, p.exhausted = 0, until
}

func (t *Table) permitsOf(inc instance.Incarnation) *permits {
	p := t.permits[inc]
	if p == nil {
		p = &permits{}
		t.permits[inc] = p
	}
	return p
}

func (p *permits) decay(now time.Time) {
	if !p.usedAt.IsZero() {
		p.used *= math.Exp(-now.Sub(p.usedAt).Seconds() / demandWindow.Seconds())
	}
	p.usedAt = now
}
