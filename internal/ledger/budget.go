package ledger

import (
	"maps"
	"math"
	"slices"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/ledger/window"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// budget is one prepaid budget.
type budget struct {
	number  uint32
	name    string
	account string
	funded  uint64
	billed  uint64
	bills   uint64
	// operatorFunds is the total that operators funded. It is below funded only while more
	// than operatorFunds is billed or granted; see SetFunds.
	operatorFunds uint64
	// granted is the sum of all grants; it is changed only in setGrant and dropGrant.
	granted uint64
	// activeHolders is the number of holders that have tokens.
	activeHolders uint64
	// holders maps incarnations, which are unique across hosts, to their grants.
	holders   map[uint64]grant
	statement statement
}

// grant is one holder's grant of a budget.
type grant struct {
	tokens uint64
	// reserve is the part of tokens that the holder may spend only while the ledger is
	// unreachable; see package reserve.
	reserve     uint64
	reserveRate reserveRate
	// seq, lastAmount and lastReserve are the number and the result of the last Acquire,
	// to answer a resend of it.
	seq         uint64
	lastAmount  uint64
	lastReserve uint64
}

func (b *budget) free() uint64 { return b.funded - b.billed - b.granted }

// reduceFunds deducts tokens that were returned to a lowered budget from its funds.
func (b *budget) reduceFunds() {
	if b.operatorFunds < b.funded {
		b.funded = max(b.operatorFunds, b.billed+b.granted)
	}
}

// setGrant sets a holder's tokens of a budget.
func (s *State) setGrant(b *budget, incarnation, tokens uint64) {
	s.registry.updateBudgetCount(incarnation, b.holders[incarnation].tokens, tokens)
	b.setGrant(incarnation, tokens)
}

// setGrant sets a holder's tokens and updates the totals. Other code uses State.setGrant.
func (b *budget) setGrant(incarnation, tokens uint64) {
	g := b.holders[incarnation]
	b.updateTotals(g.tokens, tokens)
	g.tokens = tokens
	g.reserve = min(g.reserve, tokens) // the open part is spent first
	b.holders[incarnation] = g
}

// unlock moves tokens from a holder's reserve to the open part of its grant.
func (b *budget) unlock(incarnation, tokens uint64) {
	g := b.holders[incarnation]
	g.reserve -= min(g.reserve, tokens)
	b.holders[incarnation] = g
}

func (b *budget) updateTotals(before, after uint64) {
	b.granted = b.granted - before + after
	if before > 0 {
		b.activeHolders--
	}
	if after > 0 {
		b.activeHolders++
	}
}

// dropGrant removes a holder and returns the tokens that it had.
func (b *budget) dropGrant(incarnation uint64) uint64 {
	g := b.holders[incarnation]
	b.updateTotals(g.tokens, 0)
	delete(b.holders, incarnation)
	return g.tokens
}

func (b *budget) proto(g *registry) *pb.Budget {
	p := b.summary()
	for _, inc := range slices.Sorted(maps.Keys(b.holders)) {
		held := b.holders[inc]
		p.Granted = append(p.Granted, &pb.Granted{
			Holder: g.holder(inc), Tokens: held.tokens, AcquireSeq: held.seq, LastAmount: held.lastAmount,
			Reserve: held.reserve,
		})
	}
	return p
}

func (b *budget) summary() *pb.Budget {
	return &pb.Budget{Name: b.name, Account: b.account, Funded: b.funded, Billed: b.billed, Bills: b.bills}
}

func (b *budget) level() *pb.BudgetLevel {
	return &pb.BudgetLevel{Budget: b.name, Funded: b.funded, Billed: b.billed, Free: b.free()}
}

// operatorResult is the remembered result of one accepted CreateBudget or TopUp. It is
// kept forever: an operator may resend a top-up long after its answer was lost, and
// funding the budget twice would violate the guarantee that no budget is overspent.
type operatorResult struct {
	budget uint32
	create bool
	tokens uint64
	funded uint64
	billed uint64
}

// CreateBudget creates a budget. A resend of the operation gets the first answer.
func (s *State) CreateBudget(r Record, c *pb.CreateBudget) (first *pb.Budget, resend bool, err error) {
	if c.Name == "" {
		return nil, false, errkind.New(errkind.BadRequest, "the budget has no name")
	}
	if first, err = s.findOperation(r.OpID, c.Name, true, c.Tokens); first != nil || err != nil {
		return first, err == nil, err
	}
	if _, ok := s.budgets[c.Name]; ok {
		return nil, false, errkind.New(errkind.AlreadyExists, "budget %q already exists", c.Name)
	}
	b := s.addBudget(r, c)
	return s.recordOperation(r.OpID, b, true, c.Tokens), false, nil
}

// addBudget adds a new budget.
func (s *State) addBudget(r Record, c *pb.CreateBudget) *budget {
	b := &budget{
		number: uint32(len(s.byNumber)), name: c.Name, account: c.Account, funded: c.Tokens, operatorFunds: c.Tokens,
		holders:   make(map[uint64]grant),
		statement: statement{limit: s.options.StatementLines},
	}
	s.budgets[c.Name] = b
	s.byNumber = append(s.byNumber, b)
	b.statement.append(line{Index: r.Index, TimeMs: r.Now, Kind: lineCreate, Tokens: c.Tokens, Actor: r.Actor, Note: c.Note})
	checkInvariant(b)
	return b
}

// SetFunds sets the total funds of a budget, and creates the budget if it is new.
//
// A total below what is billed and granted can't take effect immediately, as holders may
// have spent what they were granted. Nothing more is granted then, and returned tokens are
// deducted from the budget's funds, until these are down to the total. Holders that see the
// lower total return what they have not spent, so that this takes one round of messages.
func (s *State) SetFunds(r Record, name, account string, total uint64) {
	b := s.budgets[name]
	if b == nil {
		s.addBudget(r, &pb.CreateBudget{Name: name, Account: account, Tokens: total})
		return
	}
	if total == b.operatorFunds {
		return
	}
	kind := lineTopUp
	if total < b.operatorFunds {
		kind = lineLowered
	}
	b.operatorFunds = total
	b.funded = max(total, b.billed+b.granted)
	b.statement.append(line{Index: r.Index, TimeMs: r.Now, Kind: kind, Tokens: total, Actor: r.Actor})
	checkInvariant(b)
}

// TopUp adds tokens to a budget, at most once per operation id. A resend of the
// operation gets the first answer.
func (s *State) TopUp(r Record, t *pb.TopUp) (first *pb.Budget, resend bool, err error) {
	if first, err = s.findOperation(r.OpID, t.Budget, false, t.Tokens); first != nil || err != nil {
		return first, err == nil, err
	}
	b, err := s.find(t.Budget)
	if err != nil {
		return nil, false, errkind.New(errkind.NotFound, "no budget %q", t.Budget)
	}
	total, ok := add(b.operatorFunds, t.Tokens)
	if !ok || t.Tokens == 0 {
		return nil, false, errkind.New(errkind.BadRequest, "%d tokens can't be added to %d", t.Tokens, b.operatorFunds)
	}
	b.operatorFunds = total
	b.funded = max(total, b.billed+b.granted)
	b.statement.append(line{Index: r.Index, TimeMs: r.Now, Kind: lineTopUp, Tokens: t.Tokens, Actor: r.Actor, Note: t.Note})
	checkInvariant(b)
	return s.recordOperation(r.OpID, b, false, t.Tokens), false, nil
}

// findOperation looks up the result of an operation. It returns nil, nil for a new one
// and rejects an id that was used for another operation.
func (s *State) findOperation(opID, name string, create bool, tokens uint64) (*pb.Budget, error) {
	if opID == "" {
		return nil, errkind.New(errkind.BadRequest, "a change of funds needs an operation id, so that a resend can be recognized")
	}
	a, ok := s.operations[window.KeyOf(opID)]
	if !ok {
		return nil, nil
	}
	b := s.byNumber[a.budget]
	if b.name != name || a.create != create || a.tokens != tokens {
		return nil, errkind.New(errkind.KeyConflict, "operation id %q was already used for another change of funds", opID)
	}
	return a.proto(b), nil
}

func (s *State) recordOperation(opID string, b *budget, create bool, tokens uint64) *pb.Budget {
	a := operatorResult{budget: b.number, create: create, tokens: tokens, funded: b.funded, billed: b.billed}
	s.operations[window.KeyOf(opID)] = a
	return a.proto(b)
}

func (a operatorResult) proto(b *budget) *pb.Budget {
	return &pb.Budget{Name: b.name, Account: b.account, Funded: a.funded, Billed: a.billed}
}

// Acquire grants tokens of a budget to a live holder. A resend with the last sequence
// number gets the same amount and grants nothing.
func (s *State) Acquire(r Record, a *pb.Acquire) (*pb.AcquireResult, error) {
	inc, err := s.registry.live(a.Holder)
	if err != nil {
		return nil, err
	}
	b, err := s.find(a.Budget)
	if err != nil {
		return nil, err
	}
	g := b.holders[inc]
	if a.Seq < g.seq || a.Seq == 0 {
		e := errkind.New(errkind.VersionConflict, "acquire %d of budget %q is older than %d", a.Seq, b.name, g.seq)
		e.PresentVersion = g.seq
		return nil, e
	}
	if a.Seq > g.seq {
		s.acquire(r, b, inc, a)
		g = b.holders[inc]
		checkInvariant(b)
	}
	return &pb.AcquireResult{
		Amount: g.lastAmount, Reserve: g.lastReserve, Free: b.free(), Funded: b.funded, Billed: b.billed, Seq: a.Seq,
	}, nil
}

// acquire executes an Acquire that is not a resend.
func (s *State) acquire(r Record, b *budget, inc uint64, a *pb.Acquire) {
	b.unlock(inc, a.Unlock)
	amount := b.grantSize(inc, a.Need, min(a.Want, a.Need+b.allowedAhead(a)))
	s.setGrant(b, inc, b.holders[inc].tokens+amount)
	added := b.grantSize(inc, 0, min(a.Reserve, b.allowedAhead(a)))
	s.setGrant(b, inc, b.holders[inc].tokens+added)
	g := b.holders[inc]
	g.reserve += added
	g.reserveRate.set(a.Rate, r.Now, s.registry.unrecovered[inc].Confirmed)
	g.seq, g.lastAmount, g.lastReserve = a.Seq, amount, added
	b.holders[inc] = g
}

// allowedAhead returns how much may be granted beyond need, so that all holders together
// hold at most the part of the unbilled funds given by AtRiskPermille of the Acquire.
func (b *budget) allowedAhead(a *pb.Acquire) uint64 {
	if a.AtRiskPermille == 0 {
		return math.MaxUint64 - a.Need
	}
	const permille = 1000
	limit := (b.funded - b.billed) / permille * uint64(a.AtRiskPermille)
	return limit - min(limit, b.granted)
}

// grantSize returns how many of the free tokens an Acquire gets: the need, or all free
// tokens if they are fewer (the holder may have enough others to make up the need), and
// beyond the need up to want within this holder's share. A share is half of the free tokens
// divided by the number of holders with tokens, so that shares shrink as the budget runs
// low and the last tokens are not stranded at holders that don't need them.
func (b *budget) grantSize(incarnation, need, want uint64) uint64 {
	free := b.free()
	if free <= need {
		return free
	}
	holders := b.activeHolders
	if b.holders[incarnation].tokens == 0 {
		holders++
	}
	share := free / (2 * holders)
	return max(need, min(want, share))
}
