package telemetry

import "testing"

func TestFirstIsReportedOncePerKey(t *testing.T) {
	var f FirstSeen[int]
	for key := range maxSeenKeys {
		if !f.First(key) || f.First(key) {
			t.Fatalf("key %d is not reported as first exactly once", key)
		}
	}
	if f.First(maxSeenKeys); len(f.seen) > maxSeenKeys {
		t.Errorf("%d keys are remembered, more than the bound", len(f.seen))
	}
	f.Forget()
	if !f.First(0) {
		t.Error("a key is still remembered after Forget")
	}
}
