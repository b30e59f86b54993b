// Package placement decides which orders backend servers get, so that each model
// is on as many of them as the settings want: load a model, a version or an
// adapter, unload a former version, change a role. It is a pure state machine.
//
// Only one leader's orders may take effect. A leader that was cut off can't commit
// new orders, since the control group refuses those of an older term; but one that
// it has committed may still be on its way when the next leader begins. A backend
// server that checks fencing numbers refuses it. For one that doesn't, the next
// leader waits until the former one's lease has surely ended and its longest order
// is over (Config.wait).
package placement

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Verb is what an order tells a backend server to do.
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
	// ID tells the orders of one Planner apart.
	ID uint64
	// Term of the leader that decided it.
	Term   uint64
	Server string
	Verb   Verb
	// Model to load or unload, or beside which the adapter is loaded.
	Model   string
	Adapter string
	Role    string
	// Bytes to fetch from the weight store.
	Bytes int64
}

// Object is what the order is about, for the log.
func (o Order) Object() string {
	if o.Verb == LoadAdapter {
		return o.Adapter
	}
	return o.Model
}

// Leadership is whether this process leads the control group, under a valid lease.
type Leadership struct {
	Term uint64
	// Since is when the term began here, by this process's monotonic clock.
	Since time.Time
	OK    bool
}

// Allows tells whether an order may be sent now. It is asked again right before
// sending: the lease may have ended while the order was being committed.
func (l Leadership) Allows(o Order) bool { return l.OK && l.Term == o.Term }

// Input of a Step.
type Input struct {
	Now        time.Time
	Leadership Leadership
	Rules      []settings.PlacementRule
	// StoreRate is the weight store's limit for the whole fleet in bytes per second; 0: none.
	StoreRate int64
	// Servers as announced, without those whose announcements have lapsed.
	Servers []*pb.ServerState
}

// Defaults of Config.
const (
	DefaultLease         = 2 * time.Second
	DefaultClockDrift         = 200 * time.Millisecond
	DefaultOrderTimeout  = 10 * time.Second
	DefaultWarmUp    = 5 * time.Second
	DefaultEffectTimeout = 10 * time.Minute
	DefaultRetryDelay          = 15 * time.Second
)

// Config of a Planner. Zero fields get the defaults.
type Config struct {
	// Lease is the longest lease of a leader, ClockDrift by how much clocks may differ over it.
	Lease, ClockDrift time.Duration
	// OrderTimeout bounds the time from the last look at the lease to the end of an order.
	OrderTimeout time.Duration
	// WarmUp is how long a new leader gathers announcements before it orders
	// anything: to a half-filled registry, models seem to be missing.
	WarmUp time.Duration
	// EffectTimeout is how long an accepted order may take to show in announcements.
	EffectTimeout time.Duration
	// RetryDelay is how long a server is left alone after an order failed there.
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

// handoverWait is how long after the beginning of its term a leader gives no orders to
// servers that don't check fencing numbers.
func (c Config) handoverWait() time.Duration { return c.Lease + c.ClockDrift + c.OrderTimeout }

// Planner decides orders. It is not safe for concurrent use.
type Planner struct {
	cfg    Config
	lastID uint64

	term    uint64
	bucket  bucket
	pending map[string]*pendingOrder // by server
	retryAfter   map[string]time.Time
	crashes map[orderGoal]crashHistory
	blocked []Blocked
}

// Blocked says why a rule isn't met and no order goes out for it.
type Blocked struct {
	Rule   settings.PlacementRule
	Have   int
	Reason string
}

// NewPlanner returns a planner that leads nothing.
func NewPlanner(cfg Config) *Planner {
	p := &Planner{cfg: withDefaults(cfg)}
	p.reset(0, time.Time{})
	return p
}

// reset forgets everything of a former term. The bucket starts empty, whatever the
// former leader has spent: so the limit holds across the change.
func (p *Planner) reset(term uint64, since time.Time) {
	p.term = term
	p.bucket = bucket{at: since}
	p.pending = make(map[string]*pendingOrder)
	p.retryAfter = make(map[string]time.Time)
	p.crashes = make(map[orderGoal]crashHistory)
}

// Step returns the orders to commit and send now. Each is followed by one call of
// Ended; Sent comes before it once the order is on its way.
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

// Blocked returns, for the last Step, the rules that aren't met and why.
func (p *Planner) Blocked() []Blocked { return p.blocked }

func largestModel(rules []settings.PlacementRule) int64 {
	var most int64
	for _, r := range rules {
		most = max(most, r.Bytes)
	}
	return most
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
