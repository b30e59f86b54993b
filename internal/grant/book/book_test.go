package book

import (
	"testing"
	"time"
)

var (
	start = time.Unix(1000, 0)
	key   = Key{Incarnation: "a/1", Request: "r1"}
)

const lifetime = 10 * time.Second

func TestReservationEndsOnce(t *testing.T) {
	b := New()
	if !b.Add(start, key, 50, lifetime) || b.Len() != 1 {
		t.Fatal("the reservation was not added")
	}
	if !b.End(start, key) || b.End(start, key) || b.Len() != 0 {
		t.Error("a reservation was not ended exactly once")
	}
	if got := b.Expire(start.Add(2 * lifetime)); len(got) != 0 {
		t.Errorf("%v expired after its end", got)
	}
}

// If the call that requests a reservation is delayed, its host may give up and end the
// request before the call arrives. Unless that end is remembered, tokens stay reserved for
// a request that was given up long before.
func TestEndBeforeAdd(t *testing.T) {
	b := New()
	if b.End(start, key) {
		t.Fatal("End reported true for an unknown reservation")
	}
	if b.Add(start.Add(time.Second), key, 50, lifetime) || b.Len() != 0 {
		t.Error("Add accepted a reservation for an ended request")
	}
	b.Expire(start.Add(endRetention + time.Second))
	if len(b.unmatchedEnds) != 0 {
		t.Error("the end was not forgotten after endRetention")
	}
}

// A host that dies with requests in progress never reports what they used. If their tokens
// became free again, the budget would be overspent by that amount.
func TestExpiredReservationsCountAsSpent(t *testing.T) {
	b := New()
	b.Add(start, key, 50, lifetime)
	if got := b.Expire(start.Add(lifetime)); len(got) != 0 {
		t.Fatalf("expired before the end of the lifetime: %v", got)
	}
	got := b.Expire(start.Add(lifetime + 1))
	if len(got) != 1 || got[0].Key != key || got[0].Tokens != 50 || b.Len() != 0 {
		t.Errorf("expired %v", got)
	}
}

func TestRemoveAll(t *testing.T) {
	b := New()
	b.Add(start, key, 50, lifetime)
	if got := b.RemoveAll(); len(got) != 1 || b.Len() != 0 {
		t.Errorf("RemoveAll returned %v and left %d reservations", got, b.Len())
	}
}
