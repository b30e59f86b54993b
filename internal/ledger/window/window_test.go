package window

import (
	"fmt"
	"testing"
)

// A generation must not be dropped while it holds a newer key, which would be forgotten too
// early, and must be dropped eventually, or memory grows without bound.
func TestForgetsWholeGenerationsOnly(t *testing.T) {
	const length, keep = 100, 400
	m := New[int](length, 0)
	for now := int64(1); now < 5000; now++ {
		m.Put(KeyOf(fmt.Sprint(now)), int(now), now)
		m.Put(KeyOf("again"), int(now), now)
		m.Forget(now - keep)
		if m.Len() > keep+2*length+2 {
			t.Fatalf("%d keys remembered at time %d", m.Len(), now)
		}
		for _, at := range []int64{now, now - keep, m.Horizon()} {
			if v, ok := m.Get(KeyOf(fmt.Sprint(at))); at >= 1 && (!ok || v != int(at)) {
				t.Fatalf("the key of time %d is lost at time %d, horizon %d", at, now, m.Horizon())
			}
		}
	}
	if m.Horizon() == 0 {
		t.Error("nothing was forgotten")
	}
}

func TestShrinkDropsOldestAndMovesHorizon(t *testing.T) {
	m := New[int](1000, 80)
	for now := int64(1); now <= 500; now++ {
		m.Put(KeyOf(fmt.Sprint(now)), 0, now)
		m.Shrink(now)
	}
	if m.Len() > 80 || m.Len() < 60 {
		t.Errorf("%d keys remembered, want 60 to 80", m.Len())
	}
	for at := m.Horizon(); at <= 500; at++ {
		if _, ok := m.Get(KeyOf(fmt.Sprint(at))); !ok {
			t.Fatalf("the key of time %d is lost, horizon %d", at, m.Horizon())
		}
	}
	m.Put(KeyOf("one"), 0, 501)
	m.maxSize = 1
	if m.Shrink(m.Horizon()); m.Len() < 60 {
		t.Error("keys that must be kept were dropped")
	}
	if _, ok := m.Get(KeyOf(fmt.Sprint(m.Horizon() - 1))); ok {
		t.Error("the horizon is later than what is forgotten")
	}
}

// During a long partition nothing may be forgotten. If a generation started for each span
// regardless of their number, lookups would become slower the longer the partition lasts.
func TestNumberOfGenerationsIsBounded(t *testing.T) {
	m := New[int](100, 0)
	for now := int64(1); now < 200_000; now += 50 {
		m.Put(KeyOf(fmt.Sprint(now)), 0, now)
	}
	if n := len(m.generations); n > 100 {
		t.Errorf("%d generations, want at most 100", n)
	}
}
