package ledger

import (
	"fmt"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/ledger/window"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// retryTransfer is the retry time for a batch whose transfers the ledger can't apply yet.
const retryTransfer = time.Second

// draft collects the effects of one batch, so that a batch is either applied completely
// or refused without any effect.
type draft struct {
	state      *State
	record     Record
	grants     map[grantKey]uint64
	spending   map[*budget]spending
	touched    []*budget
	identities map[window.Key]billRef
	billedKeys []window.Key
	transfers  map[string]transfer
	unlocked   []unlocked
	lines      []budgetLine
	duplicates []string
	counters   Counters
}

type grantKey struct {
	budget      *budget
	incarnation uint64
}

// spending is the total that a draft bills to one budget.
type spending struct {
	tokens uint64
	bills  uint64
}

// unlocked is a number of tokens that a batch moves from its holder's reserve to the
// open part of the grant.
type unlocked struct {
	grantKey
	tokens uint64
}

type budgetLine struct {
	budget *budget
	line   line
}

// transfer is a move of tokens between incarnations that the ledger has applied.
type transfer struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

func (s *State) newDraft(r Record) *draft {
	return &draft{
		state: s, record: r,
		grants:     make(map[grantKey]uint64),
		spending:   make(map[*budget]spending),
		identities: make(map[window.Key]billRef),
		transfers:  make(map[string]transfer),
	}
}

// touch records that the batch affects a budget.
func (d *draft) touch(b *budget) {
	if _, ok := d.spending[b]; ok {
		return
	}
	d.spending[b] = spending{}
	d.touched = append(d.touched, b)
}

func (d *draft) granted(b *budget, incarnation uint64) uint64 {
	if tokens, ok := d.grants[grantKey{b, incarnation}]; ok {
		return tokens
	}
	return b.holders[incarnation].tokens
}

func (d *draft) setGranted(b *budget, incarnation, tokens uint64) {
	d.grants[grantKey{b, incarnation}] = tokens
}

func (d *draft) addLine(b *budget, l line) {
	l.Index, l.TimeMs = d.record.Index, d.record.Now
	d.lines = append(d.lines, budgetLine{b, l})
}

// overdraftPolicy selects the handling of a bill that exceeds its holder's grant.
type overdraftPolicy int

const (
	// rejectOverdraft rejects the batch: a live holder that bills more than it was
	// granted is faulty, and the fault must be noticed.
	rejectOverdraft overdraftPolicy = iota
	// capOverdraft bills what the holder has and counts the capped bill: rejecting it
	// would leave the other tokens of a dead holder granted forever.
	capOverdraft
)

// bill adds one bill of a holder, or lists it as a duplicate.
func (d *draft) bill(incarnation uint64, p *pb.Bill, o overdraftPolicy) error {
	b, err := d.state.find(p.Budget)
	if err != nil {
		return err
	}
	if p.Identity == "" || p.TimeMs <= 0 {
		return errkind.New(errkind.BadRequest, "a bill needs an identity and the time of its request")
	}
	d.touch(b)
	key := window.KeyOf(p.Identity)
	if d.isBilled(key) {
		d.counters.Duplicates++
		d.addUnbilled(b, p, lineDuplicate)
		return nil
	}
	if d.state.billed.expired(p.TimeMs, d.record.Now) {
		d.counters.Expired++
		d.addUnbilled(b, p, lineExpired)
		return nil
	}
	return d.charge(b, incarnation, key, p, o)
}

func (d *draft) isBilled(key window.Key) bool {
	if _, ok := d.identities[key]; ok {
		return true
	}
	_, ok := d.state.billed.get(key)
	return ok
}

func (d *draft) addUnbilled(b *budget, p *pb.Bill, kind string) {
	d.duplicates = append(d.duplicates, p.Identity)
	d.addLine(b, line{Kind: kind, Identity: p.Identity, RequestID: p.RequestId, Tokens: p.Tokens})
}

func (d *draft) charge(b *budget, incarnation uint64, key window.Key, p *pb.Bill, o overdraftPolicy) error {
	have := d.granted(b, incarnation)
	tokens, note := p.Tokens, ""
	if tokens > have {
		if o == rejectOverdraft {
			return violation("bill of %d tokens for %s, but incarnation %d has %d granted of budget %q",
				tokens, p.Identity, incarnation, have, b.name)
		}
		d.counters.Capped++
		tokens, note = have, "capped"
	}
	if tokens == 0 && p.Tokens > 0 {
		// Nothing is billed, so the identity isn't remembered. If it were, the correct bill
		// for the request's execution on another host would count as a duplicate.
		d.addLine(b, line{Kind: lineUncovered, Identity: p.Identity, RequestID: p.RequestId, Tokens: p.Tokens})
		return nil
	}
	d.setGranted(b, incarnation, have-tokens)
	sp := d.spending[b]
	d.spending[b] = spending{tokens: sp.tokens + tokens, bills: sp.bills + 1}
	d.identities[key] = newBillRef(b, tokens)
	d.billedKeys = append(d.billedKeys, key)
	d.addLine(b, line{Kind: lineBill, Identity: p.Identity, RequestID: p.RequestId, Tokens: tokens, Note: note})
	return nil
}

// chargeSpend deducts from a holder's grant the tokens that it spent on requests without
// individual bills.
func (d *draft) chargeSpend(incarnation uint64, p *pb.Spend) error {
	b, err := d.state.find(p.GetBudget())
	if err != nil {
		return err
	}
	d.touch(b)
	have := d.granted(b, incarnation)
	if p.GetTokens() > have {
		return violation("%d tokens spent, but incarnation %d has %d granted of budget %q",
			p.GetTokens(), incarnation, have, b.name)
	}
	d.setGranted(b, incarnation, have-p.GetTokens())
	sp := d.spending[b]
	d.spending[b] = spending{tokens: sp.tokens + p.GetTokens(), bills: sp.bills + p.GetRequests()}
	d.addLine(b, line{Kind: lineSpend, Tokens: p.GetTokens(), Note: fmt.Sprintf("%d requests of incarnation %d", p.GetRequests(), incarnation)})
	return nil
}

// returnTokens makes granted tokens of a holder free again.
func (d *draft) returnTokens(incarnation uint64, r *pb.Return) error {
	b, err := d.state.find(r.Budget)
	if err != nil {
		return err
	}
	d.touch(b)
	have := d.granted(b, incarnation)
	if r.Tokens > have {
		return violation("return of %d tokens, but incarnation %d has %d granted of budget %q", r.Tokens, incarnation, have, b.name)
	}
	d.setGranted(b, incarnation, have-r.Tokens)
	if r.Reserve {
		d.unlocked = append(d.unlocked, unlocked{grantKey{b, incarnation}, r.Tokens})
	}
	return nil
}

// unlock records that a holder drew tokens from its reserve while the ledger was unreachable.
func (d *draft) unlock(incarnation uint64, r *pb.Return) error {
	b, err := d.state.find(r.Budget)
	if err != nil {
		return err
	}
	d.touch(b)
	d.unlocked = append(d.unlocked, unlocked{grantKey{b, incarnation}, r.Tokens})
	return nil
}

// applyTransfers applies transfers in whatever order the grants allow: a holder may have
// forwarded what it got by another transfer of the same list.
func (d *draft) applyTransfers(transfers []*pb.Transfer) error {
	for len(transfers) > 0 {
		var deferred []*pb.Transfer
		for _, t := range transfers {
			done, err := d.applyTransfer(t)
			if err != nil {
				return err
			}
			if !done {
				deferred = append(deferred, t)
			}
		}
		if len(deferred) == len(transfers) {
			return errkind.New(errkind.BudgetUnreachable,
				"transfer %s: the sender's own settlement has to be applied first", deferred[0].Id).After(retryTransfer)
		}
		transfers = deferred
	}
	return nil
}

// applyTransfer applies one transfer, at most once per id. It returns false if the sender
// does not have enough tokens in the ledger yet.
func (d *draft) applyTransfer(t *pb.Transfer) (bool, error) {
	b, err := d.state.find(t.Budget)
	if err != nil {
		return false, err
	}
	if t.Id == "" || t.From.GetIncarnation() == t.To.GetIncarnation() {
		return false, errkind.New(errkind.BadRequest, "a transfer needs an id and two holders")
	}
	if d.transferApplied(t.Id) {
		return true, nil
	}
	from, err := d.state.registry.find(t.From)
	if err != nil {
		return false, err
	}
	to, err := d.state.registry.find(t.To)
	if err != nil {
		return false, err
	}
	if from == nil {
		return false, violation("transfer %s is from incarnation %d, which was recovered without it", t.Id, t.From.Incarnation)
	}
	have := d.granted(b, from.Number)
	if have < t.Tokens {
		return false, nil
	}
	d.touch(b)
	d.setGranted(b, from.Number, have-t.Tokens)
	if to != nil { // otherwise the receiver has been recovered and the tokens are free again
		d.setGranted(b, to.Number, d.granted(b, to.Number)+t.Tokens)
	}
	d.transfers[t.Id] = transfer{From: t.From.Incarnation, To: t.To.Incarnation}
	return true, nil
}

func (d *draft) transferApplied(id string) bool {
	if _, ok := d.transfers[id]; ok {
		return true
	}
	_, ok := d.state.transfers[id]
	return ok
}

// commit applies the draft and checks every budget that it touched.
func (d *draft) commit() {
	s := d.state
	for _, u := range d.unlocked { // before the grants are reduced by what was spent of these tokens
		u.budget.unlock(u.incarnation, u.tokens)
	}
	for key, tokens := range d.grants {
		s.setGrant(key.budget, key.incarnation, tokens)
	}
	for b, sp := range d.spending {
		b.billed += sp.tokens
		b.bills += sp.bills
	}
	for id, t := range d.transfers {
		s.transfers[id] = t
	}
	for _, l := range d.lines {
		l.budget.statement.append(l.line)
	}
	for _, key := range d.billedKeys { // in order, as a generation may become full between two keys
		s.billed.memory.Put(key, d.identities[key], d.record.Now)
	}
	s.counters.add(d.counters)
	s.billed.forget(d.record.Now, &s.registry)
	for _, b := range d.touched {
		b.reduceFunds()
		checkInvariant(b)
	}
}

func (c *Counters) add(o Counters) {
	c.Duplicates += o.Duplicates
	c.Expired += o.Expired
	c.Capped += o.Capped
}

// violation returns the error for a batch that spends more than its holder was granted.
func violation(format string, args ...any) error {
	return errkind.New(errkind.Internal, "ledger violation: "+format, args...)
}
