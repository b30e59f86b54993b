package ratelimit

import (
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

var server = instance.Incarnation{ID: "s", Started: 1}

// epoch is the start time of the tests.
var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func TestNewestObservationCounts(t *testing.T) {
	for _, c := range []struct {
		name     string
		observed []Observation
		want     float64
	}{
		{"advertised", []Observation{{2, at(1)}}, 2},
		{"lowered", []Observation{{2, at(1)}, {0.5, at(2)}}, 0.5},
		{"lifted", []Observation{{2, at(1)}, {None, at(2)}}, None},
		{"an older answer lifts nothing", []Observation{{2, at(2)}, {None, at(1)}}, 2},
		{"arrives late", []Observation{{3, at(2)}, {2, at(1)}}, 3},
		{"advertised again", []Observation{{2, at(1)}, {None, at(2)}, {4, at(3)}}, 4},
		{"limit of zero", []Observation{{0, at(1)}}, 0},
		{"above MaxLimit", []Observation{{MaxLimit * 2, at(1)}}, None},
		{"no observation", []Observation{{2, at(1)}, {}}, 2},
	} {
		table := NewTable(nil)
		for _, o := range c.observed {
			table.Observe(server, o)
		}
		if o := table.Observed(server); o.Limited() != (c.want >= 0) || o.Limited() && o.Limit != c.want {
			t.Errorf("%s: got %v", c.name, o)
		}
	}
}

// Guards against a limit that outlives the server's incarnation that advertised it.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	table := NewTable(nil)
	table.Observe(server, Observation{1, at(1)})
	if table.Observed(instance.Incarnation{ID: server.ID, Started: 2}).Limited() {
		t.Error("the next incarnation under the same id is limited")
	}
}
