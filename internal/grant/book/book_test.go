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
		t.Fatal("not taken")
	}
	if !b.End(start, key) || b.End(start, key) || b.Len() != 0 {
		t.Error("the second end found the reservation again")
	}
	if got := b.Expire(start.Add(2 * lifetime)); len(got) != 0 {
		t.Errorf("expired %v after its end", got)
	}
}

// Symptom: tokens stay set aside for a request that was given up long ago.
// Sequence: the call that asks for them is held up; its host gives up and ends the
// request; then the call arrives.
// Cause: the end found nothing, and was forgotten.
func TestEndBeforeItsReservation(t *testing.T) {
	b := New()
	if b.End(start, key) {
		t.Fatal("ended what was not there")
	}
	if b.Add(start.Add(time.Second), key, 50, lifetime) || b.Len() != 0 {
		t.Error("a reservation was made for an ended request")
	}
	b.Expire(start.Add(rememberEnds + time.Second))
	if len(b.ended) != 0 {
		t.Error("ends are remembered for ever")
	}
}

// Symptom: a budget is overspent by what a lost host's requests used.
// Sequence: a host is lost with requests under way; what they used is never told.
// Cause: their tokens became free again.
func TestLostHostsRequestsCountAsSpent(t *testing.T) {
	b := New()
	b.Add(start, key, 50, lifetime)
	if got := b.Expire(start.Add(lifetime)); len(got) != 0 {
		t.Fatalf("expired early: %v", got)
	}
	got := b.Expire(start.Add(lifetime + 1))
	if len(got) != 1 || got[0].Key != key || got[0].Tokens != 50 || b.Len() != 0 {
		t.Errorf("expired %v", got)
	}
}

func TestAllAtTheEnd(t *testing.T) {
	b := New()
	b.Add(start, key, 50, lifetime)
	if got := b.RemoveAll(); len(got) != 1 || b.Len() != 0 {
		t.Errorf("got %v, %d are left", got, b.Len())
	}
}
