package scheduler

import (
	"context"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/controller/ratelimits"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/sched"
)

// onlyHost is the table of owners of a host that owns all limits.
type onlyHost struct{}

func (onlyHost) AgreedFor() time.Duration              { return 0 }
func (onlyHost) FirstRanked(string, int) []owners.Host { return nil }
func (onlyHost) Rank(string) (int, bool)               { return 0, true }
func (onlyHost) AliveFraction() float64                { return 1 }
func (onlyHost) MarkUnanswered(string)                 {}
func (onlyHost) EachRecent(string, time.Duration, func(int, float64)) bool {
	return false
}
func (onlyHost) MarkAnswered(string) {}

// limited is a scheduler with one rate-limited server.
type limited struct {
	*Scheduler
	mu      sync.Mutex
	granted []time.Time
	refused []*errkind.Error
	late    int // refusals that were not given at once
}

func newLimited(perSecond string) *limited {
	limits := ratelimits.New(ratelimits.Config{Host: "h1", Owners: onlyHost{}, Broadcast: func(*pb.ServerLimit) {}, Log: zerolog.Nop()})
	l := &limited{Scheduler: New(Options{Sched: sched.Config{Host: "h1", Zone: "olinda"}, Seed: 1, Limits: limits})}
	l.Announce(state(1, 64))
	l.Observe(engineclient.Observation{Address: "127.0.0.1:9001", RequestID: "r", RateLimit: perSecond})
	return l
}

// send schedules one request, which ends at once.
func (l *limited) send(ctx context.Context) {
	began := time.Now()
	w := work(time.Second)
	w.PromptTokens, w.OutputCap = 10, 1
	lease, err := l.Acquire(ctx, w)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.refused = append(l.refused, errkind.From(err))
		if time.Since(began) > 100*time.Millisecond {
			l.late++
		}
		return
	}
	l.granted = append(l.granted, time.Now())
	lease.Done(filter.Outcome{OK: true})
}

// Guards against a rate-limited server that gets all requests of the scheduler or none, and against
// callers that wait for a permit that they can't get in time.
func TestSchedulerObeysServerRateLimit(t *testing.T) {
	const limit, span, grace, window = 5, 16 * time.Second, 3 * time.Second, 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		l := newLimited("5")
		defer l.Close()
		began := time.Now()
		var sends sync.WaitGroup
		rng := rand.New(rand.NewSource(1))
		for time.Since(began) < grace+span {
			sends.Go(func() { l.send(t.Context()) })
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond)))
			if time.Since(began).Milliseconds()%400 < 20 {
				l.Announce(state(uint64(time.Since(began)/time.Millisecond)+2, 64))
			}
		}
		sends.Wait()
		used, most := 0, 0
		for i, at := range l.granted {
			if at.Sub(began) < grace {
				continue
			}
			used++
			n := 0
			for _, later := range l.granted[i:] {
				if later.Sub(at) <= window {
					n++
				}
			}
			most = max(most, n)
		}
		mean := float64(used) / span.Seconds()
		t.Logf("%.2f a second granted, %d in the busiest %v, %d refused, %d of them late", mean, most, window, len(l.refused), l.late)
		if most > limit*6+5 {
			t.Errorf("%d requests in %v at a limit of %d a second", most, window, limit)
		}
		if mean < 0.75*limit {
			t.Errorf("%.2f requests a second of %d are used", mean, limit)
		}
		if l.late*50 > len(l.refused) {
			t.Errorf("%d of %d refusals were not given at once", l.late, len(l.refused))
		}
		if len(l.refused) == 0 || l.refused[0].RetryAfter <= 0 || l.refused[0].Ran() != errkind.RanNo {
			t.Errorf("%d refused, the first: %v", len(l.refused), l.refused[:min(1, len(l.refused))])
		}
	})
}

func TestUnreadableRateLimitLimitsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimited("many")
		defer l.Close()
		for range 20 {
			l.send(t.Context())
		}
		if len(l.granted) != 20 {
			t.Errorf("%d of 20 granted", len(l.granted))
		}
	})
}
