package placement

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// TestMain fixes the seed, so that every run checks the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

var testStart = time.Unix(1_800_000_000, 0)

// testFleet is a planner that leads, and servers that execute its orders.
type testFleet struct {
	planner *Planner
	in      Input
	// evicts is true if a server unloads its other models when it loads one.
	evicts   bool
	executed []Order
}

func newWorld(rules []settings.PlacementRule, servers ...*pb.ServerState) *testFleet {
	return &testFleet{
		planner: NewPlanner(Config{}),
		in: Input{
			Now: testStart, Rules: rules, Servers: servers,
			Leadership: Leadership{Term: 1, Since: testStart, OK: true},
		},
	}
}

func testServer(i int, models ...string) *pb.ServerState {
	return &pb.ServerState{Address: fmt.Sprintf("10.1.0.%d:8000", i), Pool: "llm", Models: models, ChecksFence: true}
}

// step advances the time by a second and returns the orders of the planner.
func (w *testFleet) step() []Order {
	w.in.Now = w.in.Now.Add(time.Second)
	return w.planner.Step(w.in)
}

func (w *testFleet) execute(orders []Order) {
	for _, o := range orders {
		w.planner.RecordResult(w.in.Now, o, Accepted)
		w.executed = append(w.executed, o)
		w.apply(find(w.in.Servers, o.Server), o)
	}
}

func (w *testFleet) apply(s *pb.ServerState, o Order) {
	switch o.Verb {
	case LoadModel:
		if w.evicts {
			s.Models, s.Adapters = nil, nil
		}
		s.Models = append(s.Models, o.Model)
	case UnloadModel:
		s.Models = slices.DeleteFunc(s.Models, func(m string) bool { return m == o.Model })
	case LoadAdapter:
		s.Adapters = append(s.Adapters, o.Adapter)
	case ChangeRole:
		s.Role = o.Role
	}
}

func (w *testFleet) run(seconds int) {
	for range seconds {
		w.execute(w.step())
	}
}

func TestOrdersFulfillRules(t *testing.T) {
	rules := []settings.PlacementRule{
		{Pool: "llm", Model: "ledger@v2", Servers: 4},
		{Pool: "llm", Model: "ledger@v2", Adapter: "audit", Role: "decode", Servers: 2},
	}
	for _, evicts := range []bool{false, true} {
		servers := []*pb.ServerState{testServer(1, "ledger@v1"), testServer(2, "ledger@v1"), testServer(3, "ledger@v1"), testServer(4, "ledger@v1")}
		w := newWorld(rules, servers...)
		w.evicts = evicts
		w.run(60)
		full := 0
		for _, s := range servers {
			if len(s.Models) != 1 || s.Models[0] != "ledger@v2" {
				t.Errorf("evicts %v: %s serves %v", evicts, s.Address, s.Models)
			}
			if matches(s, rules[1]) {
				full++
			}
		}
		if full != 2 || len(w.planner.Blocked()) != 0 {
			t.Errorf("evicts %v: %d servers with adapter and role; blocked: %v", evicts, full, w.planner.Blocked())
		}
		n := len(w.executed)
		w.run(60)
		if len(w.executed) != n {
			t.Errorf("evicts %v: orders although all rules are met: %v", evicts, w.executed[n:])
		}
	}
}

// TestLastServerOfAModelIsNotTaken has a rule that requires another model, and engines that
// unload their models when they load one. The only server of a model must not be used for the
// other model, or callers have no server for a model that they use.
func TestLastServerOfAModelIsNotTaken(t *testing.T) {
	rules := []settings.PlacementRule{{Pool: "llm", Model: "codes", Servers: 2}}
	w := newWorld(rules, testServer(1, "ledger"), testServer(2), testServer(3, "other"))
	w.evicts = true
	w.in.Servers[2].Leaving = true
	w.run(30)
	if len(w.executed) != 1 || w.executed[0].Server != "10.1.0.2:8000" {
		t.Fatalf("orders: %v", w.executed)
	}
	blocked := w.planner.Blocked()
	if len(blocked) != 1 || blocked[0].Have != 1 || !strings.Contains(blocked[0].Reason, "last server of model ledger") {
		t.Errorf("blocked: %+v", blocked)
	}
}

