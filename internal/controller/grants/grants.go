// Package grants runs a grant.Holder: it implements the request chain's Budget port,
// carries the holder's messages to the control group and to peers, and feeds the
// answers back.
package grants

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/grant"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Proposer commits a command in the control group. An error of kind NoQuorum, or the
// end of ctx, leaves open whether the command took effect.
type Proposer interface {
	Propose(ctx context.Context, cmd *pb.Command) (*pb.CommandResult, error)
}

// Asker reaches the peers.
type Asker interface {
	AskTokens(ctx context.Context, host string, req *pb.AskTokensRequest) (*pb.AskTokensReply, error)
	// Peers are the names of the other hosts that seem reachable. It must not call the
	// Manager.
	Peers() []string
}

// TransferRecorder keeps copies of transfers at third hosts, so that the loss of giver
// and receiver can't free the same tokens twice.
type TransferRecorder interface {
	// CopyTransfer returns nil once a third host holds the copy, or none can be reached.
	CopyTransfer(ctx context.Context, t *pb.Transfer) error
	// AbandonTransfer makes a transfer void that was never answered. It returns nil once
	// every host that may hold a copy knows.
	AbandonTransfer(ctx context.Context, t *pb.Transfer) error
	// TransferSettled lets the copies go: the ledger knows the transfer.
	TransferSettled(t *pb.Transfer)
}

// Defaults of Config.
const (
	defaultTick           = 50 * time.Millisecond
	defaultProposeTimeout = time.Second
	defaultAskTimeout     = 250 * time.Millisecond
	defaultCopyTimeout    = 150 * time.Millisecond
	// policyInterval is how often the policies of held budgets are asked for anew.
	policyInterval = time.Second
	// transferRetryInterval is how often a transfer without its copies is tried again, also when its
	// asker is gone: its tokens would else stay deducted.
	transferRetryInterval = time.Second
)

// Config of a Manager. Zero durations mean the defaults.
type Config struct {
	Self     *pb.Holder
	Holder   grant.Config
	Proposer Proposer
	Asker    Asker
	Recorder TransferRecorder
	// PolicyFor returns the policy in force for a budget; nil: defaults for all. It must not
	// call the Manager.
	PolicyFor func(budget string) grant.Policy
	// OnSettled is called with bills that the ledger acknowledged; may be nil.
	OnSettled func(bills []*pb.Bill)
	// OnFailure is called when the manager can't trust its own state any more and gives nothing
	// out from then on. It must not call the Manager; may be nil.
	OnFailure func(error)
	Log    zerolog.Logger
	// Seed of the order in which peers are asked.
	Seed           int64
	Tick           time.Duration
	ProposeTimeout time.Duration
	AskTimeout     time.Duration
	CopyTimeout    time.Duration
}

// Manager is the runtime of one holder. Its methods are safe for concurrent use.
type Manager struct {
	cfg Config
	// ctx ends the manager's own calls; wg counts them.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	holder *grant.Holder
	// waiting holds the channel of each Reserve without a decision, by request id.
	waiting map[string]chan error
	// outgoing are the ids of transfers whose copies are being made.
	outgoing map[string]struct{}
	// flushScheduled tells that a timer for the next batch runs.
	flushScheduled bool
	// closed: nothing is set aside any more, and no call begins.
	closed bool
	// ledgerUnreachable: the last batch got no answer.
	ledgerUnreachable atomic.Bool
}

var _ filter.Budget = (*Manager)(nil)

// New makes a manager. Run must be called for resends and settlement.
func New(cfg Config) *Manager {
	defaults.Set(&cfg.Tick, defaultTick)
	defaults.Set(&cfg.ProposeTimeout, defaultProposeTimeout)
	defaults.Set(&cfg.AskTimeout, defaultAskTimeout)
	defaults.Set(&cfg.CopyTimeout, defaultCopyTimeout)
	defaults.Set(&cfg.Holder.BatchWait, 50*time.Millisecond)
	if cfg.PolicyFor == nil {
		cfg.PolicyFor = func(string) grant.Policy { return grant.PolicyFrom(nil) }
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		cfg: cfg, ctx: ctx, cancel: cancel,
		holder:  grant.New(cfg.Self, cfg.Holder, rand.New(rand.NewSource(cfg.Seed))),
		waiting: make(map[string]chan error),
		outgoing:  make(map[string]struct{}),
	}
}

