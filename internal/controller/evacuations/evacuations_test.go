package evacuations

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

func set(revision uint64, zones ...string) *pb.Evacuations {
	out := &pb.Evacuations{Revision: revision}
	for _, z := range zones {
		out.Zones = append(out.Zones, &pb.Evacuation{Zone: z})
	}
	return out
}

// Guards against a host that uses an evacuated zone again because an older set reaches it late, as from
// a host that was cut off.
func TestOlderSetChangesNothing(t *testing.T) {
	var log bytes.Buffer
	var applied []map[string]bool
	v := New(zerolog.New(&log))
	v.OnChange(func(z map[string]bool) { applied = append(applied, z) })
	if v.Merge(nil, "old build") || v.Merge(set(0), "peer") {
		t.Error("a set without a revision is a change")
	}
	if !v.Merge(set(5, "a", "b"), "peer") || v.Merge(set(4), "peer") || v.Merge(set(5, "c"), "peer") {
		t.Error("an older set, or another under the same revision, is a change")
	}
	if !v.Merge(set(9, "b", "c"), "control") {
		t.Error("a newer set is ignored")
	}
	want := []map[string]bool{{}, {"a": true, "b": true}, {"b": true, "c": true}}
	if !slices.EqualFunc(applied, want, maps.Equal) {
		t.Errorf("applied %v", applied)
	}
	v.OnChange(func(z map[string]bool) { applied = append(applied, z) })
	if len(applied) != 4 || !maps.Equal(applied[3], want[2]) {
		t.Errorf("a part that starts later got %v", applied[3:])
	}
	for line, n := range map[string]int{`"zone":"a","evacuated":true`: 1, `"zone":"b","evacuated":true`: 1, `"zone":"a","evacuated":false`: 1, `"zone":"c","evacuated":true`: 1} {
		if got := strings.Count(log.String(), line); got != n {
			t.Errorf("%d log lines with %s, want %d", got, line, n)
		}
	}
	if v.metrics.revision.Value() != 9 || v.metrics.zones.Value() != 2 || v.metrics.changes.Value() != 2 {
		t.Errorf("metrics %v", v.Metrics())
	}
}
