package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("host-%d", i))
	}
	return out
}

func TestRemovedMemberMovesOnlyItsOwnKeys(t *testing.T) {
	all := names(20)
	before, after := New(all), New(all[1:])
	moved := 0
	for i := range 2000 {
		key := Hash(fmt.Sprint("key", i))
		was, is := before.First(key, 2), after.First(key, 1)
		if was[0] == is[0] {
			continue
		}
		moved++
		if was[0] != all[0] || was[1] != is[0] {
			t.Fatalf("key %d moved from %s to %s, the second in rank was %s", i, was[0], is[0], was[1])
		}
	}
	if moved < 60 || moved > 140 {
		t.Errorf("%d of 2000 keys moved, want about 100, the share of one of 20 hosts", moved)
	}
}

func TestOrderOfMembersDoesNotMatter(t *testing.T) {
	a := names(9)
	b := slices.Clone(a)
	slices.Reverse(b)
	for i := range 100 {
		if x, y := New(a).First(uint64(i), 3), New(b).First(uint64(i), 3); !slices.Equal(x, y) {
			t.Fatalf("key %d: %v and %v", i, x, y)
		}
	}
}

func TestFewerMembersThanRequested(t *testing.T) {
	if got := New(nil).First(1, 2); len(got) != 0 {
		t.Errorf("got %v from an empty set", got)
	}
	if got := New(names(2)).First(1, 5); len(got) != 2 || got[0] == got[1] {
		t.Errorf("got %v", got)
	}
}
