package adminapi

import (
	"context"
	"encoding/json"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/apply"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// fakeGroup is the control group's state machine without consensus, with injected faults.
// It returns refusals as errors, as package controlclient does. The fake group in the tests
// of package admincli leaves them in the result, as a replica does.
type fakeGroup struct {
	mu       sync.Mutex
	state    *apply.State
	commands []*pb.Command
	// loseAnswer makes the next Propose apply its command and then fail.
	loseAnswer bool
	// beforePropose runs once before the next command is applied.
	beforePropose func()
	readErr       error
}

func newFakeGroup() *fakeGroup { return &fakeGroup{state: apply.New(apply.Options{})} }

func (g *fakeGroup) Propose(_ context.Context, c *pb.Command) (*pb.CommandResult, error) {
	if f := g.beforePropose; f != nil {
		g.beforePropose = nil
		f()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.commands = append(g.commands, proto.CloneOf(c))
	res := g.state.Apply(g.state.Applied()+1, c)
	if g.loseAnswer {
		g.loseAnswer = false
		return nil, errkind.New(errkind.NoQuorum, "no answer")
	}
	return res, wire.DecodeError(res.GetError())
}

func (g *fakeGroup) Read(_ context.Context, q *pb.Query) (*pb.QueryResult, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.readErr != nil {
		return nil, g.readErr
	}
	res := g.state.Query(q)
	if q.GetMembers() != nil {
		res.Group = &pb.GroupStatus{Leader: 2, Members: []*pb.MemberStatus{{Member: &pb.Member{Id: 2, Host: "h2"}}}}
	}
	if err := wire.DecodeError(res.GetError()); err != nil {
		return nil, err
	}
	return res, nil
}

func (g *fakeGroup) ChangeMembers(_ context.Context, r *pb.ChangeMembersRequest) (*pb.ChangeMembersReply, error) {
	return &pb.ChangeMembersReply{Group: &pb.GroupStatus{Members: []*pb.MemberStatus{{Member: r.GetMember()}}}}, nil
}

// spend registers host h3, grants it 50 tokens of a budget and bills 20 of them for the
// identity acme/k1.
func (a *api) spend(budget string) {
	a.t.Helper()
	holder := &pb.Holder{Host: "h3", Incarnation: 1}
	bill := &pb.Bill{Budget: budget, Identity: "acme/k1", Tokens: 20, RequestId: "r1", TimeMs: 1}
	for _, c := range []*pb.Command{
		{Body: &pb.Command_RegisterHost{RegisterHost: &pb.RegisterHost{Host: "h3", BootId: "b"}}},
		{Body: &pb.Command_Acquire{Acquire: &pb.Acquire{Holder: holder, Budget: budget, Seq: 1, Need: 50, Want: 50}}},
		{Body: &pb.Command_Settle{Settle: &pb.Settle{Holder: holder, Seq: 1, Bills: []*pb.Bill{bill}}}},
	} {
		res, err := a.group.Propose(a.t.Context(), c)
		if err != nil || res.GetError() != nil {
			a.t.Fatalf("%v: %v %v", c, res, err)
		}
	}
}

// fakeFleet has one host that is alive and one that is dead.
type fakeFleet struct{}

func (fakeFleet) Self() *pb.HostState {
	return &pb.HostState{Holder: &pb.Holder{Host: "h1", Incarnation: 4}, Zone: "z1", ConfigRevision: 1, Health: pb.HostHealth_HOST_HEALTH_ALIVE}
}

func (f fakeFleet) Hosts() []*pb.HostState {
	return []*pb.HostState{f.Self(), {Holder: &pb.Holder{Host: "h2"}, ConfigRevision: 1, Health: pb.HostHealth_HOST_HEALTH_DEAD, HeardMs: 9000}}
}

func (fakeFleet) Servers() []*pb.ServerState {
	return []*pb.ServerState{{Address: "192.0.2.9:1"}, {Address: "192.0.2.8:1", Leaving: true}}
}

type fakeExplainer struct{}

func (fakeExplainer) Explain(_ context.Context, id string) (json.RawMessage, error) {
	if id != "acme/k1" {
		return nil, errkind.New(errkind.NotFound, "nothing about %s", id)
	}
	return json.RawMessage(`{"identity":"acme/k1"}`), nil
}
