package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	start  = time.Unix(1000, 0)
	origin = Origin{Service: "pool", Version: "v1"}
)

func TestOriginIsKeptUntilItExpires(t *testing.T) {
	tab, k := NewTable(4), KeyOf("school", "a1")
	tab.Put(start, k, origin, start.Add(time.Minute))
	if got, known := tab.Find(start.Add(time.Minute), k); !known || got != origin {
		t.Errorf("got %+v, known %v", got, known)
	}
	if _, known := tab.Find(start.Add(time.Minute+1), k); known {
		t.Error("an expired origin is known")
	}
	if _, known := tab.Find(start, KeyOf("kiosk", "a1")); known {
		t.Error("the stream of another account is known")
	}
}

// Guards against choosing one of two versions for a stream: an attempt's ID was used twice.
func TestConflictingOriginsAreUnknown(t *testing.T) {
	tab, k := NewTable(4), KeyOf("school", "a1")
	tab.Put(start, k, origin, start.Add(time.Minute))
	if _, conflict := tab.Put(start, k, Origin{Service: "pool", Version: "v2"}, start.Add(time.Minute)); !conflict {
		t.Error("the conflict was not reported")
	}
	tab.Put(start, k, origin, start.Add(time.Minute))
	if got, known := tab.Find(start, k); known {
		t.Errorf("got %+v", got)
	}
}

// Guards against a table that grows with the streams of the fleet, and against one that names a wrong
// origin after it has dropped entries.
func TestTableIsBoundedAndNeverWrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		tab, now := NewTable(capacity), start
		reported := map[Key]map[Origin]bool{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Second)
			k := KeyOf("school", fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "attempt")))
			o := Origin{Service: "pool", Version: fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "version"))}
			if reported[k] == nil {
				reported[k] = map[Origin]bool{}
			}
			reported[k][o] = true
			tab.Put(now, k, o, now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "lifetime"))*time.Second))
			if tab.Len() > capacity || len(tab.order) != tab.Len() {
				t.Fatalf("%d entries in a table for %d, %d in order", tab.Len(), capacity, len(tab.order))
			}
			for k, origins := range reported {
				if got, known := tab.Find(now, k); known && !origins[got] {
					t.Fatalf("got %+v, reported were %v", got, origins)
				}
			}
		}
	})
}
