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

// askPermits asks for the permits that waiting requests need, and decides again once they are
// there or refused; mu is held.
func (s *Scheduler) askPermits() {
	for _, run := range s.core.TakePermitRequests() {
		go func() {
			defer panics.Log(s.log, "asking for permits")
			s.limits.Ask(context.Background(), run)
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.closed {
				s.step(s.now())
			}
		}()
	}
}

// Heard takes what a server says of itself with an answer.
func (s *Scheduler) Heard(said engineclient.Said) {
	if said.RetryAfter != "" {
		s.heardCooldown(said)
	}
	if s.limits == nil {
		return
	}
	if run, known := s.runAt(said.Address); known {
		s.heardLimit(run, said)
	}
}

// heardCooldown takes that a server wants nothing from this host for a while.
func (s *Scheduler) heardCooldown(said engineclient.Said) {
	cooldown, readable := retryafter.Parse(said.RetryAfter, s.now())
	switch {
	case !readable && s.unreadable.First(said.Address):
		s.log.Warn().Str("event", "server-cooldown-unreadable").Str("server", said.Address).Str("request", said.RequestID).Send()
	case cooldown > 0 && s.cooldown(said.Address, cooldown):
		s.log.Info().Str("event", "server-cooldown").Str("server", said.Address).Dur("cooldown", cooldown).Str("request", said.RequestID).Send()
	}
}

// cooldown has requests that wait for a server decided on anew.
func (s *Scheduler) cooldown(address string, d time.Duration) (began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	began = s.core.StartCooldown(now, address, d)
	s.step(now)
	return began
}

func (s *Scheduler) heardLimit(run instance.Incarnation, said engineclient.Said) {
	w := ratelimit.Observation{Limit: ratelimit.None, At: said.Sent}
	if said.RateLimit != "" {
		limit, err := strconv.ParseFloat(said.RateLimit, 64)
		if err != nil || !ratelimit.Valid(limit) {
			s.limits.Unreadable(run, said.RequestID)
			return
		}
		w = ratelimit.Observation{Limit: limit, At: time.Now()}
	}
	s.limits.Heard(run, w, said.RequestID)
}

// runAt is the run of the server that is known at an address.
func (s *Scheduler) runAt(address string) (run instance.Incarnation, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, known := s.reg.Server(address)
	if !known {
		return instance.Incarnation{}, false
	}
	return instance.Incarnation{ID: address, Started: server.State().GetIncarnation()}, true
}
