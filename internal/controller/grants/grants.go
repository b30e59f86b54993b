// Package grants runs a grant.Holder: it implements the request chain's Budget port,
// sends the holder's messages to the control group and to peers, and passes the answers
// to the holder.
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

// Asker asks peers for tokens.
type Asker interface {
	AskTokens(ctx context.Context, host string, req *pb.AskTokensRequest) (*pb.AskTokensReply, error)
	// Peers returns the names of the other hosts that seem reachable. It must not call the
	// Manager.
	Peers() []string
}

// TransferRecorder keeps copies of transfers at third hosts, so that the same tokens are
// not released twice if both sender and receiver die.
type TransferRecorder interface {
	// CopyTransfer returns nil once a third host holds the copy, or if none can be reached.
	CopyTransfer(ctx context.Context, t *pb.Transfer) error
	// AbandonTransfer makes void a transfer whose receiver got no reply. It returns nil once
	// every host that may hold a copy knows that the transfer is void.
	AbandonTransfer(ctx context.Context, t *pb.Transfer) error
	// TransferSettled allows the copies to be dropped because the ledger has recorded the
	// transfer.
	TransferSettled(t *pb.Transfer)
}

// Defaults of Config.
const (
	defaultTick           = 50 * time.Millisecond
	defaultProposeTimeout = time.Second
	defaultAskTimeout     = 250 * time.Millisecond
	defaultCopyTimeout    = 150 * time.Millisecond
	// policyInterval is how often the policies of held budgets are refreshed.
	policyInterval = time.Second
	// transferRetryInterval is how often a transfer without its copies is retried, even if
	// its receiver has stopped: otherwise its tokens would stay deducted.
	transferRetryInterval = time.Second
)

// Config configures a Manager. Zero durations are replaced by the defaults.
type Config struct {
	Self     *pb.Holder
	Holder   grant.Config
	Proposer Proposer
	Asker    Asker
	Recorder TransferRecorder
	// PolicyFor returns the policy in force for a budget. It must not call the Manager. If it
	// is nil, all budgets have the default policy.
	PolicyFor func(budget string) grant.Policy
	// OnSettled is called with the bills that the ledger acknowledged; may be nil.
	OnSettled func(bills []*pb.Bill)
	// OnFailure is called when the manager's state may be inconsistent and the manager grants
	// no more tokens. It must not call the Manager; may be nil.
	OnFailure func(error)
	Log       zerolog.Logger
	// Seed seeds the random order in which peers are asked.
	Seed           int64
	Tick           time.Duration
	ProposeTimeout time.Duration
	AskTimeout     time.Duration
	CopyTimeout    time.Duration
}

// Manager runs one holder. Its methods are safe for concurrent use.
type Manager struct {
	cfg Config
	// ctx is canceled to end the manager's own calls; wg counts them.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	holder *grant.Holder
	// waiting holds the channels of the Reserve calls without a decision, by request id.
	waiting map[string]chan error
	// outgoing holds the ids of the transfers to peers whose copies are being made or undone.
	outgoing map[string]struct{}
	// flushScheduled is true while a timer for the next batch runs.
	flushScheduled bool
	// closed is true if no more tokens are reserved and no more calls begin.
	closed bool
	// ledgerUnreachable is true if the last batch got no answer.
	ledgerUnreachable atomic.Bool
}

var _ filter.Budget = (*Manager)(nil)

// New returns a Manager. Run must be called for resends and settlement.
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
		holder:   grant.New(cfg.Self, cfg.Holder, rand.New(rand.NewSource(cfg.Seed))),
		waiting:  make(map[string]chan error),
		outgoing: make(map[string]struct{}),
	}
}

// Run drives resends and settlement until ctx ends. It returns when all calls of the manager
// have ended.
func (m *Manager) Run(ctx context.Context) {
	currentManager.Store(m)
	ticker := time.NewTicker(m.cfg.Tick)
	defer ticker.Stop()
	transfers := time.NewTicker(transferRetryInterval)
	defer transfers.Stop()
	policies := time.NewTicker(policyInterval)
	defer policies.Stop()
	for {
		select {
		case <-ctx.Done():
			m.close()
			return
		case <-transfers.C:
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

// close rejects the waiting requests and ends all calls.
func (m *Manager) close() {
	m.mu.Lock()
	m.stopGranting()
	m.mu.Unlock()
	m.cancel()
	m.wg.Wait()
}

// stopGranting ends all granting of tokens and rejects the waiting requests; m.mu is held.
func (m *Manager) stopGranting() {
	m.closed = true
	for id, ch := range m.waiting {
		ch <- errkind.New(errkind.HostLeaving, "this host is shutting down")
		delete(m.waiting, id)
	}
}

// stopOnPanic recovers a panic in the middle of a change of the holder. Each function that
// changes the holder defers it; it runs while m.mu is held.
//
// After such a panic the holder's state may be half changed, and granting from it could
// grant the same tokens twice. Exiting at once would fail all requests of this host. So the
// manager reserves no more tokens, sends the ledger nothing more, and has the process shut
// down in order; the tokens held here stay locked under this incarnation.
func (m *Manager) stopOnPanic() {
	p := recover()
	if p == nil {
		return
	}
	panics.Report(m.cfg.Log, "grants", p)
	m.stopGranting()
	if m.cfg.OnFailure != nil {
		m.cfg.OnFailure(errors.Errorf("panic during a change of the grants; the number of tokens held here is unknown: %v", p))
	}
}

// Drain rejects new requests, settles all bills and returns all tokens to the ledger. It
// returns when no tokens are held any more or ctx ends; Run must still be running.
func (m *Manager) Drain(ctx context.Context) error {
	m.step(m.holder.Drain)
	if m.isClosed() {
		return errkind.New(errkind.Internal, "grants not returned because the number of tokens held here is unknown; they stay locked until recovery")
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
			return errkind.New(errkind.NoQuorum, "grants not returned to the ledger in time; they stay locked until recovery")
		case <-ticker.C:
			m.step(m.holder.Tick)
		}
	}
}

// Levels lists the tokens that this host holds of each budget.
func (m *Manager) Levels() []grant.Level {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.Levels()
}

// Fence rejects further transfers from a dead incarnation and returns those accepted from it
// that the ledger hasn't acknowledged.
func (m *Manager) Fence(dead *pb.Holder) []*pb.Transfer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.Fence(dead)
}

// MarkTransferSettled drops a transfer to a peer that the ledger has recorded; the records
// controller calls it when the receiver reports that.
func (m *Manager) MarkTransferSettled(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holder.MarkTransferSettled(time.Now(), id)
}

// step passes one input to the holder and executes its output.
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

// call runs f in a separate goroutine; m.mu is held and m is not closed.
func (m *Manager) call(f func()) {
	m.wg.Go(func() {
		defer panics.Log(m.cfg.Log, "a call of the grants manager")
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

// decide ends one Reserve; m.mu is held. Each channel is buffered for its one decision.
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
