package daemon

import "testing"

// Guards against a heap of a large fleet's host that takes a multiple of what it holds.
func TestGarbageIsBoundedByASize(t *testing.T) {
	for live, want := range map[uint64]int{0: gcPercent, 2 << 20: gcPercent, 4 << 20: 300, 12 << 20: 100, 24 << 20: 50, 500 << 20: minGCPercent} {
		if got := gcPercentFor(live); got != want {
			t.Errorf("%d MiB live: %d %%, want %d %%", live>>20, got, want)
		}
	}
}
