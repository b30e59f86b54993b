package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// busyDivisor of a pool's servers may have an order in flight at once, at least one: a
// server that loads weights serves less.
const busyDivisor = 4

// versionSeparator stands between a model's name and its version.
const versionSeparator = "@"

// view is the fleet at one Step: announced servers and orders in flight.
type view struct {
	in      Input
	planner *Planner
	// have is the number of servers that meet each rule and aren't leaving.
	have map[settings.PlacementRule]int
	// stable is have without the servers that may cease to meet the rule by an order in flight.
	stable map[settings.PlacementRule]int
	// serving is the number of servers that serve a model, in any version, aren't
	// leaving and have no order in flight.
	serving map[string]int
}

func newView(in Input, p *Planner) *view {
	v := &view{
		in: in, planner: p,
		have:    make(map[settings.PlacementRule]int),
		stable:    make(map[settings.PlacementRule]int),
		serving: make(map[string]int),
	}
	for _, s := range in.Servers {
		if s.GetLeaving() {
			continue
		}
		for _, rule := range in.Rules {
			if matches(s, rule) {
				v.have[rule]++
				v.stable[rule]++
			}
		}
		v.addServing(s, 1)
		if f := p.pending[s.GetAddress()]; f != nil {
			v.subtract(s, f.order)
		}
	}
	return v
}

// subtract counts s without what the order may cost it.
func (v *view) subtract(s *pb.ServerState, order Order) {
	v.addServing(s, -1)
	after := v.worstCase(s, order)
	for _, rule := range v.in.Rules {
		if matches(s, rule) && !matches(after, rule) {
			v.stable[rule]--
		}
	}
}

func (v *view) addServing(s *pb.ServerState, n int) {
	for _, name := range modelNames(s) {
		v.serving[name] += n
	}
}

