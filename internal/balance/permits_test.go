package balance

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
)

// fakePermits rate-limits the servers that it lists.
type fakePermits struct {
	states map[string]ratelimit.State
	wait   time.Duration
	used   []string
}

func (p *fakePermits) Check(_ time.Time, inc instance.Incarnation) (ratelimit.State, time.Duration) {
	return p.states[inc.ID], p.wait
}

func (p *fakePermits) Use(_ time.Time, inc instance.Incarnation) {
	if p.states[inc.ID] != ratelimit.Free {
		p.used = append(p.used, inc.ID)
	}
}

func (p *fakePermits) Limit(inc instance.Incarnation) (float64, bool) {
	return 1, p.states[inc.ID] != ratelimit.Free
}

func newLimitedFixture(p *fakePermits, servers ...instance.Announcement) *fixture {
	w := &fixture{reg: instance.New(instance.Config{}), now: start}
	w.core = New(Config{Zone: "z", Permits: p}, w.reg, rand.New(rand.NewPCG(1, 2)))
	w.announce(servers...)
	return w
}

func TestServerAtItsLimitIsNotChosen(t *testing.T) {
	p := &fakePermits{states: map[string]ratelimit.State{"e00": ratelimit.Exhausted, "e01": ratelimit.Held}}
	w := newLimitedFixture(p, engines(2)...)
	for range 5 {
		if c := w.choose(t, prompt(1, 2, 100, 10)); c.Instance.ID != "e01" {
			t.Fatalf("chose %s", c.Instance.ID)
		}
	}
	if len(p.used) != 5 {
		t.Errorf("permits used: %v", p.used)
	}
}

func TestPermitIsNeededOnlyForTheBestServer(t *testing.T) {
	p := &fakePermits{states: map[string]ratelimit.State{"e00": ratelimit.MustRequest}}
	w := newLimitedFixture(p, engines(1)...)
	work := prompt(1, 2, 100, 10)
	_, err := w.core.Choose(w.now, work)
	var need *PermitNeeded
	if !errors.As(err, &need) || need.Incarnation.ID != "e00" || w.core.Running() != 0 {
		t.Fatalf("got %v, %d running", err, w.core.Running())
	}
	work.HeldPermitsOnly = true
	if _, err := w.core.Choose(w.now, work); !errkind.Is(err, errkind.NoBackendServer) {
		t.Errorf("with held permits only: %v", err)
	}
}

// Guards against a Retry-After that ends before a permit is available, or that is the same for all
// callers.
func TestRefusalCarriesWhenAPermitIsDue(t *testing.T) {
	p := &fakePermits{states: map[string]ratelimit.State{"e00": ratelimit.Exhausted, "e01": ratelimit.Exhausted}, wait: 300 * time.Millisecond}
	w := newLimitedFixture(p, engines(2)...)
	times := make(map[time.Duration]bool)
	for range 20 {
		_, err := w.core.Choose(w.now, prompt(1, 2, 100, 10))
		e := errkind.From(err)
		if e == nil || e.Ran() != errkind.RanNo || e.RetryAfter < p.wait || e.RetryAfter > 2*p.wait {
			t.Fatalf("got %v with Retry-After %v", err, e.RetryAfter)
		}
		times[e.RetryAfter] = true
	}
	if len(times) < 10 {
		t.Errorf("20 callers got %d different Retry-After times", len(times))
	}
}

// Guards against a request to a server at its rate limit because all other servers are in backoff.
func TestServerAtItsLimitIsNotChosenWhenAllOthersFail(t *testing.T) {
	p := &fakePermits{states: map[string]ratelimit.State{"e00": ratelimit.Exhausted}, wait: time.Second}
	w := newLimitedFixture(p, engines(4)...)
	for range 40 {
		c, err := w.core.Choose(w.now, prompt(1, 2, 100, 10))
		if err != nil {
			continue
		}
		if c.Instance.ID == "e00" {
			t.Fatal("the server at its limit got a request")
		}
		w.core.Done(w.now, c.Ticket, Unreachable)
	}
}
