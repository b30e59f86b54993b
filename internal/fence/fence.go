// Package fence assigns fencing numbers to placement orders for backend servers. It is
// part of the replicated state: pure, and the same on every replica.
package fence

import (
	"maps"
	"slices"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Order is the last order placed for one backend server.
type Order struct {
	Server string `json:"server"`
	Verb   string `json:"verb"`
	Object string `json:"object,omitempty"`
	Role   string `json:"role,omitempty"`
	Term   uint64 `json:"term"`
	Fence  uint64 `json:"fence"`
}

// State holds the highest term seen and the last order per backend server.
type State struct {
	term   uint64
	orders map[string]Order
}

// New returns an empty state.
func New() *State { return &State{orders: make(map[string]Order)} }

// Term returns the highest term that a leader has begun.
func (s *State) Term() uint64 { return s.term }

// NewTerm records that a leader of the term has begun.
func (s *State) NewTerm(term uint64) { s.term = max(s.term, term) }

// Place records an order and assigns it a fencing number. The number is the index of the
// log record, so it increases in log order across terms. An order of an older term is
// refused with StaleFence: it was decided by a leader that has been replaced, whose view
// of the servers may contradict the new leader's orders.
func (s *State) Place(index uint64, p *pb.PlaceOrder) (*pb.PlaceOrderResult, error) {
	if p.Server == "" || p.Verb == "" {
		return nil, errkind.New(errkind.BadRequest, "an order needs a server and a verb")
	}
	if p.Term < s.term {
		return nil, errkind.New(errkind.StaleFence, "the order is of term %d, but term %d has begun", p.Term, s.term)
	}
	s.term = p.Term
	s.orders[p.Server] = Order{Server: p.Server, Verb: p.Verb, Object: p.Object, Role: p.Role, Term: p.Term, Fence: index}
	return &pb.PlaceOrderResult{Fence: index}, nil
}

// Placements returns the last order of each backend server, sorted by server.
func (s *State) Placements() []*pb.Placed {
	var out []*pb.Placed
	for _, o := range s.sorted() {
		order := &pb.PlaceOrder{Server: o.Server, Verb: o.Verb, Object: o.Object, Role: o.Role, Term: o.Term}
		out = append(out, &pb.Placed{Order: order, Fence: o.Fence})
	}
	return out
}

func (s *State) sorted() []Order {
	out := make([]Order, 0, len(s.orders))
	for _, name := range slices.Sorted(maps.Keys(s.orders)) {
		out = append(out, s.orders[name])
	}
	return out
}

// Image is the whole state in a fixed order, for snapshots.
type Image struct {
	Term   uint64  `json:"term"`
	Orders []Order `json:"orders"`
}

// Image returns the state's content.
func (s *State) Image() Image { return Image{Term: s.term, Orders: s.sorted()} }

// Restore replaces the state's content.
func (s *State) Restore(im Image) {
	s.term = im.Term
	s.orders = make(map[string]Order, len(im.Orders))
	for _, o := range im.Orders {
		s.orders[o.Server] = o
	}
}
