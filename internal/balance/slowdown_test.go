package balance

import (
	"testing"
	"time"
)

// Guards against requests that go to servers on machines which are slow at present while others are
// not, and against all of them going to the one server whose last report was the best.
func TestServersOnSlowMachinesGetFewerRequests(t *testing.T) {
	w := newFixture("z", engines(6)...)
	for range 10 {
		for i, a := range engines(6) {
			factor := 1.0
			if i < 2 {
				factor = 3
			}
			w.core.ReportLoad(w.now, a.Incarnation(), Load{Slowdown: factor})
		}
		w.now = w.now.Add(100 * time.Millisecond)
	}
	counts := make(map[string]int)
	for i := range uint64(48) {
		counts[w.choose(t, prompt(100+i, 200+i, 3_000, 1_000)).Instance.ID]++
	}
	slow := counts["e00"] + counts["e01"]
	if fast := 48 - slow; slow == 0 || 4*slow > fast {
		t.Errorf("%d of 48 requests went to two servers that take three times as long, want half of a fast server's share at most: %v", slow, counts)
	}
	for _, a := range engines(6)[2:] {
		if n := counts[a.ID]; n < 7 || n > 14 {
			t.Errorf("%d of 48 requests went to %s, want about 10: %v", n, a.ID, counts)
		}
	}
}

// Guards against a server that stays without requests because of a report that is long out of date.
func TestSlowdownIsForgotten(t *testing.T) {
	var s slowdown
	for range 20 {
		s.record(start, 4)
	}
	if got := s.scale(start, time.Second); got < 3500*time.Millisecond {
		t.Errorf("%v right after the reports, want about 4 s", got)
	}
	if got := s.scale(start.Add(5*slowdownDecay), time.Second); got > 1100*time.Millisecond {
		t.Errorf("%v long after the reports, want about 1 s", got)
	}
	s.record(start, 0)
	s.record(start, 1e9)
	if got := s.scale(start, time.Second); got > maxSlowdown*time.Second {
		t.Errorf("%v after a report out of range", got)
	}
}
