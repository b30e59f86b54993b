package ratelimit

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

// Warmup is the time in which an incarnation of a server is cold: it accepts only the rate that its
// service sets for cold servers, and crashes well above it.
type Warmup struct {
	Service string
	// Until is when the server is warm, at the latest.
	Until time.Time
}

// SetWarmup records the warm-up that an incarnation announced last. It returns whether the
// incarnation was warm before and is cold now.
func (t *Table) SetWarmup(now time.Time, inc instance.Incarnation, w Warmup) (began bool) {
	if !now.Before(w.Until) {
		delete(t.warmups, inc)
		return false
	}
	_, cold := t.warmup(now, inc)
	t.warmups[inc] = w
	return !cold
}

// ExtendWarmup is SetWarmup for a warm-up that another host knows, which may be older: the later end
// counts.
func (t *Table) ExtendWarmup(now time.Time, inc instance.Incarnation, w Warmup) (began bool) {
	if known := t.warmups[inc]; !w.Until.After(known.Until) {
		return false
	}
	return t.SetWarmup(now, inc, w)
}

// warmup returns the warm-up of an incarnation; ok is false if it is warm.
func (t *Table) warmup(now time.Time, inc instance.Incarnation) (w Warmup, ok bool) {
	w, ok = t.warmups[inc]
	return w, ok && now.Before(w.Until)
}

// Warmup returns the warm-up of an incarnation; the zero value if it is warm.
func (t *Table) Warmup(now time.Time, inc instance.Incarnation) Warmup {
	w, ok := t.warmup(now, inc)
	if !ok {
		return Warmup{}
	}
	return w
}

// Limit returns the rate limit in force for an incarnation, in requests a second: the lower one of
// what it advertises and of what it accepts while it is cold. ok is false if there is none.
func (t *Table) Limit(now time.Time, inc instance.Incarnation) (perSecond float64, ok bool) {
	if o := t.observed[inc]; o.Limited() {
		perSecond, ok = o.Limit, true
	}
	w, cold := t.warmup(now, inc)
	if !cold || t.warmupRate == nil {
		return perSecond, ok
	}
	if rate, limited := t.warmupRate(w.Service); limited && (!ok || rate < perSecond) {
		return rate, true
	}
	return perSecond, ok
}
