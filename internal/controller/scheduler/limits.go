package scheduler

import (
	"context"
	"strconv"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
	"github.com/bluebellsail/bluebellsail/internal/retryafter"
)

// askPermits requests the permits that waiting requests need, and schedules again once they have
// been granted or refused; mu is held.
func (s *Scheduler) askPermits() {
	for _, inc := range s.core.TakePermitRequests() {
		go func() {
			defer panics.Log(s.log, "requesting permits")
			s.limits.RequestPermits(context.Background(), inc)
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.closed {
				s.step(s.now())
			}
		}()
	}
}

// Observe records the cooldown and the rate limit that a server reported in an answer.
func (s *Scheduler) Observe(obs engineclient.Observation) {
	if obs.RetryAfter != "" {
		s.observeCooldown(obs)
	}
	if s.limits == nil {
		return
	}
	if inc, known := s.incarnationAt(obs.Address); known {
		s.observeLimit(inc, obs)
	}
}

// observeCooldown starts the cooldown that a server asked for with a Retry-After.
func (s *Scheduler) observeCooldown(obs engineclient.Observation) {
	cooldown, readable := retryafter.Parse(obs.RetryAfter, s.now())
	switch {
	case !readable && s.unreadable.First(obs.Address):
		s.log.Warn().Str("event", "server-cooldown-unreadable").Str("server", obs.Address).Str("request", obs.RequestID).Send()
	case cooldown > 0 && s.cooldown(obs.Address, cooldown):
		s.log.Info().Str("event", "server-cooldown").Str("server", obs.Address).Dur("cooldown", cooldown).Str("request", obs.RequestID).Send()
	}
}

// cooldown starts a cooldown of a server and schedules again, so that requests waiting for the
// server go elsewhere or are rejected.
func (s *Scheduler) cooldown(address string, d time.Duration) (began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	began = s.core.StartCooldown(now, address, d)
	s.step(now)
	return began
}

func (s *Scheduler) observeLimit(inc instance.Incarnation, obs engineclient.Observation) {
	observed := ratelimit.Observation{Limit: ratelimit.None, At: obs.Sent}
	if obs.RateLimit != "" {
		limit, err := strconv.ParseFloat(obs.RateLimit, 64)
		if err != nil || !ratelimit.Valid(limit) {
			s.limits.RecordUnreadable(inc, obs.RequestID)
			return
		}
		observed = ratelimit.Observation{Limit: limit, At: time.Now()}
	}
	s.limits.Observe(inc, observed, obs.RequestID)
}

// incarnationAt returns the incarnation of the server that is known at an address.
func (s *Scheduler) incarnationAt(address string) (inc instance.Incarnation, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, known := s.reg.Server(address)
	if !known {
		return instance.Incarnation{}, false
	}
	return instance.Incarnation{ID: address, Started: server.State().GetIncarnation()}, true
}
