package placement

import (
	"context"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/placement"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// Reader reads the state of the control group from its leader.
type Reader interface {
	Read(ctx context.Context, q *pb.Query) (*pb.QueryResult, error)
}

// OperatorOrders sends orders that operators give manually. Such an order gets its fencing
// number from the same log as the planner's orders, so a server that checks fencing numbers
// executes the one that was committed last. A server that ignores them executes the one that
// arrives last; operators have to remove it from the placement rules first.
type OperatorOrders struct {
	controller *Controller
	reader     Reader
}

// NewOperatorOrders returns OperatorOrders that sends through c.
func NewOperatorOrders(c *Controller, r Reader) *OperatorOrders {
	return &OperatorOrders{controller: c, reader: r}
}

// Order commits o, sends it to its server and returns its fencing number. It returns an
// error if the server rejects the order or the answer is lost.
func (p *OperatorOrders) Order(ctx context.Context, opID, actor string, o *pb.PlaceOrder) (*pb.PlaceOrderResult, error) {
	order, err := operatorOrder(o)
	if err != nil {
		return nil, err
	}
	res, err := p.reader.Read(ctx, &pb.Query{Body: &pb.Query_Members{Members: &pb.MembersQuery{}}})
	if err != nil {
		return nil, err
	}
	o.Term = res.GetGroup().GetTerm()
	done, err := p.controller.cfg.Proposer.Propose(ctx, &pb.Command{
		OpId: opID, Actor: actor, Body: &pb.Command_PlaceOrder{PlaceOrder: o}})
	if err != nil {
		return nil, err
	}
	if err := wire.DecodeError(done.GetError()); err != nil {
		return nil, err
	}
	fence := done.GetPlaceOrder().GetFence()
	if _, err := p.controller.send(ctx, order, fence); err != nil {
		return nil, err
	}
	return done.GetPlaceOrder(), nil
}

// operatorOrder converts an order to the planner's type.
func operatorOrder(o *pb.PlaceOrder) (placement.Order, error) {
	out := placement.Order{Server: o.GetServer(), Verb: placement.Verb(o.GetVerb()), Role: o.GetRole()}
	switch out.Verb {
	case placement.LoadModel, placement.UnloadModel:
		out.Model = o.GetObject()
	case placement.LoadAdapter:
		out.Adapter = o.GetObject()
	case placement.ChangeRole:
		if out.Role == "" {
			out.Role = o.GetObject()
		}
	default:
		return out, errkind.New(errkind.BadRequest, "unknown verb %q; valid verbs are %s, %s, %s and %s", out.Verb,
			placement.LoadModel, placement.UnloadModel, placement.LoadAdapter, placement.ChangeRole).At("/verb")
	}
	if out.Model == "" && out.Adapter == "" && out.Role == "" {
		return out, errkind.New(errkind.BadRequest, "an order requires a model, an adapter or a role").At("/object")
	}
	return out, nil
}
