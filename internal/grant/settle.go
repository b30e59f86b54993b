package grant

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// settlement collects bills, returns and accepted transfers and sends them in numbered
// batches, one at a time. A batch is resent unchanged until the ledger acknowledges it.
type settlement struct {
	bills   []*pb.Bill
	spends  map[string]*pb.Spend // by budget
	returns map[string]uint64
	// reserveReturns are the tokens returned out of reserves, by budget.
	reserveReturns map[string]uint64
	accepted       []*pb.Transfer
	pending        bool      // true if a batch has to be sent
	since          time.Time // when pending was set

	seq      uint64     // sequence number of the last batch
	batch    *pb.Settle // the outstanding batch; nil if there is none
	nextSend time.Time
	wait     time.Duration
}

func (s *settlement) markPending(now time.Time) {
	if !s.pending {
		s.since, s.pending = now, true
	}
}

func (s *settlement) addBill(now time.Time, bill *pb.Bill) {
	s.markPending(now)
	s.bills = append(s.bills, bill)
}

// addSpend adds tokens to the sum spent from a budget without individual bills.
func (s *settlement) addSpend(now time.Time, budgetName string, tokens uint64) {
	s.markPending(now)
	if s.spends == nil {
		s.spends = make(map[string]*pb.Spend)
	}
	sum := s.spends[budgetName]
	if sum == nil {
		sum = &pb.Spend{Budget: budgetName}
		s.spends[budgetName] = sum
	}
	sum.Tokens += tokens
	sum.Requests++
}

func (s *settlement) addReturn(now time.Time, budgetName string, tokens uint64) {
	s.markPending(now)
	if s.returns == nil {
		s.returns = make(map[string]uint64)
	}
	s.returns[budgetName] += tokens
}

func (s *settlement) addReserveReturn(now time.Time, budgetName string, tokens uint64) {
	s.markPending(now)
	if s.reserveReturns == nil {
		s.reserveReturns = make(map[string]uint64)
	}
	s.reserveReturns[budgetName] += tokens
}

func (s *settlement) addTransfer(now time.Time, t *pb.Transfer) {
	s.markPending(now)
	s.accepted = append(s.accepted, t)
}

func (s *settlement) busy() bool {
	return s.batch != nil || s.pending
}

