package records

import (
	"testing"
	"time"
)

func TestPacerBoundsEarlyRounds(t *testing.T) {
	var p pacer
	now := time.Unix(1000, 0)
	allowed := 0
	for range 2000 { // one update each millisecond
		if p.allow(now) {
			allowed++
		}
		now = now.Add(time.Millisecond)
	}
	if want := 2000/10 + earlyBurst; allowed < want-1 || allowed > want+1 {
		t.Errorf("%d early rounds in 2 s, want about %d", allowed, want)
	}
	now = now.Add(time.Second)
	for i := range earlyBurst + 1 {
		if got := p.allow(now); got != (i < earlyBurst) {
			t.Errorf("round %d of a burst: %v", i, got)
		}
	}
}