// modelNames are the names of the models that s serves, each once.
func modelNames(s *pb.ServerState) []string {
	var names []string
	for _, m := range s.GetModels() {
		if name := modelName(m); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// modelName is a model's name without its version.
func modelName(model string) string {
	name, _, _ := strings.Cut(model, versionSeparator)
	return name
}

func matches(s *pb.ServerState, rule settings.PlacementRule) bool {
	return s.GetPool() == rule.Pool &&
		slices.Contains(s.GetModels(), rule.Model) &&
		(rule.Adapter == "" || slices.Contains(s.GetAdapters(), rule.Adapter)) &&
		(rule.Role == "" || s.GetRole() == rule.Role)
}

func (v *view) hasPending(s *pb.ServerState) bool { return v.planner.pending[s.GetAddress()] != nil }

// available tells whether s may get an order now.
func (v *view) available(s *pb.ServerState) bool {
	if s.GetLeaving() || v.hasPending(s) {
		return false
	}
	if _, rests := v.planner.retryAfter[s.GetAddress()]; rests {
		return false
	}
	led := v.in.Now.Sub(v.in.Leadership.Since)
	return s.GetChecksFence() || led >= v.planner.cfg.handoverWait()
}

// choose picks the server that is nearest to meeting the rule and the order that
// brings it nearer; reason: why there is none.
func (v *view) choose(rule settings.PlacementRule) (Order, string) {
	if v.poolBusy(rule.Pool) {
		return Order{}, "enough servers of the pool have an order in flight"
	}
	var best *pb.ServerState
	reason := "no server of the pool is free"
	for _, s := range v.in.Servers {
		if s.GetPool() != rule.Pool || matches(s, rule) || !v.available(s) {
			continue
		}
		if why := v.harm(s, nextOrder(s, rule)); why != "" {
			reason = why
			continue
		}
		if best == nil || compareDistance(s, best, rule) < 0 {
			best = s
		}
	}
	if best == nil {
		return Order{}, reason
	}
	return nextOrder(best, rule), ""
}

func (v *view) poolBusy(pool string) bool {
	size, busy := 0, 0
	for _, s := range v.in.Servers {
		if s.GetPool() != pool {
			continue
		}
		size++
		if v.hasPending(s) {
			busy++
		}
	}
	return busy >= max(1, size/busyDivisor)
}

// nextOrder is the first thing that s lacks.
func nextOrder(s *pb.ServerState, rule settings.PlacementRule) Order {
	order := Order{Server: s.GetAddress(), Model: rule.Model}
	switch {
	case !slices.Contains(s.GetModels(), rule.Model):
		order.Verb = LoadModel
		order.Bytes = rule.Bytes
	case rule.Adapter != "" && !slices.Contains(s.GetAdapters(), rule.Adapter):
		order.Verb = LoadAdapter
		order.Adapter = rule.Adapter
	default:
		order.Verb = ChangeRole
		order.Role = rule.Role
	}
	return order
}

// compareDistance orders servers by how near they are to meeting the rule: the model
// there already, then another version of it, then the fewest other models.
func compareDistance(a, b *pb.ServerState, rule settings.PlacementRule) int {
	return cmp.Or(
		cmp.Compare(distance(a, rule), distance(b, rule)),
		cmp.Compare(len(a.GetModels()), len(b.GetModels())),
		strings.Compare(a.GetAddress(), b.GetAddress()),
	)
}

func distance(s *pb.ServerState, rule settings.PlacementRule) int {
	switch {
	case slices.Contains(s.GetModels(), rule.Model):
		return 0
	case servesModel(s, modelName(rule.Model)):
		return 1
	default:
		return 2
	}
}

func servesModel(s *pb.ServerState, name string) bool {
	return slices.ContainsFunc(s.GetModels(), func(m string) bool { return modelName(m) == name })
}

// harm says what would be lost by an order, at the worst; empty: nothing that counts.
//
// What goes wrong otherwise: an engine makes room for a model by dropping another,
// and the last server of that one is gone; or two rules take servers from each other
// for ever. So a loading server counts as having nothing else.
func (v *view) harm(s *pb.ServerState, order Order) string {
	after := v.worstCase(s, order)
	for _, m := range s.GetModels() {
		if slices.Contains(after.GetModels(), m) || v.servedElsewhere(s, m) {
			continue
		}
		if order.Verb == UnloadModel && servesModel(after, modelName(m)) {
			continue // the wanted version serves beside it already
		}
		return "it would empty the last server of model " + m
	}
	for _, other := range v.in.Rules {
		if matches(s, other) && !matches(after, other) && v.stable[other] <= other.Servers {
			return "another rule needs the server: " + other.Pool + " " + other.Model
		}
	}
	return ""
}

// worstCase is s as the order may leave it, in the worst case.
func (v *view) worstCase(s *pb.ServerState, order Order) *pb.ServerState {
	after := &pb.ServerState{
		Address: s.GetAddress(), Pool: s.GetPool(), Role: s.GetRole(),
		Models: slices.Clone(s.GetModels()), Adapters: slices.Clone(s.GetAdapters()),
	}
	switch order.Verb {
	case LoadModel:
		after.Models = []string{order.Model}
		after.Adapters = nil
	case UnloadModel:
		after.Models = slices.DeleteFunc(after.Models, func(m string) bool { return m == order.Model })
	case LoadAdapter:
		after.Adapters = append(after.Adapters, order.Adapter)
	case ChangeRole:
		after.Role = order.Role
	}
	return after
}

// servedElsewhere tells whether a server other than s, which is free, serves the model
// in any version.
func (v *view) servedElsewhere(s *pb.ServerState, model string) bool {
	others := v.serving[modelName(model)]
	if servesModel(s, modelName(model)) {
		others--
	}
	return others > 0
}

// unloadOrders are orders to unload versions that no rule wants, from servers where
// a wanted version of the same model stands beside them.
func (v *view) unloadOrders() []Order {
	var orders []Order
	for _, s := range v.in.Servers {
		if v.poolBusy(s.GetPool()) || !v.available(s) {
			continue
		}
		if model := v.obsoleteVersion(s); model != "" {
			orders = append(orders, Order{Server: s.GetAddress(), Verb: UnloadModel, Model: model})
			return orders // one per step: the next sees it in flight
		}
	}
	return orders
}

func (v *view) obsoleteVersion(s *pb.ServerState) string {
	for _, m := range s.GetModels() {
		if v.wanted(s.GetPool(), m) || !v.replaced(s, m) {
			continue
		}
		if v.harm(s, Order{Server: s.GetAddress(), Verb: UnloadModel, Model: m}) == "" {
			return m
		}
	}
	return ""
}

func (v *view) wanted(pool, model string) bool {
	return slices.ContainsFunc(v.in.Rules, func(r settings.PlacementRule) bool {
		return r.Pool == pool && r.Model == model
	})
}

// replaced tells whether s serves a wanted version of the same model, and that
// version's rule is met.
func (v *view) replaced(s *pb.ServerState, former string) bool {
	return slices.ContainsFunc(v.in.Rules, func(r settings.PlacementRule) bool {
		return modelName(r.Model) == modelName(former) && r.Model != former && matches(s, r) && v.have[r] >= r.Servers
	})
}