// TestNewLeaderWaitsForServersIgnoringFences has a new leader begin right after the previous
// one. Unless it waits until any order in flight must have ended, a server that ignores fencing
// numbers may execute the orders of two leaders.
func TestNewLeaderWaitsForServersIgnoringFences(t *testing.T) {
	rules := []settings.PlacementRule{{Pool: "llm", Model: "codes", Servers: 8}}
	w := newWorld(rules)
	for i := range 8 {
		s := testServer(i)
		s.ChecksFence = i >= 4
		w.in.Servers = append(w.in.Servers, s)
	}
	for range int(DefaultWarmUp/time.Second) - 1 {
		w.execute(w.step())
	}
	if len(w.executed) != 0 {
		t.Errorf("%d orders before the end of the warm-up", len(w.executed))
	}
	for w.in.Now.Sub(testStart) < DefaultLease+DefaultClockDrift+DefaultOrderTimeout-time.Second {
		w.execute(w.step())
	}
	if len(w.executed) != 4 {
		t.Errorf("%d orders within the wait, want 4", len(w.executed))
	}
	for _, o := range w.executed {
		if !find(w.in.Servers, o.Server).ChecksFence {
			t.Errorf("%s was ordered %v after the term began", o.Server, w.in.Now.Sub(testStart))
		}
	}
	w.run(20)
	if len(w.executed) != 8 {
		t.Errorf("%d orders after the wait, want 8", len(w.executed))
	}
}

// TestServerWithAnUnansweredOrderGetsNoOther has an order get no answer. If the server counted
// as available and got another order at once, it could execute the old order after the newer
// one.
func TestServerWithAnUnansweredOrderGetsNoOther(t *testing.T) {
	rules := []settings.PlacementRule{{Pool: "llm", Model: "codes", Servers: 1}}
	w := newWorld(rules, testServer(1))
	w.planner = NewPlanner(Config{RetryDelay: time.Second})
	w.planner.RecordResult(w.in.Now, w.firstOrder(t), Unknown)
	for range int(DefaultOrderTimeout / time.Second) {
		if again := w.step(); len(again) != 0 {
			t.Fatalf("ordered again after %v: %v", w.in.Now.Sub(testStart), again)
		}
	}
	w.run(4)
	if len(w.executed) != 1 {
		t.Errorf("not retried exactly once after the timeout: %v", w.executed)
	}
}

// TestResultOfFormerTermIsIgnored has a leader be replaced and elected again before an order of
// its first term ends. If that result were taken for the result of the current order to the same
// server, the server would get an order while another one is in flight.
func TestResultOfFormerTermIsIgnored(t *testing.T) {
	rules := []settings.PlacementRule{{Pool: "llm", Model: "codes", Servers: 1}}
	w := newWorld(rules, testServer(1))
	w.planner = NewPlanner(Config{RetryDelay: time.Second})
	first := w.firstOrder(t)
	w.in.Leadership = Leadership{Term: 3, Since: w.in.Now, OK: true}
	w.firstOrder(t)
	w.planner.RecordResult(w.in.Now, first, Refused)
	for range 4 {
		if again := w.step(); len(again) != 0 {
			t.Fatalf("ordered again: %v", again)
		}
	}
}

// firstOrder steps until the planner returns an order, and returns it.
func (w *testFleet) firstOrder(t *testing.T) Order {
	t.Helper()
	for range 60 {
		if orders := w.step(); len(orders) > 0 {
			return orders[0]
		}
	}
	t.Fatal("no order")
	return Order{}
}

// TestOrdersOfOneStepAreCoordinated checks that each order of a step takes the others into
// account. Otherwise a change of settings makes a whole pool load at once, or both of the last
// servers of a model are used for another model in the same second.
func TestOrdersOfOneStepAreCoordinated(t *testing.T) {
	w := newWorld([]settings.PlacementRule{{Pool: "llm", Model: "codes", Servers: 16}})
	for i := range 16 {
		w.in.Servers = append(w.in.Servers, testServer(i))
	}
	w.firstOrder(t)
	if n := len(w.planner.pending); n != 16/busyDivisor {
		t.Errorf("%d of 16 servers load at once", n)
	}
	w.in.Rules = []settings.PlacementRule{{Pool: "llm", Model: "ledger", Servers: 14}, {Pool: "llm", Model: "codes", Servers: 16}}
	for _, s := range w.in.Servers {
		s.Models = []string{"ledger"}
	}
	w.planner = NewPlanner(Config{})
	w.firstOrder(t)
	w.step()
	if n := len(w.planner.pending); n != 2 {
		t.Errorf("%d servers taken from a rule that can spare 2", n)
	}
	w.in.Rules = w.in.Rules[1:]
	for i, s := range w.in.Servers {
		s.Models = []string{"ledger"}
		s.Leaving = i >= 2
	}
	w.planner = NewPlanner(Config{})
	w.firstOrder(t)
	if n := len(w.planner.pending); n != 1 {
		t.Errorf("%d of the last 2 servers of a model taken at once", n)
	}
}

