package ratelimits

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
)

const coldRate = 5.2

func newColdLimiter(o *fakeOwners, p *peer) *Limiter {
	return New(Config{
		Host: "h", Owners: o, Client: func(string) pb.PeerClient { return p }, Broadcast: func(*pb.ServerLimit) {}, Log: zerolog.Nop(),
		WarmupRate: func(service string) (float64, bool) { return coldRate, service == "pool" },
	})
}

// Guards against an owner that has not heard yet that a server is cold and refuses all permits, or grants
// them without a bound.
func TestOwnerLearnsOfTheColdServerFromTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := newColdLimiter(&fakeOwners{fraction: 1, settled: true}, nil)
		l := newColdLimiter(remote(), &peer{to: owner})
		if state, _ := l.Check(time.Now(), server); state != ratelimit.Free {
			t.Errorf("a warm server: state %v", state)
		}
		l.SetWarmup(server, ratelimit.Warmup{Service: "pool", Until: time.Now().Add(3 * time.Second)})
		sent, begin := 0, time.Now()
		for time.Since(begin) < 2*time.Second {
			state, _ := l.Check(time.Now(), server)
			if state == ratelimit.MustRequest {
				l.RequestPermits(t.Context(), server)
				state, _ = l.Check(time.Now(), server)
			}
			if state == ratelimit.Held {
				l.Use(time.Now(), server)
				sent++
			}
			time.Sleep(5 * time.Millisecond)
		}
		if float64(sent) < 0.6*2*coldRate || float64(sent) > 2*coldRate+3 {
			t.Errorf("%d requests in 2 s to a server that accepts %v a second", sent, coldRate)
		}
		time.Sleep(time.Until(begin.Add(3*time.Second + time.Millisecond)))
		if state, _ := l.Check(time.Now(), server); state != ratelimit.Free {
			t.Errorf("once it is warm: state %v", state)
		}
	})
}

// Guards against a host without contact to the owner of a cold server's permits that sends requests all the
// same.
func TestColdServerWithoutItsOwnerGetsNothing(t *testing.T) {
	l := newColdLimiter(remote(), &peer{fail: true})
	l.SetWarmup(server, ratelimit.Warmup{Service: "pool", Until: time.Now().Add(time.Minute)})
	l.RequestPermits(t.Context(), server)
	if state, wait := l.Check(time.Now(), server); state != ratelimit.Exhausted || wait <= 0 {
		t.Errorf("state %v for %v", state, wait)
	}
	if l.metrics.warmups.Value() != 1 {
		t.Errorf("%d warm-ups counted", l.metrics.warmups.Value())
	}
}
