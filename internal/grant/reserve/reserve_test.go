package reserve

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestUsableGrowsAtRate(t *testing.T) {
	for _, c := range []struct {
		tokens, rate   uint64
		unreachableFor time.Duration
		want           uint64
	}{
		{1000, 200, HoldPeriod, 0},
		{1000, 200, HoldPeriod + 500*time.Millisecond, 100},
		{1000, 200, HoldPeriod + time.Minute, 1000},
		{1000, 0, HoldPeriod + time.Minute, 0},
		{1 << 63, 1 << 62, HoldPeriod + time.Hour, 1 << 63},
	} {
		if got := Usable(c.tokens, c.rate, c.unreachableFor); got != c.want {
			t.Errorf("%d tokens at %d per second, unreachable for %v: %d usable, want %d", c.tokens, c.rate, c.unreachableFor, got, c.want)
		}
	}
	if got := CountedAsSpent(1000, 0, 0); got != 1000 {
		t.Errorf("%d of 1000 tokens of a reserve with unknown rate count as spent, want all", got)
	}
}

func TestUsableAfterMatchesUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.Uint64Range(0, 1<<40).Draw(t, "tokens")
		rate := rapid.Uint64Range(1, 1<<30).Draw(t, "rate")
		after := UsableAfter(tokens, rate)
		if after < 24*time.Hour && Usable(tokens, rate, after) < tokens-min(tokens, rate/1000) {
			t.Fatalf("after %v only %d tokens are usable", after, Usable(tokens, rate, after))
		}
	})
}
