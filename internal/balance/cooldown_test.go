package balance

import (
	"strings"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
)

func firstIncarnation(id string) instance.Incarnation { return instance.Incarnation{ID: id} }

// Guards against a cooldown that ends before its time: by an answer to an earlier request, a
// shorter cooldown, or the failure of all other servers.
func TestCooldownIsNotCutShort(t *testing.T) {
	for name, disturb := range map[string]func(w *fixture, open uint64){
		"an answer":          func(w *fixture, open uint64) { w.core.Done(w.now, open, Served) },
		"a shorter cooldown": func(w *fixture, _ uint64) { w.core.StartCooldown(w.now, firstIncarnation("e00"), 10*time.Millisecond) },
		"a failure":          func(w *fixture, open uint64) { w.core.Done(w.now, open, Broken) },
		"the failure of all others": func(w *fixture, _ uint64) {
			for range 40 {
				if c, err := w.core.Choose(w.now, prompt(1, 2, 100, 10)); err == nil {
					w.core.Done(w.now, c.Ticket, Unreachable)
				}
			}
		},
	} {
		w := newFixture("z", engines(5)...)
		work := prompt(1, 2, 100, 10)
		for _, id := range []string{"e01", "e02", "e03", "e04"} {
			work.Exclude = append(work.Exclude, firstIncarnation(id))
		}
		open := w.choose(t, work)
		if !w.core.StartCooldown(w.now, firstIncarnation("e00"), 3*time.Second) {
			t.Errorf("%s: StartCooldown reports a cooldown that was already running", name)
		}
		disturb(w, open.Ticket)
		for end := w.now.Add(2900 * time.Millisecond); w.now.Before(end); w.now = w.now.Add(100 * time.Millisecond) {
			c, err := w.core.Choose(w.now, prompt(1, 2, 100, 10))
			if err == nil && c.Instance.ID == "e00" {
				t.Fatalf("%s: the server got a request during its cooldown", name)
			}
		}
	}
}

func TestServerIsUsedAfterItsCooldown(t *testing.T) {
	w := newFixture("z", engines(1)...)
	w.core.StartCooldown(w.now, firstIncarnation("e00"), 3*time.Second)
	w.now = w.now.Add(3 * time.Second)
	if c := w.choose(t, prompt(1, 2, 100, 10)); c.Instance.ID != "e00" || c.CooldownLeft != 0 {
		t.Errorf("chose %s with %v of its cooldown left", c.Instance.ID, c.CooldownLeft)
	}
}

// Guards against a Retry-After that ends while all servers still cool down, or long after.
func TestRefusalCarriesTheEndOfTheFirstCooldown(t *testing.T) {
	w := newFixture("z", engines(3)...)
	for id, cooldown := range map[string]time.Duration{"e00": 20 * time.Second, "e01": 7 * time.Second, "e02": time.Hour} {
		w.core.StartCooldown(w.now, firstIncarnation(id), cooldown)
	}
	_, err := w.core.Choose(w.now, prompt(1, 2, 100, 10))
	e := errkind.From(err)
	if e == nil || e.Ran() != errkind.RanNo || e.RetryAfter < 7*time.Second || e.RetryAfter > 7*time.Second+ReturnSpread {
		t.Errorf("got %v with Retry-After %v", err, e.RetryAfter)
	}
	if want := "of 3 servers, 0 back off after failures, 3 are cooling down for this host, 0 are at their rate limits"; !strings.HasSuffix(e.Message, want) {
		t.Errorf("the refusal's message is %q, want suffix %q", e.Message, want)
	}
	incs, first, all := w.core.CoolingDown(w.now, pool)
	if len(incs) != 3 || first != 7*time.Second || !all {
		t.Errorf("servers cooling down: %v, first end in %v, all: %v", incs, first, all)
	}
}

// Guards against a cooldown that outlives the server's incarnation that requested it.
func TestCooldownEndsWithTheIncarnation(t *testing.T) {
	w := newFixture("z", engines(1)...)
	w.core.StartCooldown(w.now, firstIncarnation("e00"), time.Hour)
	again := engines(1)[0]
	again.Started = 2
	w.announce(again)
	w.choose(t, prompt(1, 2, 100, 10))
}

// Guards against all hosts sending to a server that makes one host after the other cool down.
func TestServerCoolingDownForAnotherHostRanksLast(t *testing.T) {
	w := newFixture("z", engines(3)...)
	w.core.StartRemoteCooldown(w.now, firstIncarnation("e01"), 3*time.Second)
	for range 20 {
		if c := w.choose(t, prompt(1, 2, 100, 10)); c.Instance.ID == "e01" {
			t.Fatal("e01, which cools down for another host, was chosen although others were available")
		}
	}
	work := prompt(1, 2, 100, 10)
	work.Exclude = []instance.Incarnation{firstIncarnation("e00"), firstIncarnation("e02")}
	if c := w.choose(t, work); c.Instance.ID != "e01" {
		t.Errorf("chose %s, want e01, the only server left", c.Instance.ID)
	}
}