// Run drives resends and settlement until ctx ends. It returns after all the manager's
// calls have ended.
func (m *Manager) Run(ctx context.Context) {
	currentManager.Store(m)
	ticker := time.NewTicker(m.cfg.Tick)
	defer ticker.Stop()
	gives := time.NewTicker(transferRetryInterval)
	defer gives.Stop()
	policies := time.NewTicker(policyInterval)
	defer policies.Stop()
	for {
		select {
		case <-ctx.Done():
			m.close()
			return
		case <-gives.C:
			m.retryTransfers()
		case <-policies.C:
			m.renewPolicies()
		case <-ticker.C:
			m.step(m.holder.Tick)
		}
	}
}

func (m *Manager) renewPolicies() {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.stopOnPanic()
	m.holder.SetPolicies(m.cfg.PolicyFor)
}

// close refuses the waiting requests and ends all calls.
func (m *Manager) close() {
	m.mu.Lock()
	m.stopGranting()
	m.mu.Unlock()
	m.cancel()
	m.wg.Wait()
}

// stopGranting ends the giving out of tokens; m.mu is held.
func (m *Manager) stopGranting() {
	m.closed = true
	for id, ch := range m.waiting {
		ch <- errkind.New(errkind.HostLeaving, "this host is shutting down")
		delete(m.waiting, id)
	}
}

// stopOnPanic is deferred by whoever changes the holder, and runs while m.mu is held. It recovers
// a panic in the middle of a change.
//
// What goes wrong without it: the books are half changed, and a host that goes on by them may
// give the same tokens out twice. One that ends at once takes all its requests with it. So it
// sets nothing aside any more, tells the ledger nothing more, and has the process end in
// order: what it held stays locked under this incarnation.
func (m *Manager) stopOnPanic() {
	p := recover()
	if p == nil {
		return
	}
	panics.Report(m.cfg.Log, "grants", p)
	m.stopGranting()
	if m.cfg.OnFailure != nil {
		m.cfg.OnFailure(errors.Errorf("the tokens held here are not known any more: %v", p))
	}
}

// Drain refuses new requests, settles all bills and returns all tokens. It ends when
// nothing is left or with ctx; Run must still be running.
func (m *Manager) Drain(ctx context.Context) error {
	m.step(m.holder.Drain)
	if m.isClosed() {
		return errkind.New(errkind.Internal, "grants not returned, what is held here is not known; they stay locked until recovery")
	}
	ticker := time.NewTicker(m.cfg.Tick / 4)
	defer ticker.Stop()
	for {
		m.mu.Lock()
		idle := m.holder.Idle()
		m.mu.Unlock()
		if idle {
			return nil
		}
		select {
		case <-ctx.Done():
			return errkind.New(errkind.NoQuorum, "grants not returned in time; they stay locked until recovery")
		case <-ticker.C:
			m.step(m.holder.Tick)
		}
	}
}

// Levels lists what this host holds of each budget.
func (m *Manager) Levels() []grant.Level {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.Levels()
}

// Fence refuses transfers of a dead incarnation and returns those accepted from it that
// the ledger hasn't acknowledged.
func (m *Manager) Fence(dead *pb.Holder) []*pb.Transfer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.Fence(dead)
}

// MarkTransferSettled forgets a given transfer that the ledger knows; the records controller
// calls it when the receiver says so.
func (m *Manager) MarkTransferSettled(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holder.MarkTransferSettled(time.Now(), id)
}

// step feeds one input to the holder and carries out its output.
func (m *Manager) step(input func(now time.Time) grant.Output) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.stopOnPanic()
	m.holder.SetPeers(m.cfg.Asker.Peers())
	out := input(time.Now())
	m.execute(out)
}

func (m *Manager) isClosed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.closed
}

// call runs f beside the manager's own loop; m.mu is held and m not closed.
func (m *Manager) call(f func()) {
	m.wg.Go(func() {
		defer panics.Log(m.cfg.Log, "a call of the grants")
		f()
	})
}

// execute delivers decisions and starts calls; m.mu is held.
func (m *Manager) execute(out grant.Output) {
	for _, d := range out.Decisions {
		m.decide(d)
	}
	if m.closed {
		return
	}
	for _, msg := range out.Acquires {
		m.call(func() { m.acquire(msg) })
	}
	if out.Batch != nil {
		m.call(func() { m.settle(out.Batch) })
	}
	for _, ask := range out.Asks {
		m.call(func() { m.ask(ask) })
	}
}

// decide ends one Reserve; m.mu is held. Each channel has room for its one decision.
func (m *Manager) decide(d grant.Decision) {
	ch, ok := m.waiting[d.Request]
	if !ok {
		return
	}
	delete(m.waiting, d.Request)
	ch <- d.Refusal()
	if d.Err == nil {
		metrics.Add("reserved", 1)
		return
	}
	metrics.Add("refused_"+string(d.Err.Kind), 1)
}
