package balancer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/admission"
	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// brittleServers makes all servers brittle. They admit requests from a time on.
type brittleServers struct {
	ratelimit.Permits
	from, denied time.Time
	lastID       uint64
	lifetime     time.Duration
	reports      []admission.Result
}

func (s *brittleServers) Check(time.Time, instance.Incarnation) (ratelimit.State, time.Duration) {
	return ratelimit.Free, 0
}

func (s *brittleServers) Use(time.Time, instance.Incarnation)                  {}
func (s *brittleServers) RequestPermits(context.Context, instance.Incarnation) {}
func (s *brittleServers) SetWarmup(instance.Incarnation, ratelimit.Warmup)     {}
func (s *brittleServers) ReportAdmission(_ admission.Admission, r admission.Result) {
	s.reports = append(s.reports, r)
}

func (s *brittleServers) CheckAdmission(now time.Time, _ instance.Incarnation) (ratelimit.State, time.Duration) {
	if now.Before(s.denied) {
		return ratelimit.Exhausted, s.denied.Sub(now)
	}
	return ratelimit.MustRequest, 0
}

func (s *brittleServers) RequestAdmission(_ context.Context, inc instance.Incarnation, _ int, lifetime time.Duration) admission.Admission {
	now := time.Now()
	s.lifetime = lifetime
	if now.Before(s.from) {
		s.denied = now.Add(20 * time.Millisecond)
		return admission.Admission{}
	}
	s.lastID++
	return admission.Admission{Incarnation: inc, ID: s.lastID}
}

// Guards against requests that are refused because the only server left admits them a moment later, and
// against refusals that come too late for the host that asked.
func TestRequestWaitsBrieflyForAnAdmission(t *testing.T) {
	for _, c := range []struct {
		name           string
		busy, deadline time.Duration
		admitted       bool
		most           time.Duration
	}{
		{"not busy", 0, time.Second, true, 0},
		{"busy for a moment", 60 * time.Millisecond, time.Second, true, 80 * time.Millisecond},
		{"busy", time.Second, time.Second, false, maxAdmissionWait},
		{"asked by another host", time.Second, 150 * time.Millisecond, false, 150*time.Millisecond - answerMargin},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &brittleServers{from: time.Now().Add(c.busy)}
			b := New(Config{Host: "a", Zone: "z", Limits: s, OnChange: func(*pb.ServerState) {}})
			testutil.NoError(t, b.Announce(instance.Announcement{ID: "s1", Service: service, Address: "10.0.0.1:80", Seq: 1, Slots: 4}))
			ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
			defer cancel()
			began := time.Now()
			l, err := b.Acquire(ctx, &balance.Work{Service: service})
			if took := time.Since(began); took > c.most {
				t.Errorf("%s: took %v", c.name, took)
			}
			if s.lifetime <= 0 || s.lifetime > c.deadline {
				t.Errorf("%s: asked for an admission of a request that lasts %v", c.name, s.lifetime)
			}
			if !c.admitted {
				if !errkind.Is(err, errkind.NoBackendServer) {
					t.Errorf("%s: %v", c.name, err)
				}
				return
			}
			testutil.NoError(t, err)
			l.Done(balance.Served)
			if len(s.reports) != 1 || s.reports[0] != admission.Finished {
				t.Errorf("%s: reported %v", c.name, s.reports)
			}
		})
	}
}
