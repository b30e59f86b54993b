package ratelimits

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
)

// maxWarmup bounds the warm-up time in a message; models load in minutes.
const maxWarmup = 24 * time.Hour

// maxLimits is the most limits sent in one heartbeat. Each heartbeat carries a random selection.
const maxLimits = 16

// Limits implements members.Limits.
func (l *Limiter) Limits() []*pb.ServerLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var out []*pb.ServerLimit
	for inc := range l.table.Limited() {
		if len(out) == maxLimits {
			break
		}
		out = append(out, l.encodeLocked(now, inc))
	}
	return append(out, l.brittleServers(now)...)
}

// LimitsOf implements members.Limits.
func (l *Limiter) LimitsOf(servers []*pb.ServerState) (out []*pb.ServerLimit) {
	if len(servers) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, s := range servers {
		inc := instance.Incarnation{ID: s.GetId(), Started: s.GetIncarnation()}
		if _, brittle := l.brittle.table.Tolerated(inc); brittle || l.table.Observed(inc).Limited() {
			out = append(out, l.encodeLocked(now, inc))
		}
	}
	return out
}

// Merge merges the limits that another host knows. Limits without a valid server ID or with an
// invalid number are ignored.
func (l *Limiter) Merge(limits []*pb.ServerLimit) {
	now := time.Now()
	for _, limit := range limits {
		inc, obs := decode(now, limit)
		l.extendWarmup(now, inc, limit)
		l.mergeBrittle(now, limit)
		if instance.CheckID(inc.ID) != nil || obs.Limit != ratelimit.None && !ratelimit.Valid(obs.Limit) {
			continue
		}
		if before, changed := l.observe(inc, obs); changed {
			l.logChange(inc, before, obs, "peer")
		}
	}
}

// extendWarmup records the warm-up that another host knows. Without a service there is none.
func (l *Limiter) extendWarmup(now time.Time, inc instance.Incarnation, limit *pb.ServerLimit) {
	if limit.GetService() == "" || instance.CheckID(inc.ID) != nil {
		return
	}
	left := time.Duration(min(limit.GetWarmupLeftMs(), maxWarmup.Milliseconds())) * time.Millisecond
	w := ratelimit.Warmup{Service: limit.GetService(), Until: now.Add(left)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table.ExtendWarmup(now, inc, w) {
		l.logWarmup(now, inc, w, "peer")
	}
}

// addWarmup adds the warm-up of a server to a message about its limit. The rest is rounded up, so that no
// host considers the server warm too early.
func addWarmup(limit *pb.ServerLimit, now time.Time, w ratelimit.Warmup) *pb.ServerLimit {
	if w.Service != "" {
		limit.Service, limit.WarmupLeftMs = w.Service, (w.Until.Sub(now) + time.Millisecond - 1).Milliseconds()
	}
	return limit
}

// encode rounds the age of an observation up, so that no host considers it newer than it is.
func encode(now time.Time, inc instance.Incarnation, obs ratelimit.Observation) *pb.ServerLimit {
	age := min(now.Sub(obs.At), forgetAfter) + time.Millisecond - 1
	return &pb.ServerLimit{
		Run: &pb.ServerRun{Id: inc.ID, Incarnation: inc.Started}, Limited: obs.Limited(), PerSecond: max(obs.Limit, 0), AgeMs: age.Milliseconds(),
	}
}

func decode(now time.Time, limit *pb.ServerLimit) (instance.Incarnation, ratelimit.Observation) {
	age := time.Duration(min(max(limit.GetAgeMs(), 0), forgetAfter.Milliseconds())) * time.Millisecond
	obs := ratelimit.Observation{Limit: ratelimit.None, At: now.Add(-age)}
	if limit.GetLimited() {
		obs.Limit = limit.GetPerSecond()
	}
	return incarnationOf(limit), obs
}

func incarnationOf(limit *pb.ServerLimit) instance.Incarnation {
	return instance.Incarnation{ID: limit.GetRun().GetId(), Started: limit.GetRun().GetIncarnation()}
}
