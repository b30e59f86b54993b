package forward

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// recordedLimits records the calls to relay.Limits.
type recordedLimits struct {
	observed   []ratelimit.Observation
	unreadable int
	sends      []ratelimit.Send

	brittle           []ratelimit.Observation
	brittleUnreadable int
}

func (l *recordedLimits) ObserveBrittle(_ instance.Incarnation, obs ratelimit.Observation, _ string) {
	l.brittle = append(l.brittle, obs)
}

func (l *recordedLimits) RecordBrittleUnreadable(instance.Incarnation, string) { l.brittleUnreadable++ }

func (l *recordedLimits) Observe(_ instance.Incarnation, obs ratelimit.Observation, _ string) {
	l.observed = append(l.observed, obs)
}

func (l *recordedLimits) RecordUnreadable(instance.Incarnation, string) { l.unreadable++ }

func (l *recordedLimits) RecordSend(_ instance.Incarnation, why ratelimit.Send) ratelimit.Observation {
	l.sends = append(l.sends, why)
	return ratelimit.Observation{}
}

func TestRateLimitIsObservedInEachAnswer(t *testing.T) {
	r := newRun(t, routes.Idempotent,
		answers(answer(http.StatusServiceUnavailable, "", hNotRun, "1", hLimit, "2.5")), answers(answer(200, "ok")))
	began := time.Now()
	if err := r.do(); err != nil {
		t.Fatal(err)
	}
	if len(r.limits.observed) != 2 || r.limits.observed[0].Limit != 2.5 || r.limits.observed[1].Limited() {
		t.Fatalf("observed %v", r.limits.observed)
	}
	if at := r.limits.observed[1].At; at.Before(began) || at.After(time.Now()) {
		t.Errorf("the second observation is of %v", at)
	}
	if want := []ratelimit.Send{ratelimit.SendFirst, ratelimit.SendRepeat}; !slices.Equal(r.limits.sends, want) {
		t.Errorf("sends %v, want %v", r.limits.sends, want)
	}
}

// Guards against observing a rate limit in a late answer to another request.
func TestRateLimitInAnotherRequestsAnswerIsIgnored(t *testing.T) {
	other := answer(200, "", hLimit, "1")
	other.Header.Set(hID, "another")
	r := newRun(t, routes.NonIdempotent, answers(other))
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanUnknown)
	if len(r.limits.observed) != 0 {
		t.Errorf("observed %v", r.limits.observed)
	}
}

// Guards against lifting a rate limit because of a header that can't be parsed.
func TestUnreadableRateLimitLiftsNone(t *testing.T) {
	r := newRun(t, routes.NonIdempotent, answers(answer(200, "ok", hLimit, "some")))
	if err := r.do(); err != nil {
		t.Fatal(err)
	}
	if len(r.limits.observed) != 0 || r.limits.unreadable != 1 {
		t.Errorf("observed %v, %d unreadable", r.limits.observed, r.limits.unreadable)
	}
}

// Guards against ignoring the cooldown in an answer that does not state that the request did not
// run.
func TestCooldownIsObservedInEachRejection(t *testing.T) {
	for _, headers := range [][]string{{hNotRun, "1", hCooldown, "3"}, {hCooldown, "0.5"}} {
		r := newRun(t, routes.NonIdempotent, answers(answer(http.StatusServiceUnavailable, "", headers...)), answers(answer(200, "ok")))
		_ = r.do() // a retry depends on whether the request may have run
		if len(r.leases.cooldowns) != 1 || r.x.Attempts[0].Cooldown != r.leases.cooldowns[0] {
			t.Errorf("%v: cooldowns %v, in the log %v", headers, r.leases.cooldowns, r.x.Attempts[0].Cooldown)
		}
	}
	r := newRun(t, routes.NonIdempotent, answers(answer(http.StatusServiceUnavailable, "", hCooldown, "soon")))
	_ = r.do()
	if len(r.leases.cooldowns) != 0 || r.leases.unreadable != 1 {
		t.Errorf("cooldowns %v, %d unreadable", r.leases.cooldowns, r.leases.unreadable)
	}
}

// Guards against ignoring that a server is leaving if its answer rejects the request, and against
// observing it in a late answer to another request.
func TestLeavingIsObservedInEachAnswer(t *testing.T) {
	r := newRun(t, routes.Idempotent,
		answers(answer(http.StatusServiceUnavailable, "", hNotRun, "1", hLeaving, "1")), answers(answer(200, "ok", hLeaving, "1")))
	if err := r.do(); err != nil {
		t.Fatal(err)
	}
	if want := []string{"a", "b"}; !slices.Equal(r.leases.leaving, want) {
		t.Errorf("leaving %v, want %v", r.leases.leaving, want)
	}
	other := answer(200, "", hLeaving, "1")
	other.Header.Set(hID, "another")
	r = newRun(t, routes.NonIdempotent, answers(other))
	_ = r.do()
	if len(r.leases.leaving) != 0 {
		t.Errorf("leaving %v, by an answer to another request", r.leases.leaving)
	}
}

// Guards against a server that counts as brittle for ever because its later answers, or one that can't be
// parsed, do not end it, and against an answer that ends it although its request was sent before the
// server was known to be brittle.
func TestBrittlenessIsObservedInEachAnswer(t *testing.T) {
	r := newRun(t, routes.Idempotent,
		answers(answer(http.StatusServiceUnavailable, "", hNotRun, "1", hBrittle, "3")), answers(answer(200, "ok", hBrittle, "many")))
	began := time.Now()
	if err := r.do(); err != nil {
		t.Fatal(err)
	}
	if len(r.limits.brittle) != 2 || r.limits.brittle[0].Limit != 3 || r.limits.brittle[1].Limited() || r.limits.brittleUnreadable != 1 {
		t.Fatalf("observed %v, %d unreadable", r.limits.brittle, r.limits.brittleUnreadable)
	}
	if at := r.limits.brittle[1].At; at.Before(began) || at.After(r.limits.brittle[0].At.Add(time.Since(began))) {
		t.Errorf("the second observation is of %v", at)
	}
}

// Guards against a rejection that nobody counts because the caller has left meanwhile.
func TestRejectionCountsAlsoIfTheCallerHasLeft(t *testing.T) {
	r := newRun(t, routes.Idempotent)
	ctx, leave := context.WithCancel(t.Context())
	r.ctx = ctx
	r.servers.steps = append(r.servers.steps, func(c context.Context, f *engineclient.Forward) (*http.Response, error) {
		leave()
		return answers(answer(http.StatusServiceUnavailable, "", hNotRun, "1"))(c, f)
	})
	_ = r.do()
	if want := []balance.Result{balance.Shed}; !slices.Equal(r.leases.results, want) {
		t.Errorf("results %v, want %v", r.leases.results, want)
	}
}
