package scheduler

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/sched"
)

func newScheduler(slots uint32) *Scheduler {
	s := New(Options{Sched: sched.Config{Host: "h1", Zone: "olinda"}, Seed: 1})
	s.Announce(state(1, slots))
	return s
}

// state returns the announcement of a model server that takes 10 ms per token.
func state(seq uint64, slots uint32) *pb.ServerState {
	return &pb.ServerState{
		Address: "127.0.0.1:9001", Incarnation: 1, Seq: seq, Zone: "olinda",
		Models: []string{"m"}, Slots: slots, TokensPerSecond: 100, PrefillPerSecond: 10000,
	}
}

func work(timeout time.Duration) filter.Work {
	return filter.Work{Account: "a", Target: "m", PromptTokens: 100, OutputCap: 10, Deadline: time.Now().Add(timeout)}
}

func mustAcquire(t *testing.T, s *Scheduler, timeout time.Duration) filter.ServerLease {
	t.Helper()
	l, err := s.Acquire(t.Context(), work(timeout))
	if err != nil {
		t.Fatalf("not granted: %v", err)
	}
	return l
}

// Guards against a release that wakes no waiter: a second request goes on waiting although the
// only slot has been freed.
func TestReleaseWakesWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(1)
		defer s.Close()
		first := mustAcquire(t, s, time.Second)
		started := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			first.Done(filter.Outcome{OK: true})
			first.Done(filter.Outcome{OK: true})
		}()
		second := mustAcquire(t, s, time.Second)
		if waited := time.Since(started); waited != 100*time.Millisecond {
			t.Errorf("waited %v, want 100ms", waited)
		}
		second.Done(filter.Outcome{OK: true, Silent: true})
		if n := s.Running(); n != 0 {
			t.Errorf("%d leases left", n)
		}
		wait, silent := s.process.QueueWait.Summary(), s.process.SilentConnections.Value()
		if wait.Count != 2 || wait.Max < 99_000 || silent != 1 {
			t.Errorf("queue wait %+v, %d silent connections", wait, silent)
		}
	})
}

// Guards against waiters that nothing wakes in time: while all slots are held, a caller gets its
// refusal only after its deadline or the end of its context, or never.
func TestAcquireReturnsByDeadlineAndContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(1)
		defer s.Close()
		mustAcquire(t, s, time.Second)
		defer keepAnnouncing(s, 1)()
		started := time.Now()

		_, err := s.Acquire(t.Context(), work(time.Second))
		if !errkind.Is(err, errkind.DeadlineUnreachable) || errkind.From(err).Ran() != errkind.RanNo {
			t.Errorf("got %v, want deadline_unreachable, ran no", err)
		}
		if took := time.Since(started); took >= time.Second {
			t.Errorf("refused after %v, the deadline was 1s", took)
		}

		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		started = time.Now()
		_, err = s.Acquire(ctx, work(time.Second))
		if err == nil || time.Since(started) != 200*time.Millisecond {
			t.Errorf("context ended after 200ms, Acquire after %v with %v", time.Since(started), err)
		}
		if s.Waiting() != 0 {
			t.Errorf("%d requests still wait", s.Waiting())
		}
	})
}

// keepAnnouncing announces the server each 500 ms until the returned function is called.
func keepAnnouncing(s *Scheduler, slots uint32) (stop func()) {
	quit := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for seq := uint64(2); ; seq++ {
			select {
			case <-quit:
				return
			case <-time.After(500 * time.Millisecond):
				s.Announce(state(seq, slots))
			}
		}
	})
	return func() { close(quit); wg.Wait() }
}

// Guards against a server that runs more requests than it has slots, and against slots that are
// lost: many callers wait at once, and a slot granted just as a caller's context is cancelled was
// never released. Which callers find the queue full is random.
func TestConcurrentCallersStayWithinSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, callers = 4, 200
		s := newScheduler(slots)
		defer s.Close()
		defer keepAnnouncing(s, slots)()
		var wg sync.WaitGroup
		var mu sync.Mutex
		running, most, staying, served, full := 0, 0, 0, 0, 0
		for i := range callers {
			wg.Go(func() {
				// Every third caller leaves just as slots become free.
				ctx, leaves := t.Context(), i%3 == 0
				if leaves {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, time.Duration(i%7)*50*time.Millisecond)
					defer cancel()
				}
				l, err := s.Acquire(ctx, work(10*time.Second))
				mu.Lock()
				switch {
				case errkind.Is(err, errkind.Overloaded):
					full++
				case !leaves:
					staying++
				}
				if err != nil {
					mu.Unlock()
					return
				}
				running++
				most = max(most, running)
				if !leaves {
					served++
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
				mu.Lock()
				running--
				mu.Unlock()
				l.Done(filter.Outcome{OK: true})
			})
		}
		wg.Wait()
		if most != slots || served != staying {
			t.Errorf("%d ran at once with %d slots, %d of %d served that found room in the queue and stayed", most, slots, served, staying)
		}
		if full > callers-slots-sched.DefaultQueuePerAccount {
			t.Errorf("%d of %d callers found the queue full, which holds %d", full, callers, sched.DefaultQueuePerAccount)
		}
		if s.Running() != 0 || s.Waiting() != 0 {
			t.Errorf("%d run and %d wait at the end", s.Running(), s.Waiting())
		}
	})
}

func TestRejectionOfUnavailableTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(1)
		defer s.Close()
		w := work(time.Second)
		w.Target = "other"
		_, err := s.Acquire(t.Context(), w)
		if !errkind.Is(err, errkind.UnknownModel) {
			t.Errorf("got %v, want unknown_model", err)
		}
		time.Sleep(2 * time.Second)
		_, err = s.Acquire(t.Context(), work(time.Second))
		if !errkind.Is(err, errkind.NoBackendServer) {
			t.Errorf("got %v, want no_backend_server", err)
		}
	})
}

// Guards against a request that waits for a server of an evacuated zone and is sent there once a slot
// is free, or waits until its deadline although no server is left.
func TestWaitingRequestLeavesTheEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(1)
		defer s.Close()
		running := mustAcquire(t, s, 5*time.Second)
		type outcome struct {
			lease filter.ServerLease
			err   error
			took  time.Duration
		}
		results := make(chan outcome, 1)
		began := time.Now()
		go func() {
			l, err := s.Acquire(t.Context(), work(5*time.Second))
			results <- outcome{l, err, time.Since(began)}
		}()
		synctest.Wait()
		s.SetEvacuated(map[string]bool{"olinda": true})
		synctest.Wait()
		if s.Running() != 1 {
			t.Errorf("%d requests run, want the one that ran before", s.Running())
		}
		got := <-results
		if !errkind.Is(got.err, errkind.NoBackendServer) || got.took > time.Second {
			t.Errorf("the waiting request got %v after %v", got.err, got.took)
		}
		running.Done(filter.Outcome{OK: true})
		_, err := s.Acquire(t.Context(), work(time.Second))
		if !errkind.Is(err, errkind.NoBackendServer) {
			t.Errorf("a new request got %v", err)
		}
		s.SetEvacuated(map[string]bool{})
		s.Announce(state(2, 1))
		mustAcquire(t, s, time.Second).Done(filter.Outcome{OK: true})
	})
}
