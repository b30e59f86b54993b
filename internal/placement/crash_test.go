package placement

import (
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// crashingModel crashes each server that loads it.
const crashingModel = "broken@v1"

// executeWithCrashes has the servers execute orders, and those that load crashingModel restart.
// It returns the number of restarts.
func (w *testFleet) executeWithCrashes(orders []Order) int {
	crashed := 0
	for _, o := range orders {
		w.planner.RecordResult(w.in.Now, o, Accepted)
		s := find(w.in.Servers, o.Server)
		if o.Model != crashingModel {
			w.apply(s, o)
			continue
		}
		crashed++
		s.Incarnation++
	}
	return crashed
}

// TestOrderThatCrashesServersIsHeldBack guards against a model that crashes each engine that
// loads it, and is loaded on one after the other until the pool serves nothing.
func TestOrderThatCrashesServersIsHeldBack(t *testing.T) {
	var servers []*pb.ServerState
	for i := range 16 {
		servers = append(servers, testServer(i, "ledger@v1"))
	}
	w := newWorld([]settings.PlacementRule{
		{Pool: "llm", Model: crashingModel, Servers: 2}, {Pool: "llm", Model: "summary@v1", Servers: 4},
	}, servers...)
	crashed := 0
	const hour = 3600
	for range hour {
		crashed += w.executeWithCrashes(w.step())
	}
	// Two orders are in flight at a time. Once held back, an order is retried after 1, 2, 4, 8, 16
	// and 32 minutes.
	if limit := maxCrashes + 1 + 2*6; crashed > limit {
		t.Errorf("%d servers crashed within an hour, want %d at most", crashed, limit)
	}
	if w.planner.Blocked() == nil {
		t.Error("Blocked gives no reason why the rule isn't met")
	}
	if met := w.countMatching(1); met < 4 {
		t.Errorf("%d servers meet the other rule", met)
	}
}

// countMatching counts the servers that meet a rule.
func (w *testFleet) countMatching(rule int) int {
	met := 0
	for _, s := range w.in.Servers {
		if matches(s, w.in.Rules[rule]) {
			met++
		}
	}
	return met
}

// TestSuccessfulOrderIsNotHeldBack guards against a model that is held back for the rest of the
// term because servers crashed for another reason while they loaded it.
func TestSuccessfulOrderIsNotHeldBack(t *testing.T) {
	var servers []*pb.ServerState
	for i := range 8 {
		servers = append(servers, testServer(i, "ledger@v1"))
	}
	w := newWorld([]settings.PlacementRule{{Pool: "llm", Model: crashingModel, Servers: 2}}, servers...)
	for crashed := 0; crashed < maxCrashes; {
		crashed += w.executeWithCrashes(w.step())
	}
	w.run(4 * int(minHold.Seconds()))
	if met := w.countMatching(0); met < 2 {
		t.Errorf("%d servers meet the rule: %+v", met, w.planner.Blocked())
	}
}
