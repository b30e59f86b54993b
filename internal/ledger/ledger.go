// Package ledger is the replicated account book of prepaid token budgets: what is
// funded and billed, what is granted to which holder, and which holders live. It
// is a pure state machine: the log's records and their times go in, answers come
// out, and every replica computes the same.
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
	// defaultStatementLines is how many lines of each budget's statement are kept.
	defaultStatementLines = 1000
	// defaultMaxIdentities bounds the identities remembered for holders out of contact.
	defaultMaxIdentities = 4_000_000
	// defaultWindow is the idempotency window where the settings name none.
	defaultWindow = 10 * time.Minute
	// defaultLongestRequest is how long a request may run where the settings name nothing.
	defaultLongestRequest = 15 * time.Minute
)

// Options bound the ledger's memory; a zero field takes the default.
type Options struct {
	// StatementLines is how many lines of each budget's statement are kept; default 1000.
	StatementLines int
	// MaxIdentities bounds the identities remembered for holders out of contact;
	// default 4,000,000.
	MaxIdentities int
}

// Record is the place and time of one record of the log.
type Record struct {
	// Index in the log.
	Index uint64
	// Now is the applied time in Unix milliseconds; it never goes back.
	Now int64
	// OpID is the operator's operation id.
	OpID string
	// Actor is who asked.
	Actor string
}

// Counters are totals since the ledger began.
type Counters struct {
	// Duplicates are bills whose identity was billed before.
	Duplicates uint64 `json:"duplicates"`
	// Expired are bills refused because a duplicate might have been forgotten.
	Expired uint64 `json:"expired"`
	// Capped are bills of dead holders that were above what was granted.
	Capped uint64 `json:"capped"`
}

// State is the ledger.
type State struct {
	options   Options
	budgets   map[string]*budget
	byNumber  []*budget
	registry  registry
	billed    billedIdentities
	transfers map[string]transfer
	operations map[window.Key]operatorResult
	counters  Counters
}

// New makes an empty ledger.
func New(o Options) *State {
	defaults.Set(&o.StatementLines, defaultStatementLines)
	defaults.Set(&o.MaxIdentities, defaultMaxIdentities)
	return &State{
		options:   o,
		budgets:   make(map[string]*budget),
		registry:  newRegistry(),
		billed:    newBilledIdentities(o.MaxIdentities),
		transfers: make(map[string]transfer),
		operations: make(map[window.Key]operatorResult),
	}
}

// SetLimits sets the idempotency window and how long a request may run; both say
// how long identities must be remembered.
func (s *State) SetLimits(idempotencyWindow, longestRequest time.Duration) {
	s.billed.setLimits(idempotencyWindow, longestRequest)
}

// Counters returns the totals.
func (s *State) Counters() Counters { return s.counters }

// Budget returns one budget as the ledger has it.
func (s *State) Budget(name string) (*pb.Budget, error) {
	b, err := s.find(name)
	if err != nil {
		return nil, err
	}
	return b.proto(&s.registry), nil
}

// Budgets returns all budgets, by name.
func (s *State) Budgets() []*pb.Budget {
	var out []*pb.Budget
	for _, name := range slices.Sorted(maps.Keys(s.budgets)) {
		out = append(out, s.budgets[name].proto(&s.registry))
	}
	return out
}

// Statement returns the last lines of a budget's statement, oldest first; limit 0 means all kept.
func (s *State) Statement(name string, limit int) ([]*pb.StatementLine, error) {
	b, err := s.find(name)
	if err != nil {
		return nil, err
	}
	return b.statement.last(limit), nil
}

// Bill returns what is remembered of a billed identity. Request id and time are
// there only while the budget's statement still has the line.
func (s *State) Bill(identity string) (*pb.Bill, error) {
	ref, ok := s.billed.get(window.KeyOf(identity))
	if !ok {
		return nil, errkind.New(errkind.NotFound, "no bill of this identity is remembered")
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

// checkInvariant panics if b promises more than it was funded with. What goes
// wrong: a fault in this package (or a damaged snapshot) would let public money be
// spent twice over. Stopping the replica is the smaller harm: the record that
// broke the invariant is named, and the holders go on with what they hold.
func checkInvariant(b *budget) {
	promised, ok := add(b.billed, b.granted)
	if !ok || promised > b.funded {
		panic(fmt.Sprintf("ledger: budget %q breaks billed + granted <= funded: billed %d, granted %d, funded %d",
			b.name, b.billed, b.granted, b.funded))
	}
}

// add returns a+b and whether it fits.
func add(a, b uint64) (uint64, bool) {
	if a > math.MaxUint64-b {
		return 0, false
	}
	return a + b, true
}
