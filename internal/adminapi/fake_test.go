package adminapi

import (
	"context"
	"encoding/json"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// fakeGroup keeps a settings tree and budgets as the control group would: versions
// per subtree, one answer per operation id, and a refusal of another command under
// an id used before.
type fakeGroup struct {
	mu       sync.Mutex
	tree     map[string]any
	versions map[string]uint64
	revision uint64
	answers  map[string]*pb.CommandResult
	bodies   map[string]*pb.Command
	history  []*pb.ConfigChange
	budgets  map[string]*pb.Budget
	hosts    []*pb.HostInfo
	bills    map[string]*pb.Bill
	commands []*pb.Command
	// loseAnswer makes the next Propose apply its command and then fail.
	loseAnswer bool
	// beforePropose runs once before the next command is applied.
	beforePropose func()
	readErr       error
}

func newFakeGroup() *fakeGroup {
	return &fakeGroup{
		tree: map[string]any{}, versions: map[string]uint64{}, answers: map[string]*pb.CommandResult{}, bodies: map[string]*pb.Command{},
		budgets: map[string]*pb.Budget{}, bills: map[string]*pb.Bill{},
	}
}

func (g *fakeGroup) Propose(_ context.Context, c *pb.Command) (*pb.CommandResult, error) {
	if f := g.beforePropose; f != nil {
		g.beforePropose = nil
		f()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.commands = append(g.commands, proto.CloneOf(c))
	if first, ok := g.answers[c.GetOpId()]; ok {
		if !proto.Equal(c, g.bodies[c.GetOpId()]) {
			return refused(errkind.KeyConflict), nil
		}
		again := proto.CloneOf(first)
		again.Resend = true
		return again, nil
	}
	res := g.apply(c)
	g.answers[c.GetOpId()] = res
	g.bodies[c.GetOpId()] = proto.CloneOf(c)
	if g.loseAnswer {
		g.loseAnswer = false
		return nil, errkind.New(errkind.NoQuorum, "no answer")
	}
	return res, nil
}

func (g *fakeGroup) apply(c *pb.Command) *pb.CommandResult {
	switch b := c.GetBody().(type) {
	case *pb.Command_SetConfig:
		return g.set(c, b.SetConfig)
	case *pb.Command_CreateBudget:
		if g.budgets[b.CreateBudget.GetName()] != nil {
			return refused(errkind.AlreadyExists)
		}
		g.budgets[b.CreateBudget.GetName()] = &pb.Budget{Name: b.CreateBudget.GetName(), Funded: b.CreateBudget.GetTokens()}
		return g.budgetResult(b.CreateBudget.GetName())
	case *pb.Command_TopUp:
		if g.budgets[b.TopUp.GetBudget()] == nil {
			return refused(errkind.NotFound)
		}
		g.budgets[b.TopUp.GetBudget()].Funded += b.TopUp.GetTokens()
		return g.budgetResult(b.TopUp.GetBudget())
	case *pb.Command_RemoveHost:
		return &pb.CommandResult{}
	}
	return refused(errkind.Internal)
}

func (g *fakeGroup) budgetResult(name string) *pb.CommandResult {
	return &pb.CommandResult{Body: &pb.CommandResult_Budget{Budget: proto.CloneOf(g.budgets[name])}}
}

func refused(k errkind.Kind) *pb.CommandResult {
	return &pb.CommandResult{Error: &pb.Error{Kind: string(k), Message: "refused"}}
}

// subtree is the part of path that has a version of its own.
func subtree(path string) string {
	parts := strings.SplitN(path, "/", 4)
	return strings.Join(parts[:min(len(parts), 3)], "/")
}

func (g *fakeGroup) set(c *pb.Command, s *pb.SetConfig) *pb.CommandResult {
	sub := subtree(s.GetPath())
	if !s.GetAnyVersion() && s.GetExpectedVersion() != g.versions[sub] {
		res := refused(errkind.VersionConflict)
		res.Error.PresentVersion = g.versions[sub]
		return res
	}
	var value any
	if !s.GetDelete() {
		_ = json.Unmarshal(s.GetValueJson(), &value)
	}
	keys := strings.Split(strings.Trim(s.GetPath(), "/"), "/")
	at := g.tree
	for _, k := range keys[:len(keys)-1] {
		if at[k] == nil {
			at[k] = map[string]any{}
		}
		at = at[k].(map[string]any)
	}
	at[keys[len(keys)-1]] = value
	g.revision++
	g.versions[sub]++
	g.history = append(g.history, &pb.ConfigChange{Revision: g.revision, Version: g.versions[sub], Path: s.GetPath(),
		ValueJson: s.GetValueJson(), OpId: c.GetOpId(), Actor: c.GetActor(), Delete: s.GetDelete()})
	return &pb.CommandResult{Body: &pb.CommandResult_SetConfig{
		SetConfig: &pb.SetConfigResult{Revision: g.revision, Version: g.versions[sub]}}}
}

func (g *fakeGroup) Read(_ context.Context, q *pb.Query) (*pb.QueryResult, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.readErr != nil {
		return nil, g.readErr
	}
	res := &pb.QueryResult{Revision: g.revision}
	switch b := q.GetBody().(type) {
	case *pb.Query_Config:
		res.Version = g.versions[subtree(b.Config.GetPath())]
		res.ValueJson = g.value(b.Config.GetPath())
		if res.ValueJson == nil {
			res.Error = &pb.Error{Kind: string(errkind.NotFound)}
		}
	case *pb.Query_History:
		for _, c := range g.history {
			if strings.HasPrefix(c.GetPath(), b.History.GetPath()) {
				res.History = append(res.History, c)
			}
		}
	case *pb.Query_Budget:
		for name, budget := range g.budgets {
			if b.Budget.GetName() == "" || b.Budget.GetName() == name {
				res.Budgets = append(res.Budgets, budget)
			}
		}
	case *pb.Query_Statement:
		res.Statement = []*pb.StatementLine{{Kind: "top-up", Tokens: uint64(b.Statement.GetLimit())}}
	case *pb.Query_Hosts:
		res.Hosts = g.hosts
	case *pb.Query_Identity:
		res.Bill = g.bills[b.Identity.GetIdentity()]
	case *pb.Query_Members:
		res.Group = &pb.GroupStatus{Leader: 2, Members: []*pb.MemberStatus{{Member: &pb.Member{Id: 2, Host: "h2"}}}}
	default:
		return nil, errors.New("not faked")
	}
	return res, nil
}

func (g *fakeGroup) value(path string) []byte {
	var at any = g.tree
	for _, k := range strings.Split(strings.Trim(path, "/"), "/") {
		m, _ := at.(map[string]any)
		if at = m[k]; at == nil {
			return nil
		}
	}
	b, _ := json.Marshal(at)
	return b
}

func (g *fakeGroup) ChangeMembers(_ context.Context, r *pb.ChangeMembersRequest) (*pb.ChangeMembersReply, error) {
	return &pb.ChangeMembersReply{Group: &pb.GroupStatus{Members: []*pb.MemberStatus{{Member: r.GetMember()}}}}, nil
}

// fakeFleet hears one host alive and one dead.
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
