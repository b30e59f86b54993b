package balance

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/admission"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
)

// fakeAdmissions makes the servers that it lists brittle.
type fakeAdmissions struct {
	states  map[string]ratelimit.State
	wait    time.Duration
	reports []admission.Result
}

func (a *fakeAdmissions) CheckAdmission(_ time.Time, inc instance.Incarnation) (ratelimit.State, time.Duration) {
	if a.states[inc.ID] == ratelimit.Exhausted {
		return ratelimit.Exhausted, a.wait
	}
	return a.states[inc.ID], 0
}

func (a *fakeAdmissions) ReportAdmission(_ admission.Admission, result admission.Result) {
	a.reports = append(a.reports, result)
}

func newBrittleFixture(a *fakeAdmissions, servers ...instance.Announcement) *fixture {
	w := &fixture{reg: instance.New(instance.Config{}), now: start}
	w.core = New(Config{Zone: "z", Admissions: a}, w.reg, rand.New(rand.NewPCG(1, 2)))
	w.announce(servers...)
	return w
}

// chooseAdmitted chooses a server after the needed admission was granted.
func chooseAdmitted(t *testing.T, w *fixture, work *Work) Choice {
	t.Helper()
	_, err := w.core.Choose(w.now, work)
	var need *AdmissionNeeded
	if !errors.As(err, &need) {
		t.Fatalf("got %v, want that an admission is needed", err)
	}
	if need.Slots != 64 {
		t.Errorf("%d slots", need.Slots)
	}
	work.Admission = admission.Admission{Incarnation: need.Incarnation, ID: 1}
	c, err := w.core.Choose(w.now, work)
	if err != nil {
		t.Fatal(err)
	}
	if c.Admission != work.Admission || c.Instance.Incarnation() != need.Incarnation {
		t.Errorf("chose %s with %v, admitted by %s", c.Instance.ID, c.Admission, need.Incarnation.ID)
	}
	return c
}

func TestBrittleServerGetsAdmittedRequestsOnly(t *testing.T) {
	w := newBrittleFixture(&fakeAdmissions{states: map[string]ratelimit.State{
		"e00": ratelimit.MustRequest, "e01": ratelimit.MustRequest, "e02": ratelimit.MustRequest,
	}}, engines(3)...)
	for range 20 {
		chooseAdmitted(t, w, prompt(1, 2, 100, 10))
	}
	work := prompt(1, 2, 100, 10)
	work.HeldPermitsOnly = true
	if _, err := w.core.Choose(w.now, work); !errkind.Is(err, errkind.NoBackendServer) {
		t.Errorf("without an admission: %v", err)
	}
}

// Guards against an attempt at a brittle server whose end, acceptance or rejection its owner never learns.
func TestAdmittedRequestIsReported(t *testing.T) {
	for _, c := range []struct {
		name      string
		firstPart bool
		result    Result
		want      []admission.Result
	}{
		{"served", true, Served, []admission.Result{admission.Accepted, admission.Finished}},
		{"rejected", false, Shed, []admission.Result{admission.Rejected}},
		{"lost", false, Broken, []admission.Result{admission.Finished}},
		{"unreachable", false, Unreachable, []admission.Result{admission.Finished}},
		{"caller left", true, Abandoned, []admission.Result{admission.Accepted, admission.Left}},
	} {
		a := &fakeAdmissions{states: map[string]ratelimit.State{"e00": ratelimit.MustRequest}}
		w := newBrittleFixture(a, engines(1)...)
		choice := chooseAdmitted(t, w, prompt(1, 2, 100, 10))
		if c.firstPart {
			w.core.FirstPart(w.now, choice.Ticket)
			w.core.FirstPart(w.now, choice.Ticket)
		}
		w.core.Done(w.now, choice.Ticket, c.result)
		if !slices.Equal(a.reports, c.want) {
			t.Errorf("%s: reported %v, want %v", c.name, a.reports, c.want)
		}
	}
}

// Guards against rejections that no owner counts: a host that has just started sends to a server before it
// learns that the server is brittle.
func TestRejectionWithoutAdmissionIsReported(t *testing.T) {
	for _, brittle := range []bool{true, false} {
		a := &fakeAdmissions{states: map[string]ratelimit.State{}}
		w := newBrittleFixture(a, engines(1)...)
		c := w.choose(t, prompt(1, 2, 100, 10))
		if brittle {
			a.states["e00"] = ratelimit.MustRequest
		}
		w.core.Done(w.now, c.Ticket, Shed)
		if got := slices.Equal(a.reports, []admission.Result{admission.Rejected}); got != brittle {
			t.Errorf("brittle %v: reported %v", brittle, a.reports)
		}
	}
}

// Guards against a request that goes to a brittle server without an admission because all other servers are
// in backoff.
func TestBrittleServerIsNotChosenWhenAllOthersFail(t *testing.T) {
	w := newBrittleFixture(&fakeAdmissions{states: map[string]ratelimit.State{"e00": ratelimit.Exhausted}, wait: time.Second}, engines(4)...)
	for range 40 {
		c, err := w.core.Choose(w.now, prompt(1, 2, 100, 10))
		if err != nil {
			continue
		}
		if c.Instance.ID == "e00" {
			t.Fatal("the brittle server got a request")
		}
		w.core.Done(w.now, c.Ticket, Unreachable)
	}
}

// Guards against callers that are sent away for seconds, or told to come back at once, while brittle servers
// admit no more.
func TestRefusalCarriesWhenAnAdmissionIsDue(t *testing.T) {
	a := &fakeAdmissions{states: map[string]ratelimit.State{"e00": ratelimit.Exhausted, "e01": ratelimit.MustRequest}, wait: 20 * time.Millisecond}
	w := newBrittleFixture(a, engines(2)...)
	work := prompt(1, 2, 100, 10)
	work.HeldPermitsOnly = true
	_, err := w.core.Choose(w.now, work)
	e := errkind.From(err)
	if e == nil || e.Ran() != errkind.RanNo || e.RetryAfter < minAdmissionRetry || e.RetryAfter > 2*minAdmissionRetry {
		t.Fatalf("got %v with Retry-After %v", err, e.RetryAfter)
	}
	if due, ok := w.core.AdmissionDue(w.now, work); !ok || due != 0 {
		t.Errorf("due in %v, %v", due, ok)
	}
	a.states["e01"] = ratelimit.Free
	if due, ok := w.core.AdmissionDue(w.now, work); !ok || due != a.wait {
		t.Errorf("due in %v, %v", due, ok)
	}
	a.states["e00"] = ratelimit.Free
	if _, ok := w.core.AdmissionDue(w.now, work); ok {
		t.Error("no server is brittle, but an admission is due")
	}
}
