// Package proof joins the real parts that keep the promises of prepaid budgets: the
// replicated state, grants, in-flight records, recovery and the filters of the request
// chain. Faults come at two interfaces, to the control group and between hosts. Time is
// virtual and each run is made from a seed, which failures print.
package proof

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/apply"
	"github.com/bluebellsail/bluebellsail/internal/controller/grants"
	"github.com/bluebellsail/bluebellsail/internal/controller/records"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/filter/claim"
	"github.com/bluebellsail/bluebellsail/internal/inflight"
	"github.com/bluebellsail/bluebellsail/internal/ledger"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	budgetName = "school"
	// attemptWait is how long one attempt to propose waits before it is sent again.
	attemptWait = 300 * time.Millisecond
)

func TestMain(m *testing.M) {
	zerolog.SetGlobalLevel(zerolog.Disabled) // lost ends of claims are part of the runs
	os.Exit(m.Run())
}

// fleet is hosts with their real controllers, one replicated state, and an engine.
type fleet struct {
	t      *testing.T
	seed   int64
	engine *engine

	mu     sync.Mutex
	faults faults
	drawn  map[string]int
	side   map[string]int
	nodes  map[string]*node
	names  []string
	state  *apply.State
	boots  int
	began  time.Time
	// funds is what operators meant to fund.
	funds uint64
	// guessed are the identities that a recovery billed by their reservation.
	guessed map[string]bool
	// short are those of whose bill by a guess a recovery took in a part only.
	short map[string]shortBill
	// uncopied are those whose run was known to its host alone when it died.
	uncopied map[string]bool
	// lost is how many of these were billed nowhere.
	lost int
}

// node is one incarnation of a host.
type node struct {
	fl      *fleet
	self    *pb.Holder
	grants  *grants.Manager
	records *records.Controller
	claims  *claim.Filter
	chain   filter.Handler
	end     func()
}

// withFleet runs f in a bubble with hosts h0, h1, ... and a funded budget, without faults.
func withFleet(t *testing.T, seed int64, hosts int, funds uint64, run func(f *fleet)) {
	t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{
				t: t, seed: seed, drawn: make(map[string]int), side: make(map[string]int), nodes: make(map[string]*node), funds: funds, began: time.Now(), guessed: make(map[string]bool), uncopied: make(map[string]bool), short: make(map[string]shortBill),
				state: apply.New(apply.Options{Ledger: ledger.Options{StatementLines: 1 << 20}}),
			}
			f.engine = newEngine(f)
			f.apply(&pb.Command{OpId: "create", Body: &pb.Command_CreateBudget{CreateBudget: &pb.CreateBudget{Name: budgetName, Tokens: funds}}})
			for i := range hosts {
				f.names = append(f.names, fmt.Sprintf("h%d", i))
				f.start(f.names[i])
			}
			defer func() {
				for _, n := range f.nodes {
					n.end()
				}
			}()
			run(f)
		})
	})
}

// start registers a new incarnation of a host and runs it.
func (f *fleet) start(name string) {
	f.mu.Lock()
	f.boots++
	boot := fmt.Sprint("boot", f.boots)
	f.mu.Unlock()
	registered := f.apply(&pb.Command{Body: &pb.Command_RegisterHost{RegisterHost: &pb.RegisterHost{Host: name, Zone: zoneOf(name), BootId: boot}}})
	n := &node{fl: f, self: registered.GetRegisterHost().GetHolder()}
	n.records = records.New(records.Config{Store: inflight.Config{Self: n.self, Zone: zoneOf(name)}, Peers: n, Log: zerolog.Nop()})
	n.grants = grants.New(grants.Config{
		Self: n.self, Proposer: n, Asker: n, Recorder: n.records, OnSettled: n.records.Settled, Log: zerolog.Nop(), Seed: f.seed,
	})
	n.records.SetGrants(n.grants)
	n.serve()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { n.grants.Run(ctx) })
	wg.Go(func() { n.records.Run(ctx) })
	n.end = func() { cancel(); wg.Wait() }
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	f.tellHosts()
}

func zoneOf(name string) string { return string("xyz"[int(name[1]-'0')%3]) }

// tellHosts gives each host its view: the hosts on its side.
func (f *fleet) tellHosts() {
	f.mu.Lock()
	views := make(map[*node][]inflight.Host)
	for _, n := range f.nodes {
		for _, name := range f.peersOf(n) {
			views[n] = append(views[n], inflight.Host{Name: name, Zone: zoneOf(name), Incarnation: f.nodes[name].self.GetIncarnation()})
		}
	}
	f.mu.Unlock()
	for n, hosts := range views {
		n.records.SetHosts(hosts)
	}
}

// peersOf is the live hosts on n's side, n included; f.mu is held.
func (f *fleet) peersOf(n *node) []string {
	var peers []string
	for _, name := range f.names {
		if f.nodes[name] != nil && f.side[name] == f.side[n.self.GetHost()] {
			peers = append(peers, name)
		}
	}
	return peers
}