// sendBatch sends the next batch if none is outstanding and it is full or due.
//
// The batch contains every transfer accepted so far: its bills may spend those tokens, and
// the ledger, which applies transfers first, would otherwise reject the batch because the
// holder's grant is too small.
func (h *Holder) sendBatch(now time.Time, out *Output) {
	s := &h.settlement
	due := len(s.bills) >= h.cfg.BatchBills || now.Sub(s.since) >= h.cfg.CurrentBatchWait() || h.draining
	if s.batch != nil || !s.pending || !due {
		return
	}
	n := min(len(s.bills), h.cfg.BatchBills)
	s.seq++
	s.batch = &pb.Settle{Holder: h.self, Seq: s.seq, Bills: s.bills[:n:n], Transfers: s.accepted}
	for _, name := range slices.Sorted(maps.Keys(s.returns)) {
		s.batch.Returns = append(s.batch.Returns, &pb.Return{Budget: name, Tokens: s.returns[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(s.reserveReturns)) {
		s.batch.Returns = append(s.batch.Returns, &pb.Return{Budget: name, Tokens: s.reserveReturns[name], Reserve: true})
	}
	h.addUnlocks(s.batch)
	s.batch.WallMs = h.wallClock(now).UnixMilli()
	for _, name := range slices.Sorted(maps.Keys(s.spends)) {
		s.batch.Spends = append(s.batch.Spends, s.spends[name])
	}
	h.markSent(s.batch)
	s.bills = slices.Clone(s.bills[n:])
	s.spends, s.returns, s.reserveReturns, s.accepted = nil, nil, nil, nil
	s.pending = len(s.bills) > 0
	s.since = now
	s.wait = h.cfg.ResendAfter
	s.nextSend = now.Add(s.wait)
	out.Batch = s.batch
}

// wallClock returns the wall-clock time.
func (h *Holder) wallClock(now time.Time) time.Time {
	if h.cfg.WallClock == nil {
		return now
	}
	return h.cfg.WallClock()
}

// markSent records the tokens that the ledger will deduct and add when it applies the batch.
func (h *Holder) markSent(batch *pb.Settle) {
	for _, bill := range batch.GetBills() {
		h.budget(bill.GetBudget()).outgoing += bill.GetTokens()
	}
	for _, spend := range batch.GetSpends() {
		h.budget(spend.GetBudget()).outgoing += spend.GetTokens()
	}
	for _, r := range batch.GetReturns() {
		h.budget(r.GetBudget()).outgoing += r.GetTokens()
	}
	for _, t := range batch.GetTransfers() {
		b := h.budget(t.GetBudget())
		b.receivedPending -= t.GetTokens()
		b.receivedInBatch += t.GetTokens()
	}
}

func (h *Holder) resendBatch(now time.Time, out *Output) {
	s := &h.settlement
	if s.batch == nil || now.Before(s.nextSend) {
		return
	}
	s.wait = min(2*s.wait, h.cfg.ResendMax)
	s.nextSend = now.Add(s.wait)
	out.Batch = s.batch
}

// SettleAnswered processes the ledger's acknowledgement of a batch. Bills whose identities
// were already billed are not charged: their tokens are free again. It returns the
// acknowledged batch; nil for a duplicate answer.
func (h *Holder) SettleAnswered(now time.Time, seq uint64, r *pb.SettleResult) (Output, *pb.Settle) {
	var out Output
	s := &h.settlement
	if s.batch == nil || s.batch.GetSeq() != seq {
		return out, nil
	}
	done := s.batch
	s.batch = nil
	h.confirmContact(now)
	h.RecordContact(now)
	h.settleBills(done, r.GetDuplicates())
	for _, spend := range done.GetSpends() {
		b := h.budget(spend.GetBudget())
		b.unsettled -= spend.GetTokens()
		b.outgoing -= spend.GetTokens()
	}
	for _, ret := range done.GetReturns() {
		b := h.budget(ret.GetBudget())
		b.returning -= ret.GetTokens()
		b.outgoing -= ret.GetTokens()
	}
	for _, t := range done.GetTransfers() {
		h.budget(t.GetBudget()).receivedInBatch -= t.GetTokens()
	}
	for _, l := range r.GetLevels() {
		h.updateLevel(l)
	}
	for _, bill := range done.GetBills() {
		h.advance(now, h.budget(bill.GetBudget()), &out)
	}
	for _, spend := range done.GetSpends() {
		h.advance(now, h.budget(spend.GetBudget()), &out)
	}
	h.sendBatch(now, &out)
	return out, done
}

// confirmContact makes the next batch due immediately when this answer is the first one after
// an outage: only the next batch shows the ledger that this answer was received.
//
// Otherwise, if all hosts die right after a partition, the ledger counts the whole partition
// as time in which they spent their reserves.
func (h *Holder) confirmContact(now time.Time) {
	wait := h.cfg.CurrentBatchWait()
	if h.sinceContact(now) > 2*max(h.cfg.ContactInterval, wait) {
		h.settlement.markPending(now)
		h.settlement.since = now.Add(-wait)
	}
}

// settleBills removes acknowledged bills from the unsettled tokens. An identity that occurs
// several times in a batch is listed as a duplicate once for each bill that was not charged.
func (h *Holder) settleBills(batch *pb.Settle, duplicates []string) {
	again := make(map[string]int, len(duplicates))
	for _, id := range duplicates {
		again[id]++
	}
	for _, bill := range slices.Backward(batch.GetBills()) {
		b := h.budget(bill.GetBudget())
		b.unsettled -= bill.GetTokens()
		b.outgoing -= bill.GetTokens()
		if again[bill.GetIdentity()] > 0 {
			again[bill.GetIdentity()]--
			b.free += bill.GetTokens()
		}
	}
}

func (h *Holder) updateLevel(l *pb.BudgetLevel) {
	b, ok := h.budgets[l.GetBudget()]
	if !ok {
		return
	}
	b.setLevel(l.GetFree(), l.GetFunded(), l.GetBilled())
}

// setLevel stores a budget's totals as reported by the ledger.
func (b *budget) setLevel(free, funded, billed uint64) {
	b.ledgerFree, b.unbilled, b.levelKnown = free, funded-min(billed, funded), true
}

// addUnlocks adds to a batch the tokens drawn from reserves since the previous batch.
func (h *Holder) addUnlocks(batch *pb.Settle) {
	for _, name := range h.names {
		b := h.budgets[name]
		if b.reserve.unreported > 0 {
			batch.Unlocks = append(batch.Unlocks, &pb.Return{Budget: name, Tokens: b.reserve.unreported})
			b.reserve.unreported = 0
		}
	}
}
