package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// busyDivisor limits the servers of a pool that have a pending order to 1/busyDivisor of the
// pool, but at least one server: a server that loads weights serves fewer requests.
const busyDivisor = 4

// versionSeparator separates a model's name from its version.
const versionSeparator = "@"

// view is the state of the fleet at one Step: the announced servers and the pending orders.
type view struct {
	in      Input
	planner *Planner
	// have is the number of servers that meet each rule and aren't leaving.
	have map[settings.PlacementRule]int
	// stable is like have, but without the servers that may no longer meet the rule after a
	// pending order.
	stable map[settings.PlacementRule]int
	// serving is the number of servers, by model, that serve the model in any version, aren't
	// leaving and have no pending order.
	serving map[string]int
}

func newView(in Input, p *Planner) *view {
	v := &view{
		in: in, planner: p,
		have:    make(map[settings.PlacementRule]int),
		stable:  make(map[settings.PlacementRule]int),
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
		if pending := p.pending[s.GetAddress()]; pending != nil {
			v.subtract(s, pending.order)
		}
	}
	return v
}

// subtract removes s from the counts of the models and rules that it may no longer serve and
// meet because of the order.
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

// modelNames returns the names of the models that s serves, without versions and duplicates.
func modelNames(s *pb.ServerState) []string {
	var names []string
	for _, m := range s.GetModels() {
		if name := modelName(m); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// modelName returns a model's name without its version.
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

// available reports whether s may get an order now.
func (v *view) available(s *pb.ServerState) bool {
	if s.GetLeaving() || v.hasPending(s) {
		return false
	}
	if _, delayed := v.planner.retryAfter[s.GetAddress()]; delayed {
		return false
	}
	led := v.in.Now.Sub(v.in.Leadership.Since)
	return s.GetChecksFence() || led >= v.planner.cfg.handoverWait()
}

// choose returns the next order for the server that is closest to meeting the rule, of those that
// are available and whose order would do no harm, or the reason why there is none.
func (v *view) choose(rule settings.PlacementRule) (Order, string) {
	if v.poolBusy(rule.Pool) {
		return Order{}, "the maximum number of servers of the pool already have an order in flight"
	}
	var best *pb.ServerState
	reason := "no server of the pool is available"
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

// nextOrder returns the order for the first requirement of the rule that s does not meet.
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

// compareDistance compares how near two servers are to meeting the rule: first those that have
// the model, then those with another version of it, then those with the fewest models.
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

// harm returns the harm that an order would do in the worst case, or the empty string if it
// would do none.
//
// An engine may unload its models to load another one. If it was the last server of one of them,
// no server would serve that model any more, and two rules could take servers from each other
// forever. So a server that loads a model counts as having no other model.
func (v *view) harm(s *pb.ServerState, order Order) string {
	after := v.worstCase(s, order)
	for _, m := range s.GetModels() {
		if slices.Contains(after.GetModels(), m) || v.servedElsewhere(s, m) {
			continue
		}
		if order.Verb == UnloadModel && servesModel(after, modelName(m)) {
			continue // the server also serves the required version
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

// worstCase returns the state of s after the order in the worst case.
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

// servedElsewhere reports whether a server other than s serves the model in any version; s has
// no pending order.
func (v *view) servedElsewhere(s *pb.ServerState, model string) bool {
	others := v.serving[modelName(model)]
	if servesModel(s, modelName(model)) {
		others--
	}
	return others > 0
}

// unloadOrders returns an order to unload a version that no rule requires, from a server that
// also serves a required version of the same model.
func (v *view) unloadOrders() []Order {
	var orders []Order
	for _, s := range v.in.Servers {
		if v.poolBusy(s.GetPool()) || !v.available(s) {
			continue
		}
		if model := v.obsoleteVersion(s); model != "" {
			orders = append(orders, Order{Server: s.GetAddress(), Verb: UnloadModel, Model: model})
			return orders // one per step; the next step takes it into account as pending
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

// replaced reports whether s serves a required version of the same model and that version's
// rule is met.
func (v *view) replaced(s *pb.ServerState, former string) bool {
	return slices.ContainsFunc(v.in.Rules, func(r settings.PlacementRule) bool {
		return modelName(r.Model) == modelName(former) && r.Model != former && matches(s, r) && v.have[r] >= r.Servers
	})
}
