package telemetry

import "testing"

func TestOnlyTheFirstOfEachKeyIsOne(t *testing.T) {
	var f FirstSeen[int]
	for key := range maxFirsts {
		if !f.First(key) || f.First(key) {
			t.Fatalf("key %d is not reported as first exactly once", key)
		}
	}
	if f.First(maxFirsts); len(f.seen) > maxFirsts {
		t.Errorf("%d keys are remembered, more than the bound", len(f.seen))
	}
	f.Forget()
	if !f.First(0) {
		t.Error("a key is still remembered after Forget")
	}
}
