package ratelimits

import (
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/admission"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
	"github.com/bluebellsail/bluebellsail/internal/telemetry"
)

// brittle holds what a Limiter knows of brittle servers; Limiter.mu guards table and owner.
type brittle struct {
	table *admission.Table
	owner *admission.Owner
	// lastID is the ID of this host's last admission; the first one is random.
	lastID atomic.Uint64
	// observed is set while table holds observations: the common case of none takes no lock.
	observed   atomic.Bool
	unreadable telemetry.FirstSeen[instance.Incarnation]

	// changes counts changed observations, asks the requests for admissions at this host by outcome,
	// decisions those at this host as an owner, and rejections the rejections that an owner learned of.
	changes, rejections expvar.Int
	asks, decisions     expvar.Map
	vars                expvar.Map
}

func newBrittle() *brittle {
	b := &brittle{table: admission.NewTable(), owner: admission.NewOwner()}
	// The clock may have been set back since the start of a former incarnation of this host.
	b.lastID.Store(rand.Uint64())
	b.vars.Set("changes", &b.changes)
	b.vars.Set("asks", &b.asks)
	b.vars.Set("decisions", &b.decisions)
	b.vars.Set("rejections", &b.rejections)
	return b
}

// BrittleMetrics returns the counters about brittle servers.
func (l *Limiter) BrittleMetrics() *expvar.Map { return &l.brittle.vars }

// ObserveBrittle records how many rejections in a second a server tolerates, as observed in an answer to a
// request of this host, and notifies the other hosts if it has changed.
func (l *Limiter) ObserveBrittle(inc instance.Incarnation, obs ratelimit.Observation, requestID string) {
	if !obs.Limited() && !l.brittle.observed.Load() {
		return
	}
	before, changed := l.observeBrittle(inc, obs)
	if !changed {
		return
	}
	l.logBrittle(inc, before, obs, requestID)
	l.cfg.Broadcast(l.encode(time.Now(), inc))
}

func (l *Limiter) observeBrittle(inc instance.Incarnation, obs ratelimit.Observation) (before ratelimit.Observation, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, changed = l.brittle.table.Observe(inc, obs)
	if obs.Limited() {
		l.brittle.observed.Store(true)
	}
	return before, changed
}

// logBrittle logs that a server is brittle or no longer is. from is the source: the ID of the request
// whose answer said so, or "peer".
func (l *Limiter) logBrittle(inc instance.Incarnation, before, obs ratelimit.Observation, from string) {
	l.brittle.changes.Add(1)
	l.cfg.Log.Info().Str("event", "server-brittle").Str("server", inc.ID).Uint64("incarnation", inc.Started).
		Bool("brittle", obs.Limited()).Float64("tolerated", obs.Limit).Bool("brittle_before", before.Limited()).
		Float64("tolerated_before", before.Limit).Str("from", from).Dur("age", time.Since(obs.At)).Send()
}

// RecordBrittleUnreadable records that a server's number of tolerated rejections can't be parsed.
func (l *Limiter) RecordBrittleUnreadable(inc instance.Incarnation, requestID string) {
	if l.brittle.unreadable.First(inc) {
		l.cfg.Log.Warn().Str("event", "server-brittle-unreadable").Str("server", inc.ID).Uint64("incarnation", inc.Started).
			Str("request", requestID).Send()
	}
}

// expireBrittle drops old state; l.mu is held.
func (l *Limiter) expireBrittle(now time.Time) {
	l.brittle.table.Expire(now.Add(-forgetAfter))
	l.brittle.owner.Expire(now)
	l.brittle.unreadable.Forget()
	l.brittle.observed.Store(!l.brittle.table.Empty())
}

// encode encodes what this host knows of a server.
func (l *Limiter) encode(now time.Time, inc instance.Incarnation) *pb.ServerLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.encodeLocked(now, inc)
}

// encodeLocked is encode; l.mu is held.
func (l *Limiter) encodeLocked(now time.Time, inc instance.Incarnation) *pb.ServerLimit {
	return addBrittle(encode(now, inc, l.table.Observed(inc)), now, l.brittle.table.Observed(inc))
}

// addBrittle adds the number of tolerated rejections to a message about a server. The age is rounded up,
// so that no host considers the observation newer than it is.
func addBrittle(m *pb.ServerLimit, now time.Time, obs ratelimit.Observation) *pb.ServerLimit {
	if obs.At.IsZero() {
		return m
	}
	m.Brittle, m.Tolerated = obs.Limited(), uint32(max(obs.Limit, 0))
	m.BrittleAgeMs = max((now.Sub(obs.At) + time.Millisecond - 1).Milliseconds(), 1)
	return m
}

// brittleServers returns up to maxLimits of the brittle servers for a heartbeat, a random selection; l.mu
// is held.
func (l *Limiter) brittleServers(now time.Time) (out []*pb.ServerLimit) {
	for inc := range l.brittle.table.Brittle() {
		if len(out) == maxLimits {
			break
		}
		out = append(out, l.encodeLocked(now, inc))
	}
	return out
}

// mergeBrittle merges what another host knows of a brittle server.
func (l *Limiter) mergeBrittle(now time.Time, m *pb.ServerLimit) {
	inc := incarnationOf(m)
	if m.GetBrittleAgeMs() <= 0 || instance.CheckID(inc.ID) != nil || !m.GetBrittle() && !l.brittle.observed.Load() {
		return
	}
	age := time.Duration(min(m.GetBrittleAgeMs(), forgetAfter.Milliseconds())) * time.Millisecond
	obs := ratelimit.Observation{Limit: ratelimit.None, At: now.Add(-age)}
	if m.GetBrittle() {
		obs.Limit = float64(m.GetTolerated())
	}
	if before, changed := l.observeBrittle(inc, obs); changed {
		l.logBrittle(inc, before, obs, "peer")
	}
}
