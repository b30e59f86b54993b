package outbox

import (
	"testing"
	"time"
)

var (
	start = time.Unix(1000, 0)
	owner = Receiver{Host: "b", Incarnation: 3, Address: "10.0.0.2:7000"}
)

// lifetime is the lifetime of the tests' items.
const lifetime = 10 * time.Second

func TestSendsUntilAcknowledged(t *testing.T) {
	o := New[string]()
	o.Add(owner, "r1", start.Add(lifetime))
	first := o.Due(start)
	if len(first) != 1 || len(first[0].Items) != 1 {
		t.Fatalf("due %v, want one message with one item", first)
	}
	o.Add(owner, "r2", start.Add(lifetime))
	if again := o.Due(start); len(again) != 0 {
		t.Fatalf("a second message was sent before the first was answered: %v", again)
	}
	o.MarkFailed(start, owner)
	if early := o.Due(start.Add(initialBackoff - 1)); len(early) != 0 {
		t.Fatalf("resent before the backoff: %v", early)
	}
	second := o.Due(start.Add(initialBackoff))
	if len(second) != 1 || len(second[0].Items) != 2 {
		t.Fatalf("due %v, want both items", second)
	}
	o.MarkAcknowledged(owner)
	if !o.Empty() || len(o.Due(start.Add(lifetime))) != 0 {
		t.Error("acknowledged items were kept")
	}
}

func TestExpiredItemsAreDropped(t *testing.T) {
	o := New[string]()
	o.Add(owner, "r1", start.Add(lifetime))
	if got := o.Due(start.Add(lifetime + 1)); len(got) != 0 || !o.Empty() || len(o.receivers) != 0 {
		t.Errorf("due %v after the item expired, want nothing", got)
	}
}

func TestMessageSizeIsBounded(t *testing.T) {
	o := New[string]()
	for range maxBatch + 1 {
		o.Add(owner, "r", start.Add(lifetime))
	}
	if m := o.Due(start); len(m[0].Items) != maxBatch {
		t.Errorf("%d items in one message, want maxBatch", len(m[0].Items))
	}
	o.MarkAcknowledged(owner)
	if m := o.Due(start); len(m) != 1 || len(m[0].Items) != 1 {
		t.Error("the remaining item was not sent")
	}
}
