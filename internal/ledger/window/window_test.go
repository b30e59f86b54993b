package window

import (
	"fmt"
	"testing"
)

// Symptom: something inside its span is forgotten, or memory grows without end.
// Sequence: keys are put at rising times, some again, and forgotten up to a time.
// Cause: a generation is dropped while it holds a younger key, or never.
func TestForgetsWholeGenerationsOnly(t *testing.T) {
	const length, keep = 100, 400
	m := New[int](length, 0)
	for now := int64(1); now < 5000; now++ {
		m.Put(KeyOf(fmt.Sprint(now)), int(now), now)
		m.Put(KeyOf("again"), int(now), now)
		m.Forget(now - keep)
		if m.Len() > keep+2*length+2 {
			t.Fatalf("%d keys at %d", m.Len(), now)
		}
		for _, at := range []int64{now, now - keep, m.Horizon()} {
			if v, ok := m.Get(KeyOf(fmt.Sprint(at))); at >= 1 && (!ok || v != int(at)) {
				t.Fatalf("key of %d is lost at %d, horizon %d", at, now, m.Horizon())
			}
		}
	}
	if m.Horizon() == 0 {
		t.Error("nothing was forgotten")
	}
}

func TestBoundDropsOldestAndSaysSo(t *testing.T) {
	m := New[int](1000, 80)
	for now := int64(1); now <= 500; now++ {
		m.Put(KeyOf(fmt.Sprint(now)), 0, now)
		m.Shrink(now)
	}
	if m.Len() > 80 || m.Len() < 60 {
		t.Errorf("%d keys of at most 80", m.Len())
	}
	for at := m.Horizon(); at <= 500; at++ {
		if _, ok := m.Get(KeyOf(fmt.Sprint(at))); !ok {
			t.Fatalf("key of %d is lost, horizon %d", at, m.Horizon())
		}
	}
	m.Put(KeyOf("one"), 0, 501)
	m.maxSize = 1
	if m.Shrink(m.Horizon()); m.Len() < 60 {
		t.Error("keys inside the time to keep are dropped")
	}
	if _, ok := m.Get(KeyOf(fmt.Sprint(m.Horizon() - 1))); ok {
		t.Error("the horizon is later than what is forgotten")
	}
}

// Symptom: each lookup grows slower the longer a partition lasts.
// Sequence: nothing may be forgotten for a long time.
// Cause: a generation per span, however many spans there are.
func TestLongMemoryHasFewGenerations(t *testing.T) {
	m := New[int](100, 0)
	for now := int64(1); now < 200_000; now += 50 {
		m.Put(KeyOf(fmt.Sprint(now)), 0, now)
	}
	if n := len(m.gens); n > 100 {
		t.Errorf("%d generations", n)
	}
}
