package evacuation

import (
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

func names(e *pb.Evacuations) []string {
	var out []string
	for _, z := range e.GetZones() {
		out = append(out, z.GetZone())
	}
	return out
}

func set(t *testing.T, s *State, index uint64, zone string, evacuated bool) *pb.SetEvacuationResult {
	t.Helper()
	res, err := s.Set(Record{Index: index, Now: int64(index) * 10, Actor: "op"}, &pb.SetEvacuation{Zone: zone, Evacuated: evacuated})
	testutil.NoError(t, err)
	return res
}

// Guards against an order that is refused, or counted as new, when the operator sends it again after
// its acknowledgement was lost.
func TestRepeatedOrderIsAcknowledgedWithoutEffect(t *testing.T) {
	s := NewState()
	if res := set(t, s, 7, "a", false); res.GetChanged() {
		t.Error("the end of an evacuation that never began is a change")
	}
	first := set(t, s, 8, "a", true)
	again := set(t, s, 9, "a", true)
	if !first.GetChanged() || again.GetChanged() || again.GetEvacuations().GetRevision() != 8 {
		t.Errorf("first %v, again %v", first, again)
	}
	if z := again.GetEvacuations().GetZones(); len(z) != 1 || z[0].GetSinceMs() != 80 || z[0].GetActor() != "op" {
		t.Errorf("zones %v", z)
	}
	set(t, s, 10, "a", false)
	if res := set(t, s, 11, "a", false); res.GetChanged() || res.GetEvacuations().GetRevision() != 10 || len(res.GetEvacuations().GetZones()) != 0 {
		t.Errorf("second end: %v", res)
	}
}

// Guards against an order that undoes a later one because it was delayed on its way.
func TestOrderForAnotherRevisionChangesNothing(t *testing.T) {
	s := NewState()
	set(t, s, 7, "a", true)
	order := func(index, ifRevision uint64, evacuated bool) *pb.SetEvacuationResult {
		t.Helper()
		res, err := s.Set(Record{Index: index}, &pb.SetEvacuation{Zone: "a", Evacuated: evacuated, IfRevision: &ifRevision})
		testutil.NoError(t, err)
		return res
	}
	if res := order(8, 7, false); !res.GetChanged() || res.GetOutdated() {
		t.Errorf("for the present revision: %v", res)
	}
	set(t, s, 9, "a", true)
	if res := order(10, 7, false); res.GetChanged() || !res.GetOutdated() || res.GetEvacuations().GetRevision() != 9 {
		t.Errorf("for a former revision: %v", res)
	}
	if res := order(11, 7, true); res.GetChanged() || res.GetOutdated() {
		t.Errorf("for a former revision, but already in force: %v", res)
	}
}

func TestInvalidZonesAreRefused(t *testing.T) {
	s := NewState()
	for _, zone := range []string{"", "a\nb", "\xff", strings.Repeat("z", maxZoneBytes+1)} {
		_, err := s.Set(Record{Index: 1}, &pb.SetEvacuation{Zone: zone, Evacuated: true})
		testutil.Refused(t, err, errkind.BadRequest, "zone "+zone)
	}
	for i := range uint64(maxZones) {
		set(t, s, i+1, strings.Repeat("z", int(i)+1), true)
	}
	_, err := s.Set(Record{Index: 100}, &pb.SetEvacuation{Zone: "one more", Evacuated: true})
	testutil.Refused(t, err, errkind.BadRequest, "more than the maximum")
}

// Checks against a set of names that each order changes only its zone, that the revision is the index of
// the last change, that earlier results stay as they were, and that a snapshot restores the state.
func TestSetAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, want, revision := NewState(), map[string]bool{}, uint64(0)
		var before *pb.Evacuations
		var beforeNames []string
		for index := range rapid.Uint64Range(1, 30).Draw(t, "orders") {
			zone := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "zone")
			evacuated := rapid.Bool().Draw(t, "evacuated")
			order := &pb.SetEvacuation{Zone: zone, Evacuated: evacuated}
			if rapid.Bool().Draw(t, "names a revision") {
				named := rapid.Uint64Range(0, 30).Draw(t, "revision")
				order.IfRevision = &named
			}
			outdated := want[zone] != evacuated && order.IfRevision != nil && *order.IfRevision != revision
			if want[zone] != evacuated && !outdated {
				revision, want[zone] = index+1, evacuated
			}
			res, err := s.Set(Record{Index: index + 1}, order)
			if err != nil {
				t.Fatal(err)
			}
			var expect []string
			for _, z := range []string{"a", "b", "c", "d"} {
				if want[z] {
					expect = append(expect, z)
				}
			}
			got := res.GetEvacuations()
			if !slices.Equal(names(got), expect) || got.GetRevision() != revision || res.GetChanged() != (revision == index+1) || res.GetOutdated() != outdated {
				t.Fatalf("got %v, want %v at revision %d", res, expect, revision)
			}
			if before != nil && !slices.Equal(names(before), beforeNames) {
				t.Fatal("an earlier result has changed")
			}
			before, beforeNames = got, names(got)
			restored := NewState()
			restored.Restore(s.Image())
			if !proto.Equal(restored.Current(), s.Current()) {
				t.Fatalf("restored %v, want %v", restored.Current(), s.Current())
			}
		}
	})
}
