package placement

import (
	"context"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/placement"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// Reader reads the control group's state at its leader.
type Reader interface {
	Read(ctx context.Context, q *pb.Query) (*pb.QueryResult, error)
}

// OperatorOrders sends what operators order by hand. Such an order takes its fencing
// number from the same log as those of the planner, so a server that checks numbers
// carries out whichever was committed last. A server that ignores numbers carries out
// whichever arrives last: operators take it out of the placement rules first.
type OperatorOrders struct {
	controller *Controller
	reader     Reader
}

// NewOperatorOrders sends through c.
func NewOperatorOrders(c *Controller, r Reader) *OperatorOrders {
	return &OperatorOrders{controller: c, reader: r}
}

// Order commits o, sends it to its server and returns its fencing number. An order
// that the server refused, or whose answer was lost, is an error that says so.
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

// operatorOrder is the order in the planner's form.
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
		return out, errkind.New(errkind.BadRequest, "no order %q; there are %s, %s, %s and %s", out.Verb,
			placement.LoadModel, placement.UnloadModel, placement.LoadAdapter, placement.ChangeRole).At("/verb")
	}
	if out.Model == "" && out.Adapter == "" && out.Role == "" {
		return out, errkind.New(errkind.BadRequest, "an order names a model, an adapter or a role").At("/object")
	}
	return out, nil
}
