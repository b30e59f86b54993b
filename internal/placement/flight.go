package placement

import (
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Result is how an order ended.
type Result int

// The results.
const (
	// NotSent: it was not committed, or not sent.
	NotSent Result = iota
	// Refused: the server refused it, so it had no effect.
	Refused
	// Accepted: the server carries it out; announcements will show it.
	Accepted
	// Unknown: no answer came; it may still take effect.
	Unknown
)

// pendingOrder is an order that has not shown its effect yet. Its server gets no other.
type pendingOrder struct {
	order Order
	rule  settings.PlacementRule
	// incarnation of the server when the order was given.
	incarnation uint64
	// until is when the order is given up, for it can't take effect any more.
	until time.Time
}

// RecordResult takes how an order ended at time now. An order of a former term is ignored.
func (p *Planner) RecordResult(now time.Time, o Order, result Result) {
	f := p.pending[o.Server]
	if f == nil || f.order.ID != o.ID || o.Term != p.term {
		return
	}
	switch result {
	case NotSent:
		p.bucket.refund(o.Bytes)
		p.abandon(now, o.Server)
	case Refused:
		p.abandon(now, o.Server)
	case Accepted:
		f.until = now.Add(p.cfg.EffectTimeout)
	case Unknown:
		// Another order now could be overtaken by this one.
		f.until = now.Add(p.cfg.OrderTimeout)
	}
}

func (p *Planner) abandon(now time.Time, server string) {
	delete(p.pending, server)
	p.retryAfter[server] = now.Add(p.cfg.RetryDelay)
}

// observe ends flights whose effect the announcements show, or whose time is over.
func (p *Planner) observe(in Input) {
	for server, f := range p.pending {
		s := find(in.Servers, server)
		if hasEffect(f.order, s) {
			delete(p.pending, server)
			delete(p.crashes, goalOf(f.order))
			continue
		}
		if f.restarted(s) {
			p.recordCrash(in.Now, f.order)
			p.abandon(in.Now, server)
			continue
		}
		if in.Now.After(f.until) {
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

// hasEffect tells whether s announces what o ordered.
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

// pendingFor is the number of orders in flight for a rule.
func (p *Planner) pendingFor(rule settings.PlacementRule) int {
	n := 0
	for _, f := range p.pending {
		if f.rule == rule {
			n++
		}
	}
	return n
}

// String names the result in the event log.
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