func (f *fleet) node(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// apply commits one record and checks the promise in the state behind it.
func (f *fleet) apply(cmd *pb.Command) *pb.CommandResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	cmd = proto.CloneOf(cmd)
	cmd.TimeMs = time.Now().UnixMilli()
	result := f.state.Apply(f.state.Applied()+1, cmd)
	f.noteRecovery(cmd.GetRecoverHolder(), result)
	for _, bill := range cmd.GetRecoverHolder().GetBills() {
		id := bill.GetIdentity()
		f.guessed[id] = f.guessed[id] || bill.GetTokens() == reserved(id)
	}
	b := f.budget()
	held := b.GetBilled()
	for _, g := range b.GetGranted() {
		held += g.GetTokens()
	}
	if held > b.GetFunded() {
		f.t.Errorf("record %d: %d tokens billed or granted, %d funded", result.GetIndex(), held, b.GetFunded())
	}
	if e := result.GetError(); e.GetKind() == string(errkind.Internal) {
		f.t.Errorf("record %d refused: %s: %v", f.state.Applied(), e.GetMessage(), cmd)
	}
	return result
}

// budget reads the state; f.mu is held.
func (f *fleet) budget() *pb.Budget {
	q := f.state.Query(&pb.Query{Body: &pb.Query_Budget{Budget: &pb.BudgetQuery{Name: budgetName}}})
	if len(q.GetBudgets()) == 0 {
		return nil
	}
	return q.GetBudgets()[0]
}

// topUp is an operator's: it resends until it has an answer.
func (f *fleet) topUp(op string, tokens uint64) {
	f.funds += tokens
	cmd := &pb.Command{OpId: op, Body: &pb.Command_TopUp{TopUp: &pb.TopUp{Budget: budgetName, Tokens: tokens}}}
	for f.apply(cmd); f.fate("top-up", f.network().answerLost*3); {
		f.apply(cmd)
	}
}

// Propose implements grants.Proposer and repair.Control. Like the real client it resends
// until ctx ends.
func (n *node) Propose(ctx context.Context, cmd *pb.Command) (*pb.CommandResult, error) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, attemptWait)
		result, err := deliver(attempt, n.fl, n, ledgerSide, func() (*pb.CommandResult, error) { return n.fl.apply(cmd), nil })
		cancel()
		if err == nil {
			return result, nil
		}
	}
	return nil, errLost
}

// Hosts implements repair.Control.
func (n *node) Hosts(ctx context.Context) ([]*pb.HostInfo, error) {
	return deliver(ctx, n.fl, n, ledgerSide, func() ([]*pb.HostInfo, error) {
		n.fl.mu.Lock()
		defer n.fl.mu.Unlock()
		return n.fl.state.Query(&pb.Query{Body: &pb.Query_Hosts{Hosts: &pb.HostsQuery{}}}).GetHosts(), nil
	})
}

// Peers implements grants.Asker.
func (n *node) Peers() []string {
	n.fl.mu.Lock()
	defer n.fl.mu.Unlock()
	return slices.DeleteFunc(n.fl.peersOf(n), func(name string) bool { return name == n.self.GetHost() })
}

// call has a host's present incarnation handle a call.
func call[T any](ctx context.Context, n *node, host string, handle func(to *node) T) (T, error) {
	return deliver(ctx, n.fl, n, host, func() (T, error) {
		to := n.fl.node(host)
		if to == nil {
			var none T
			return none, errLost
		}
		return handle(to), nil
	})
}

// AskTokens implements grants.Asker.
func (n *node) AskTokens(ctx context.Context, host string, req *pb.AskTokensRequest) (*pb.AskTokensReply, error) {
	return call(ctx, n, host, func(to *node) *pb.AskTokensReply { return to.grants.HandleAskTokens(req) })
}

// Gather implements repair.Peers.
func (n *node) Gather(ctx context.Context, host string, req *pb.GatherRequest) (*pb.GatherReply, error) {
	return call(ctx, n, host, func(to *node) *pb.GatherReply { return to.records.HandleGather(req) })
}

// link is a pb.PeerClient for records.
type link struct {
	pb.PeerClient
	from *node
	host string
}

// Dial implements records.Dialer.
func (n *node) Dial(host string) (pb.PeerClient, bool) { return link{from: n, host: host}, true }

func (l link) PutRecords(ctx context.Context, in *pb.PutRecordsRequest, _ ...grpc.CallOption) (*pb.PutRecordsReply, error) {
	in = proto.CloneOf(in)
	return call(ctx, l.from, l.host, func(to *node) *pb.PutRecordsReply { return to.records.HandlePut(in) })
}

func (l link) FindRecord(ctx context.Context, in *pb.FindRecordRequest, _ ...grpc.CallOption) (*pb.FindRecordReply, error) {
	return call(ctx, l.from, l.host, func(to *node) *pb.FindRecordReply { return to.records.HandleFind(in) })
}
