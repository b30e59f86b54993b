package scheduler

import (
	"sync"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/sched"
)

// lease is a slot at one server.
type lease struct {
	scheduler *Scheduler
	ticket    uint64
	server    *pb.ServerState
	reason    string
	done      sync.Once
}

// Address implements filter.ServerLease.
func (l *lease) Address() string { return l.server.GetAddress() }

// Server implements filter.ServerLease.
func (l *lease) Server() *pb.ServerState { return l.server }

// Reason implements filter.ServerLease.
func (l *lease) Reason() string { return l.reason }

// FirstToken implements filter.ServerLease.
func (l *lease) FirstToken(d time.Duration) {
	s := l.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.FirstToken(l.ticket, d)
	s.process.FirstToken.Observe(d)
}

// Done implements filter.ServerLease; a second call does nothing.
func (l *lease) Done(o filter.Outcome) {
	l.done.Do(func() { l.scheduler.release(l.ticket, o) })
}

func (s *Scheduler) release(ticket uint64, o filter.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.core.Release(now, ticket, sched.End{Completed: o.OK, Output: o.Usage.Output})
	s.metrics.ended(o)
	if o.Silent {
		s.process.SilentConnections.Add(1)
	}
	s.step(now)
}
