// Package placement plans the orders to backend servers by which each model is loaded
// on as many servers as the settings require: load a model, a version or an adapter,
// unload a previous version, change a role. It is a pure state machine.
//
// Only the orders of one leader may take effect. A partitioned leader can't commit new
// orders, because the control group rejects those of an older term, but an order that
// it has committed may still be in flight when the next leader begins. A backend server
// that checks fencing numbers rejects it. Before the next leader gives orders to servers
// that don't, it waits until the previous lease has certainly ended and any order sent
// under it has timed out (Config.handoverWait).
package placement

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Verb is the action that a backend server is ordered to take.
type Verb string

// The verbs. A version is loaded as the model "name@version".
const (
	LoadModel   Verb = "load_model"
	UnloadModel Verb = "unload_model"
	LoadAdapter Verb = "load_adapter"
	ChangeRole  Verb = "change_role"
)

// Order is one order to one backend server.
type Order struct {
	// ID is unique among the orders of one Planner.
	ID uint64
	// Term is the term of the leader that planned the order.
	Term   uint64
	Server string
	Verb   Verb
	// Model is the model to load or unload, or the one for which the adapter is loaded.
	Model   string
	Adapter string
	Role    string
	// Bytes is the number of bytes to fetch from the weight store.
	Bytes int64
}

// Object returns the model or adapter of the order, for the log.
func (o Order) Object() string {
	if o.Verb == LoadAdapter {
		return o.Adapter
	}
	return o.Model
}

// Leadership states whether this process leads the control group with a valid lease.
type Leadership struct {
	Term uint64
	// Since is when the term began at this process, by its monotonic clock.
	Since time.Time
	// OK is true if this process leads with a valid lease.
	OK bool
}

// Allows reports whether an order may be sent now. It has to be checked again right
// before sending, because the lease may have ended while the order was being committed.
func (l Leadership) Allows(o Order) bool { return l.OK && l.Term == o.Term }

// Input is the input of a Step.
type Input struct {
	Now        time.Time
	Leadership Leadership
	Rules      []settings.PlacementRule
	// StoreRate is the weight store's rate limit for the whole fleet in bytes per second; 0
	// means no limit.
	StoreRate int64
	// Servers holds the announced servers, without those whose announcements have lapsed.
	Servers []*pb.ServerState
}

// Defaults of Config.
const (
	DefaultLease         = 2 * time.Second
	DefaultClockDrift    = 200 * time.Millisecond
	DefaultOrderTimeout  = 10 * time.Second
	DefaultWarmUp        = 5 * time.Second
	DefaultEffectTimeout = 10 * time.Minute
	DefaultRetryDelay    = 15 * time.Second
)

// Config configures a Planner. Zero fields are replaced by the defaults.
type Config struct {
	// Lease is the longest lease of a leader. ClockDrift is the maximum by which clocks may drift
	// apart in that time.
	Lease, ClockDrift time.Duration
	// OrderTimeout bounds the time from the last check of the lease to the end of an order.
	OrderTimeout time.Duration
	// WarmUp is how long a new leader collects announcements before it gives orders: with an
	// incomplete registry, models seem to be missing.
	WarmUp time.Duration
	// EffectTimeout is how long an accepted order may take to show in announcements.
	EffectTimeout time.Duration
	// RetryDelay is how long a server gets no orders after one has failed.
	RetryDelay time.Duration
}

func withDefaults(c Config) Config {
	defaults.Set(&c.Lease, DefaultLease)
	defaults.Set(&c.ClockDrift, DefaultClockDrift)
	defaults.Set(&c.OrderTimeout, DefaultOrderTimeout)
	defaults.Set(&c.WarmUp, DefaultWarmUp)
	defaults.Set(&c.EffectTimeout, DefaultEffectTimeout)
	defaults.Set(&c.RetryDelay, DefaultRetryDelay)
	return c
}

// handoverWait returns how long after the beginning of its term a leader gives no orders to
// servers that don't check fencing numbers.
func (c Config) handoverWait() time.Duration { return c.Lease + c.ClockDrift + c.OrderTimeout }

// Planner plans orders. It is not safe for concurrent use.
type Planner struct {
	cfg    Config
	lastID uint64

	term       uint64
	bucket     bucket
	pending    map[string]*pendingOrder // by server
	retryAfter map[string]time.Time
	crashes    map[orderGoal]crashHistory
	blocked    []Blocked
}

// Blocked is a rule that isn't met and for which no order is given, with the reason.
type Blocked struct {
	Rule   settings.PlacementRule
	Have   int
	Reason string
}

// NewPlanner returns a Planner, which gives no orders until it leads.
func NewPlanner(cfg Config) *Planner {
	p := &Planner{cfg: withDefaults(cfg)}
	p.reset(0, time.Time{})
	return p
}

// reset drops the state of the previous term. The bucket starts empty, however much the
// previous leader has ordered, so that the rate limit holds across a change of leaders.
func (p *Planner) reset(term uint64, since time.Time) {
	p.term = term
	p.bucket = bucket{at: since}
	p.pending = make(map[string]*pendingOrder)
	p.retryAfter = make(map[string]time.Time)
	p.crashes = make(map[orderGoal]crashHistory)
}

// Step returns the orders to commit and send now. RecordResult must be called once for
// each.
func (p *Planner) Step(in Input) []Order {
	p.blocked = nil
	if !in.Leadership.OK {
		return nil
	}
	if in.Leadership.Term != p.term {
		p.reset(in.Leadership.Term, in.Leadership.Since)
	}
	p.observe(in)
	p.bucket.refill(in.Now, in.StoreRate, largestModel(in.Rules))
	if in.Now.Sub(in.Leadership.Since) < p.cfg.WarmUp {
		return nil
	}
	return p.plan(in)
}

// Blocked returns the rules that weren't met in the last Step and the reasons.
func (p *Planner) Blocked() []Blocked { return p.blocked }

func largestModel(rules []settings.PlacementRule) int64 {
	var largest int64
	for _, r := range rules {
		largest = max(largest, r.Bytes)
	}
	return largest
}

func (p *Planner) plan(in Input) []Order {
	v := newView(in, p)
	var orders []Order
	for _, rule := range in.Rules {
		orders = append(orders, p.planRule(v, rule)...)
	}
	for _, order := range v.unloadOrders() {
		orders = append(orders, p.start(v, order))
	}
	return orders
}

func (p *Planner) planRule(v *view, rule settings.PlacementRule) []Order {
	var orders []Order
	have := v.have[rule]
	for missing := rule.Servers - have - p.pendingFor(rule); missing > 0; missing-- {
		order, reason := v.choose(rule)
		if reason == "" {
			reason = p.holdReason(v.in.Now, order)
		}
		if reason == "" && !p.bucket.canTake(order.Bytes, v.in.StoreRate) {
			reason = "waiting for the weight store's rate limit"
		}
		if reason != "" {
			p.blocked = append(p.blocked, Blocked{Rule: rule, Have: have, Reason: reason})
			return orders
		}
		p.bucket.take(order.Bytes, v.in.StoreRate)
		orders = append(orders, p.start(v, order))
		p.pending[order.Server].rule = rule
	}
	return orders
}

func (p *Planner) start(v *view, order Order) Order {
	p.lastID++
	order.ID = p.lastID
	order.Term = p.term
	s := find(v.in.Servers, order.Server)
	v.subtract(s, order)
	p.pending[order.Server] = &pendingOrder{order: order, incarnation: s.GetIncarnation(), until: v.in.Now.Add(p.cfg.OrderTimeout)}
	return order
}