// TestUnsatisfiableRulesDoNotAlternate has rules that require more servers than there are, and
// engines that unload their models when they load one. If one rule were met at the expense of
// the other, the two would take servers from each other forever.
func TestUnsatisfiableRulesDoNotAlternate(t *testing.T) {
	w := newWorld([]settings.PlacementRule{{Pool: "llm", Model: "a", Servers: 3}, {Pool: "llm", Model: "b", Servers: 3}},
		testServer(1, "a"), testServer(2, "a"), testServer(3, "a"), testServer(4, "a"))
	w.evicts = true
	w.run(200)
	if len(w.executed) != 1 || len(w.planner.Blocked()) != 1 {
		t.Errorf("orders %v, blocked %v", w.executed, w.planner.Blocked())
	}
}

// TestRateLimitHoldsAcrossLeaders has leaders alternate at random, each with models to load. If
// a leader began with a full bucket, or the bytes were taken after the order, the weight store's
// rate limit would be exceeded when leaders change often.
func TestRateLimitHoldsAcrossLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, size = 100, 1000
		var servers []*pb.ServerState
		for i := range 40 {
			servers = append(servers, testServer(i))
		}
		leaders := []*testFleet{newWorld(nil, servers...), newWorld(nil, servers...)}
		now, term := testStart, uint64(0)
		type paid struct {
			at    time.Time
			bytes int64
		}
		var history []paid
		for range rapid.IntRange(2, 5).Draw(t, "changes") {
			term++
			leader := leaders[rapid.IntRange(0, 1).Draw(t, "leader")]
			leader.in.StoreRate = rate
			leader.in.Leadership = Leadership{Term: term, Since: now, OK: true}
			leader.in.Now = now
			idle := rapid.IntRange(0, 40).Draw(t, "idle seconds")
			for second := range idle + rapid.IntRange(1, 40).Draw(t, "busy seconds") {
				leader.in.Rules = []settings.PlacementRule{{Pool: "llm", Model: "codes", Servers: 40, Bytes: size}}
				if second < idle {
					leader.in.Rules[0].Servers = 0
				}
				orders := leader.step()
				leader.execute(orders)
				for _, o := range orders {
					history = append(history, paid{leader.in.Now, o.Bytes})
				}
			}
			now = leader.in.Now
		}
		for i := range history {
			var sum int64
			for _, p := range history[i:] {
				sum += p.bytes
				if limit := size + int64(p.at.Sub(history[i].at).Seconds()*rate); sum > limit {
					t.Fatalf("%d bytes in %v, the limit allows %d", sum, p.at.Sub(history[i].at), limit)
				}
			}
		}
	})
}

// TestServedModelsStayServed checks, for random rules, failures and engines, that a model that
// was served stays served by a server that isn't loading, that no server has two orders, and
// that the orders come to an end.
func TestServedModelsStayServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a@1", "a@2", "b", "c"}
		var rules []settings.PlacementRule
		for _, m := range rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "wanted") {
			rules = append(rules, settings.PlacementRule{Pool: "llm", Model: m, Servers: rapid.IntRange(0, 5).Draw(t, "servers")})
		}
		w := newWorld(rules)
		w.evicts = rapid.Bool().Draw(t, "evicts")
		for i := range rapid.IntRange(1, 9).Draw(t, "n") {
			w.in.Servers = append(w.in.Servers, testServer(i, rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 2, rapid.ID[string]).Draw(t, "models")...))
		}
		served := servedModels(w, nil)
		for range 150 {
			orders := w.step()
			loading := make(map[string]bool)
			for _, o := range orders {
				if loading[o.Server] {
					t.Fatalf("two orders to %s", o.Server)
				}
				loading[o.Server] = o.Verb == LoadModel
			}
			for _, name := range served {
				if !slices.Contains(servedModels(w, loading), name) {
					t.Fatalf("no server serves %s during the orders %v", name, orders)
				}
			}
			if len(orders) > 0 && rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
				for _, o := range orders {
					w.planner.RecordResult(w.in.Now, o, Result(rapid.IntRange(int(NotSent), int(Unknown)).Draw(t, "how")))
				}
				continue
			}
			w.execute(orders)
		}
		n := len(w.executed)
		w.run(100)
		if len(w.executed) != n {
			t.Fatalf("orders don't come to an end: %v", w.executed[n:])
		}
	})
}

func servedModels(w *testFleet, loading map[string]bool) []string {
	var names []string
	for _, s := range w.in.Servers {
		if !loading[s.Address] {
			names = append(names, modelNames(s)...)
		}
	}
	return names
}

func TestNoOrderWithoutLease(t *testing.T) {
	w := newWorld([]settings.PlacementRule{{Pool: "llm", Model: "codes", Servers: 1}}, testServer(1))
	w.in.Leadership.OK = false
	w.run(60)
	if len(w.executed) != 0 {
		t.Errorf("orders without a lease: %v", w.executed)
	}
}
