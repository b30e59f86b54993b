package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// secondServer announces another server like that of newScheduler.
func secondServer() *pb.ServerState {
	st := state(1, 4)
	st.Address = "127.0.0.1:9002"
	return st
}

// Guards against calls that are sent to a server that is cooling down for this host, or wait for it.
func TestCoolingServerGetsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(4)
		defer s.Close()
		s.Announce(secondServer())
		s.Observe(engineclient.Observation{Address: "127.0.0.1:9001", RequestID: "r", RetryAfter: "1.4"})
		for range 20 {
			l := mustAcquire(t, s, time.Second)
			if l.Address() != "127.0.0.1:9002" {
				t.Fatal("the cooling server got a call")
			}
			l.Done(filter.Outcome{OK: true})
		}
		s.Observe(engineclient.Observation{Address: "127.0.0.1:9002", RequestID: "r", RetryAfter: "1"})
		began := time.Now()
		_, err := s.Acquire(t.Context(), work(5*time.Second))
		e := errkind.From(err)
		if e == nil || e.Ran() != errkind.RanNo || e.RetryAfter < time.Second || e.RetryAfter > 1500*time.Millisecond || time.Since(began) > 0 {
			t.Errorf("while both cool down: %v after %v, Retry-After %v", err, time.Since(began), e.RetryAfter)
		}
		time.Sleep(time.Second)
		s.Announce(state(2, 4))
		st := secondServer()
		st.Seq = 2
		s.Announce(st)
		if l := mustAcquire(t, s, time.Second); l.Address() != "127.0.0.1:9002" {
			t.Errorf("%s got a call, the cooldown of the other one is over", l.Address())
		}
	})
}

// Guards against calls that wait until their deadline for a server whose cooldown began after they
// had started to wait.
func TestWaitingCallIsRescheduledWhenItsServerCoolsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(1)
		defer s.Close()
		held := mustAcquire(t, s, 5*time.Second)
		go func() {
			time.Sleep(100 * time.Millisecond)
			s.Observe(engineclient.Observation{Address: "127.0.0.1:9001", RequestID: "r", RetryAfter: "30"})
		}()
		began := time.Now()
		_, err := s.Acquire(t.Context(), work(5*time.Second))
		if e := errkind.From(err); e == nil || e.RetryAfter < 29*time.Second || time.Since(began) > 100*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		held.Done(filter.Outcome{OK: true})
	})
}

func TestUnreadableRetryAfterStartsNoCooldown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(1)
		defer s.Close()
		for _, text := range []string{"soon", "-3", "NaN", ""} {
			s.Observe(engineclient.Observation{Address: "127.0.0.1:9001", RequestID: "r", RetryAfter: text})
		}
		mustAcquire(t, s, time.Second).Done(filter.Outcome{OK: true})
	})
}
