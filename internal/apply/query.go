package apply

import (
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// Query answers a read. The replica checks before that it may read (holds a lease), and
// fills in the group's status.
func (s *State) Query(q *pb.Query) *pb.QueryResult {
	out := &pb.QueryResult{Revision: s.View().Revision()}
	if err := s.query(q, out); err != nil {
		out.Error = wire.EncodeError(err)
	}
	return out
}

func (s *State) query(q *pb.Query, out *pb.QueryResult) (err error) {
	switch body := q.GetBody().(type) {
	case *pb.Query_Budget:
		out.Budgets, err = s.budgets(body.Budget.GetName())
	case *pb.Query_Statement:
		out.Statement, err = s.statement(body.Statement)
	case *pb.Query_Config:
		out.ValueJson, out.Version, err = s.View().Value(body.Config.GetPath())
	case *pb.Query_Hosts:
		out.Hosts = s.hosts(body.Hosts)
	case *pb.Query_History:
		out.History = s.settings.History(body.History.GetPath(), int(body.History.GetLimit()))
	case *pb.Query_Claim:
		out.Claim = s.claims.Lookup(body.Claim.GetIdentity())
	case *pb.Query_Identity:
		out.Bill, err = s.ledger.Bill(body.Identity.GetIdentity())
	case *pb.Query_Placement:
		out.Placements = s.fence.Placements()
	case *pb.Query_Routes:
		out.Routes = s.routes.Routes()
	case *pb.Query_Evacuations:
		out.Evacuations = s.evacuations.Current()
	case *pb.Query_Members:
		// The replica answers this query from its consensus state.
	default:
		err = errkind.New(errkind.BadRequest, "the query has no known body")
	}
	return err
}

func (s *State) budgets(name string) ([]*pb.Budget, error) {
	if name == "" {
		return s.ledger.Budgets(), nil
	}
	b, err := s.ledger.Budget(name)
	if err != nil {
		return nil, errkind.New(errkind.NotFound, "no budget %q", name)
	}
	return []*pb.Budget{b}, nil
}

func (s *State) statement(q *pb.StatementQuery) ([]*pb.StatementLine, error) {
	lines, err := s.ledger.Statement(q.GetBudget(), int(q.GetLimit()))
	if err != nil {
		return nil, errkind.New(errkind.NotFound, "no budget %q", q.GetBudget())
	}
	return lines, nil
}

// hosts answers a query for the registered hosts.
func (s *State) hosts(q *pb.HostsQuery) []*pb.HostInfo {
	if q.After == nil {
		return s.ledger.Hosts()
	}
	return s.ledger.HostsAfter(q.GetAfter())
}
