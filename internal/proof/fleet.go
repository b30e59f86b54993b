// Package proof tests the guarantees of prepaid budgets with the real components that
// implement them: the replicated state, grants, in-flight records, recovery and the filters
// of the request chain. Faults are injected at two interfaces, between hosts and the control
// group and between hosts. Time is virtual, and each test run is generated from a seed, which
// failures print.
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
	// proposeTimeout is how long one attempt to propose a command waits before it is resent.
	proposeTimeout = 300 * time.Millisecond
)

func TestMain(m *testing.M) {
	zerolog.SetGlobalLevel(zerolog.Disabled) // unreported ends of claims are expected in the runs
	os.Exit(m.Run())
}

// fleet consists of hosts with their real controllers, one replicated state, and an engine.
type fleet struct {
	t      *testing.T
	seed   int64
	engine *engine

	mu         sync.Mutex
	faults     faults
	drawCounts map[string]int
	partition  map[string]int
	nodes      map[string]*node
	names      []string
	state      *apply.State
	boots      int
	startedAt  time.Time
	// intendedFunds is the total that operators intended to fund.
	intendedFunds uint64
	// estimated holds an entry for each identity in a recovery's bills, true if it was billed
	// by its reservation.
	estimated map[string]bool
	// partialBills holds the estimated bills that the ledger accepted only in part during a
	// recovery.
	partialBills map[string]partialBill
	// uncopied holds the identities whose run was known only to its host when the host died.
	uncopied map[string]bool
	// lostBills is the number of runs that were not billed, or not fully, for a known reason.
	lostBills int
}

// node is one incarnation of a host.
type node struct {
	fleet   *fleet
	self    *pb.Holder
	grants  *grants.Manager
	records *records.Controller
	claims  *claim.Filter
	chain   filter.Handler
	stop    func()
}

// withFleet calls run in a synctest bubble with hosts h0, h1, ... and a funded budget, without
// faults.
func withFleet(t *testing.T, seed int64, hosts int, funds uint64, run func(f *fleet)) {
	t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{
				t: t, seed: seed, drawCounts: make(map[string]int), partition: make(map[string]int), nodes: make(map[string]*node), intendedFunds: funds, startedAt: time.Now(), estimated: make(map[string]bool), uncopied: make(map[string]bool), partialBills: make(map[string]partialBill),
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
					n.stop()
				}
			}()
			run(f)
		})
	})
}

// start registers a new incarnation of a host and starts it.
func (f *fleet) start(name string) {
	f.mu.Lock()
	f.boots++
	boot := fmt.Sprint("boot", f.boots)
	f.mu.Unlock()
	registered := f.apply(&pb.Command{Body: &pb.Command_RegisterHost{RegisterHost: &pb.RegisterHost{Host: name, Zone: zoneOf(name), BootId: boot}}})
	n := &node{fleet: f, self: registered.GetRegisterHost().GetHolder()}
	n.records = records.New(records.Config{Store: inflight.Config{Self: n.self, Zone: zoneOf(name)}, Peers: n, Log: zerolog.Nop()})
	n.grants = grants.New(grants.Config{
		Self: n.self, Proposer: n, Asker: n, Recorder: n.records, OnSettled: n.records.MarkSettled, Log: zerolog.Nop(), Seed: f.seed,
	})
	n.records.SetGrants(n.grants)
	n.buildChain()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { n.grants.Run(ctx) })
	wg.Go(func() { n.records.Run(ctx) })
	n.stop = func() { cancel(); wg.Wait() }
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	f.notifyHosts()
}

func zoneOf(name string) string { return string("xyz"[int(name[1]-'0')%3]) }

// notifyHosts updates each host's list of live hosts: those on its side of the partition.
func (f *fleet) notifyHosts() {
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

// peersOf returns the live hosts on n's side of the partition, including n; f.mu is held.
func (f *fleet) peersOf(n *node) []string {
	var peers []string
	for _, name := range f.names {
		if f.nodes[name] != nil && f.partition[name] == f.partition[n.self.GetHost()] {
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

// apply commits one record and checks in the resulting state that the budget isn't overspent.
func (f *fleet) apply(cmd *pb.Command) *pb.CommandResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	cmd = proto.CloneOf(cmd)
	cmd.TimeMs = time.Now().UnixMilli()
	result := f.state.Apply(f.state.Applied()+1, cmd)
	f.recordEstimates(cmd.GetRecoverHolder(), result)
	for _, bill := range cmd.GetRecoverHolder().GetBills() {
		id := bill.GetIdentity()
		f.estimated[id] = f.estimated[id] || bill.GetTokens() == reserved(id)
	}
	b := f.budget()
	held := b.GetBilled()
	for _, g := range b.GetGranted() {
		held += g.GetTokens()
	}
	if held > b.GetFunded() {
		f.t.Errorf("record %d: %d tokens billed or granted, but only %d funded", result.GetIndex(), held, b.GetFunded())
	}
	if e := result.GetError(); e.GetKind() == string(errkind.Internal) {
		f.t.Errorf("record %d was refused: %s: %v", f.state.Applied(), e.GetMessage(), cmd)
	}
	return result
}

// budget returns the budget in the replicated state; f.mu is held.
func (f *fleet) budget() *pb.Budget {
	q := f.state.Query(&pb.Query{Body: &pb.Query_Budget{Budget: &pb.BudgetQuery{Name: budgetName}}})
	if len(q.GetBudgets()) == 0 {
		return nil
	}
	return q.GetBudgets()[0]
}

// topUp adds funds as an operator does: it resends the command until it has an answer.
func (f *fleet) topUp(op string, tokens uint64) {
	f.intendedFunds += tokens
	cmd := &pb.Command{OpId: op, Body: &pb.Command_TopUp{TopUp: &pb.TopUp{Budget: budgetName, Tokens: tokens}}}
	for f.apply(cmd); f.occurs("top-up", f.network().answerLost*3); {
		f.apply(cmd)
	}
}

// Propose implements grants.Proposer and repair.Control. Like the real client, it resends the
// command until ctx ends.
func (n *node) Propose(ctx context.Context, cmd *pb.Command) (*pb.CommandResult, error) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, proposeTimeout)
		result, err := deliver(attempt, n.fleet, n, ledgerSide, func() (*pb.CommandResult, error) { return n.fleet.apply(cmd), nil })
		cancel()
		if err == nil {
			return result, nil
		}
	}
	return nil, errLost
}

// Hosts implements repair.Control.
func (n *node) Hosts(ctx context.Context) ([]*pb.HostInfo, error) {
	return deliver(ctx, n.fleet, n, ledgerSide, func() ([]*pb.HostInfo, error) {
		n.fleet.mu.Lock()
		defer n.fleet.mu.Unlock()
		return n.fleet.state.Query(&pb.Query{Body: &pb.Query_Hosts{Hosts: &pb.HostsQuery{}}}).GetHosts(), nil
	})
}

// Peers implements grants.Asker.
func (n *node) Peers() []string {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return slices.DeleteFunc(n.fleet.peersOf(n), func(name string) bool { return name == n.self.GetHost() })
}

// call delivers a call to the current incarnation of a host.
func call[T any](ctx context.Context, n *node, host string, handle func(to *node) T) (T, error) {
	return deliver(ctx, n.fleet, n, host, func() (T, error) {
		to := n.fleet.node(host)
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
