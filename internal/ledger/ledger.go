// Package ledger implements the replicated ledger of prepaid token budgets: the tokens
// that are funded, billed, and granted to each holder, and which holders are alive. It
// is a pure state machine: it takes the log's records with their times and returns
// answers, and every replica computes the same state.
//
// Invariant of every budget after every record: billed + sum(granted) <= funded.
// Amounts are whole tokens.
package ledger

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/ledger/window"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// defaultStatementLines is the number of lines kept of each budget's statement.
	defaultStatementLines = 1000
	// defaultMaxIdentities bounds the identities remembered for disconnected holders.
	defaultMaxIdentities = 4_000_000
	// defaultWindow is the idempotency window if the settings contain none.
	defaultWindow = 10 * time.Minute
	// defaultLongestRequest is how long a request may run if the settings contain no limit.
	defaultLongestRequest = 15 * time.Minute
)

// Options bound the ledger's memory; a zero field takes the default.
type Options struct {
	// StatementLines is the number of lines kept of each budget's statement; default 1000.
	StatementLines int
	// MaxIdentities bounds the identities remembered for disconnected holders; default
	// 4,000,000.
	MaxIdentities int
}

// Record is the metadata of one record of the log.
type Record struct {
	// Index is the record's index in the log.
	Index uint64
	// Now is the applied time in Unix milliseconds; it never decreases.
	Now int64
	// OpID is the id of the operator's operation.
	OpID string
	// Actor is the name of whoever requested the change.
	Actor string
}

// Counters are totals since the ledger was created.
type Counters struct {
	// Duplicates are bills whose identity was billed before.
	Duplicates uint64 `json:"duplicates"`
	// Expired are bills refused because a duplicate might have been forgotten.
	Expired uint64 `json:"expired"`
	// Capped are bills of dead holders that exceeded what was granted.
	Capped uint64 `json:"capped"`
}

// State is the state of the ledger.
type State struct {
	options    Options
	budgets    map[string]*budget
	byNumber   []*budget
	registry   registry
	billed     billedIdentities
	transfers  map[string]transfer
	operations map[window.Key]operatorResult
	counters   Counters
}

// New returns an empty ledger.
func New(o Options) *State {
	defaults.Set(&o.StatementLines, defaultStatementLines)
	defaults.Set(&o.MaxIdentities, defaultMaxIdentities)
	return &State{
		options:    o,
		budgets:    make(map[string]*budget),
		registry:   newRegistry(),
		billed:     newBilledIdentities(o.MaxIdentities),
		transfers:  make(map[string]transfer),
		operations: make(map[window.Key]operatorResult),
	}
}

// SetLimits sets the idempotency window and the maximum duration of a request; both
// determine how long identities must be remembered.
func (s *State) SetLimits(idempotencyWindow, longestRequest time.Duration) {
	s.billed.setLimits(idempotencyWindow, longestRequest)
}

// Counters returns the totals since the ledger was created.
func (s *State) Counters() Counters { return s.counters }

// Budget returns one budget with its grants.
func (s *State) Budget(name string) (*pb.Budget, error) {
	b, err := s.find(name)
	if err != nil {
		return nil, err
	}
	return b.proto(&s.registry), nil
}

// Budgets returns all budgets, sorted by name.
func (s *State) Budgets() []*pb.Budget {
	var out []*pb.Budget
	for _, name := range slices.Sorted(maps.Keys(s.budgets)) {
		out = append(out, s.budgets[name].proto(&s.registry))
	}
	return out
}

// Statement returns the last lines of a budget's statement, oldest first; limit 0 means
// all lines that are kept.
func (s *State) Statement(name string, limit int) ([]*pb.StatementLine, error) {
	b, err := s.find(name)
	if err != nil {
		return nil, err
	}
	return b.statement.last(limit), nil
}

// Bill returns what is remembered of a billed identity. The request id and the time are
// set only while the budget's statement still contains the line.
func (s *State) Bill(identity string) (*pb.Bill, error) {
	ref, ok := s.billed.get(window.KeyOf(identity))
	if !ok {
		return nil, errkind.New(errkind.NotFound, "no bill for this identity is remembered")
	}
	b := s.byNumber[ref.budget()]
	bill := &pb.Bill{Budget: b.name, Identity: identity, Tokens: ref.tokens()}
	if line := b.statement.findBill(identity); line != nil {
		bill.Tokens, bill.RequestId, bill.TimeMs = line.Tokens, line.RequestID, line.TimeMs
	}
	return bill, nil
}

func (s *State) find(name string) (*budget, error) {
	b, ok := s.budgets[name]
	if !ok {
		return nil, errkind.New(errkind.BudgetUnknown, "no budget %q", name)
	}
	return b, nil
}

// checkInvariant panics if more of b is billed and granted than it was funded with. A fault
// in this package, or a damaged snapshot, would otherwise let public money be spent twice.
// Stopping the replica is the smaller harm: the record that violated the invariant is
// reported, and the holders continue with the tokens that they hold.
func checkInvariant(b *budget) {
	committed, ok := add(b.billed, b.granted)
	if !ok || committed > b.funded {
		panic(fmt.Sprintf("ledger: budget %q violates billed + granted <= funded: billed %d, granted %d, funded %d",
			b.name, b.billed, b.granted, b.funded))
	}
}

// add returns a+b, and false if the sum overflows.
func add(a, b uint64) (uint64, bool) {
	if a > math.MaxUint64-b {
		return 0, false
	}
	return a + b, true
}
