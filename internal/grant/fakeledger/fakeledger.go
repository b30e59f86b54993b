// Package fakeledger is a small in-memory ledger for tests and measurements of the
// entry host's side of budgets. It follows the rules that the protobuf schema states for
// Acquire, Settle, Transfer and RecoverHolder, and checks its invariant after every
// change, so that it serves as the oracle of those tests.
package fakeledger

import (
	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Key is a holder as a map key.
type Key struct {
	Host        string
	Incarnation uint64
}

// KeyOf returns h as a map key.
func KeyOf(h *pb.Holder) Key { return Key{h.GetHost(), h.GetIncarnation()} }

// Grant is one holder's grant of a budget.
type Grant struct {
	Tokens     uint64
	AcquireSeq uint64
	LastAmount uint64
}

// Budget is one prepaid budget.
type Budget struct {
	Funded, Billed uint64
	Granted        map[Key]*Grant
}

// Ledger is the fake ledger. It is not safe for concurrent use.
type Ledger struct {
	Budgets map[string]*Budget
	// Bills holds the tokens billed for each identity.
	Bills map[string]uint64
	// Faults lists violated rules, such as a bill, return or transfer that exceeds the grant.
	Faults []error

	settled   map[Key]uint64
	answers   map[Key]*pb.SettleResult
	transfers map[string]struct{}
	recovered map[Key]struct{}
}

// New returns a ledger without budgets.
func New() *Ledger {
	return &Ledger{
		Budgets: make(map[string]*Budget), Bills: make(map[string]uint64),
		settled: make(map[Key]uint64), answers: make(map[Key]*pb.SettleResult),
		transfers: make(map[string]struct{}), recovered: make(map[Key]struct{}),
	}
}

// Fund adds tokens to a budget, and creates it if necessary.
func (l *Ledger) Fund(name string, tokens uint64) {
	b, ok := l.Budgets[name]
	if !ok {
		b = &Budget{Granted: make(map[Key]*Grant)}
		l.Budgets[name] = b
	}
	b.Funded += tokens
}

// Free returns the tokens that can still be granted.
func (b *Budget) Free() uint64 {
	used := b.Billed + b.Outstanding()
	return b.Funded - min(b.Funded, used)
}

// Outstanding returns the sum of all grants.
func (b *Budget) Outstanding() uint64 {
	var sum uint64
	for _, g := range b.Granted {
		sum += g.Tokens
	}
	return sum
}

func (b *Budget) grant(k Key) *Grant {
	g, ok := b.Granted[k]
	if !ok {
		g = &Grant{}
		b.Granted[k] = g
	}
	return g
}

func (l *Ledger) fault(format string, args ...any) {
	l.Faults = append(l.Faults, errors.Errorf(format, args...))
}

func (l *Ledger) check(name string) {
	b := l.Budgets[name]
	if b.Billed+b.Outstanding() > b.Funded {
		l.fault("budget %s: billed %d + granted %d exceeds funded %d", name, b.Billed, b.Outstanding(), b.Funded)
	}
}

// Apply applies one command and returns its result.
func (l *Ledger) Apply(cmd *pb.Command) *pb.CommandResult {
	switch body := cmd.GetBody().(type) {
	case *pb.Command_Acquire:
		return l.acquire(body.Acquire)
	case *pb.Command_Settle:
		return l.settle(body.Settle)
	case *pb.Command_RecoverHolder:
		return l.recover(body.RecoverHolder)
	}
	return refusal(errkind.BadRequest, "command not supported by the fake ledger")
}

func refusal(k errkind.Kind, message string) *pb.CommandResult {
	return &pb.CommandResult{Error: &pb.Error{Kind: string(k), Message: message}}
}

// grantSize follows the real ledger: it returns the need, or all free tokens if they are
// fewer, and beyond the need up to want within a share of half of the free tokens divided by
// the number of holders that have tokens.
func (b *Budget) grantSize(g *Grant, need, want uint64) uint64 {
	free := b.Free()
	if free <= need {
		return free
	}
	holders := uint64(0)
	for _, other := range b.Granted {
		if other.Tokens > 0 || other == g {
			holders++
		}
	}
	return max(need, min(want, free/(2*holders)))
}

func (l *Ledger) acquire(a *pb.Acquire) *pb.CommandResult {
	k := KeyOf(a.GetHolder())
	b, ok := l.Budgets[a.GetBudget()]
	if !ok {
		return refusal(errkind.BudgetUnknown, a.GetBudget())
	}
	if _, dead := l.recovered[k]; dead {
		return refusal(errkind.StaleFence, "holder is dead")
	}
	g := b.grant(k)
	if a.GetSeq() == g.AcquireSeq+1 {
		amount := b.grantSize(g, a.GetNeed(), a.GetWant())
		g.Tokens += amount
		g.AcquireSeq, g.LastAmount = a.GetSeq(), amount
	} else if a.GetSeq() != g.AcquireSeq {
		return refusal(errkind.BadRequest, "acquire out of order")
	}
	l.check(a.GetBudget())
	return &pb.CommandResult{Body: &pb.CommandResult_Acquire{Acquire: &pb.AcquireResult{
		Amount: g.LastAmount, Free: b.Free(), Funded: b.Funded, Billed: b.Billed, Seq: a.GetSeq(),
	}}}
}

// LastSettled returns the sequence number of the holder's last applied batch.
func (l *Ledger) LastSettled(h *pb.Holder) uint64 { return l.settled[KeyOf(h)] }

func (l *Ledger) settle(s *pb.Settle) *pb.CommandResult {
	k := KeyOf(s.GetHolder())
	if _, dead := l.recovered[k]; dead {
		return refusal(errkind.StaleFence, "holder is dead")
	}
	if s.GetSeq() == l.settled[k] {
		return &pb.CommandResult{Resend: true, Body: &pb.CommandResult_Settle{Settle: l.answers[k]}}
	}
	if s.GetSeq() != l.settled[k]+1 {
		return refusal(errkind.BadRequest, "settlement out of order")
	}
	for _, t := range s.GetTransfers() {
		l.transfer(t)
	}
	result := &pb.SettleResult{Seq: s.GetSeq()}
	seen := make(map[string]bool)
	for _, bill := range s.GetBills() {
		if !l.bill(k, bill) {
			result.Duplicates = append(result.Duplicates, bill.GetIdentity())
		}
		seen[bill.GetBudget()] = true
	}
	for _, spend := range s.GetSpends() {
		l.spend(k, spend)
	}
	for _, r := range s.GetReturns() {
		l.returnTokens(k, r.GetBudget(), r.GetTokens())
	}
	for name := range seen {
		b := l.Budgets[name]
		result.Levels = append(result.Levels, &pb.BudgetLevel{Budget: name, Funded: b.Funded, Billed: b.Billed, Free: b.Free()})
	}
	l.settled[k], l.answers[k] = s.GetSeq(), result
	return &pb.CommandResult{Body: &pb.CommandResult_Settle{Settle: result}}
}

// bill deducts a bill from k's grant; it returns false if the identity was already billed.
func (l *Ledger) bill(k Key, bill *pb.Bill) bool {
	if _, known := l.Bills[bill.GetIdentity()]; known {
		return false
	}
	b := l.Budgets[bill.GetBudget()]
	g := b.grant(k)
	if bill.GetTokens() > g.Tokens {
		l.fault("%v bills %d tokens to %s but holds only %d", k, bill.GetTokens(), bill.GetBudget(), g.Tokens)
	}
	l.Bills[bill.GetIdentity()] = bill.GetTokens()
	g.Tokens -= min(g.Tokens, bill.GetTokens())
	b.Billed += bill.GetTokens()
	l.check(bill.GetBudget())
	return true
}

// spend deducts tokens that are billed without an identity from k's grant.
func (l *Ledger) spend(k Key, p *pb.Spend) {
	b := l.Budgets[p.GetBudget()]
	g := b.grant(k)
	if p.GetTokens() > g.Tokens {
		l.fault("%v spends %d tokens of %s but holds only %d", k, p.GetTokens(), p.GetBudget(), g.Tokens)
	}
	g.Tokens -= min(g.Tokens, p.GetTokens())
	b.Billed += p.GetTokens()
	l.check(p.GetBudget())
}

func (l *Ledger) returnTokens(k Key, budget string, tokens uint64) {
	g := l.Budgets[budget].grant(k)
	if tokens > g.Tokens {
		l.fault("%v returns %d tokens of %s but holds only %d", k, tokens, budget, g.Tokens)
	}
	g.Tokens -= min(g.Tokens, tokens)
}

// transfer moves granted tokens, once per transfer id.
func (l *Ledger) transfer(t *pb.Transfer) {
	if _, known := l.transfers[t.GetId()]; known {
		return
	}
	l.transfers[t.GetId()] = struct{}{}
	b := l.Budgets[t.GetBudget()]
	from := b.grant(KeyOf(t.GetFrom()))
	if t.GetTokens() > from.Tokens {
		l.fault("transfer %s moves %d tokens of %s but the sender's grant is %d", t.GetId(), t.GetTokens(), t.GetBudget(), from.Tokens)
		return
	}
	from.Tokens -= t.GetTokens()
	b.grant(KeyOf(t.GetTo())).Tokens += t.GetTokens()
}

// recover settles a dead holder's bills and releases the rest of its grants.
func (l *Ledger) recover(r *pb.RecoverHolder) *pb.CommandResult {
	k := KeyOf(r.GetDead())
	result := &pb.RecoverHolderResult{}
	if _, known := l.recovered[k]; known {
		return &pb.CommandResult{Resend: true, Body: &pb.CommandResult_RecoverHolder{RecoverHolder: result}}
	}
	for _, t := range r.GetTransfers() {
		// If the sender was recovered without the transfer, its tokens are free again: the
		// receiver was asked during that recovery and did not have them.
		if _, recovered := l.recovered[KeyOf(t.GetFrom())]; !recovered {
			l.transfer(t)
		}
	}
	for _, bill := range r.GetBills() {
		// The reservation of a request that was still waiting for tokens when its host died
		// may exceed what the host held; the real ledger bills only what was held.
		bill.Tokens = min(bill.GetTokens(), l.Budgets[bill.GetBudget()].grant(k).Tokens)
		if l.bill(k, bill) {
			result.Billed += bill.GetTokens()
		}
	}
	for _, b := range l.Budgets {
		g := b.grant(k)
		result.Released += g.Tokens
		g.Tokens = 0
	}
	l.recovered[k] = struct{}{}
	return &pb.CommandResult{Body: &pb.CommandResult_RecoverHolder{RecoverHolder: result}}
}
