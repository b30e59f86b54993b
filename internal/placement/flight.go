package placement

import (
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Result is the outcome of an order.
type Result int

// The results.
const (
	// NotSent means that the order was not committed or not sent.
	NotSent Result = iota
	// Refused means that the server rejected the order, which had no effect.
	Refused
	// Accepted means that the server executes the order; announcements will show its effect.
	Accepted
	// Unknown means that no answer was received; the order may still take effect.
	Unknown
)

// pendingOrder is an order whose effect has not shown in announcements yet. Its server gets no
// other order.
type pendingOrder struct {
	order Order
	rule  settings.PlacementRule
	// incarnation is that of the server when the order was given.
	incarnation uint64
	// until is when the order is abandoned, because it can no longer take effect.
	until time.Time
}

// RecordResult records the result of an order at time now. The result of an order of a previous
// term is ignored.
func (p *Planner) RecordResult(now time.Time, o Order, result Result) {
	pending := p.pending[o.Server]
	if pending == nil || pending.order.ID != o.ID || o.Term != p.term {
		return
	}
	switch result {
	case NotSent:
		p.bucket.refund(o.Bytes)
		p.abandon(now, o.Server)
	case Refused:
		p.abandon(now, o.Server)
	case Accepted:
		pending.until = now.Add(p.cfg.EffectTimeout)
	case Unknown:
		// This order may still arrive after another one that is sent now.
		pending.until = now.Add(p.cfg.OrderTimeout)
	}
}

func (p *Planner) abandon(now time.Time, server string) {
	delete(p.pending, server)
	p.retryAfter[server] = now.Add(p.cfg.RetryDelay)
}

// observe removes the pending orders whose effect the announcements show, whose server has
// restarted, or whose time has expired.
func (p *Planner) observe(in Input) {
	for server, pending := range p.pending {
		s := find(in.Servers, server)
		if hasEffect(pending.order, s) {
			delete(p.pending, server)
			delete(p.crashes, goalOf(pending.order))
			continue
		}
		if pending.restarted(s) {
			p.recordCrash(in.Now, pending.order)
			p.abandon(in.Now, server)
			continue
		}
		if in.Now.After(pending.until) {
			p.abandon(in.Now, server)
		}
	}
	for server, end := range p.retryAfter {
		if in.Now.After(end) {
			delete(p.retryAfter, server)
		}
	}
}

func find(servers []*pb.ServerState, address string) *pb.ServerState {
	for _, s := range servers {
		if s.GetAddress() == address {
			return s
		}
	}
	return nil
}

// hasEffect reports whether s announces the effect of o.
func hasEffect(o Order, s *pb.ServerState) bool {
	if s == nil {
		return false
	}
	switch o.Verb {
	case LoadModel:
		return slices.Contains(s.GetModels(), o.Model)
	case UnloadModel:
		return !slices.Contains(s.GetModels(), o.Model)
	case LoadAdapter:
		return slices.Contains(s.GetAdapters(), o.Adapter)
	default:
		return s.GetRole() == o.Role
	}
}

// pendingFor returns the number of pending orders for a rule.
func (p *Planner) pendingFor(rule settings.PlacementRule) int {
	n := 0
	for _, pending := range p.pending {
		if pending.rule == rule {
			n++
		}
	}
	return n
}

// String returns the name of the result in the event log.
func (r Result) String() string {
	switch r {
	case NotSent:
		return "not_sent"
	case Refused:
		return "refused"
	case Accepted:
		return "accepted"
	default:
		return "unknown"
	}
}
