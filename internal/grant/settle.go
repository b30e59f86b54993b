package grant

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// settlement collects bills, returns and accepted transfers and sends them in numbered
// batches, one at a time. A batch is resent the same until the ledger acknowledges it.
type settlement struct {
	bills   []*pb.Bill
	spends  map[string]*pb.Spend // by budget
	returns map[string]uint64
	// reserves are what is returned out of reserves.
	reserves map[string]uint64
	accepted []*pb.Transfer
	pending  bool      // any of the above is there
	since    time.Time // when the oldest of them was added

	seq      uint64     // last number given
	batch    *pb.Settle // outstanding; nil: none
	nextSend time.Time
	wait     time.Duration
}

func (s *settlement) touch(now time.Time) {
	if !s.pending {
		s.since, s.pending = now, true
	}
}

func (s *settlement) add(now time.Time, bill *pb.Bill) {
	s.touch(now)
	s.bills = append(s.bills, bill)
}

// spend adds to the sum of what was spent of a budget without bills of their own.
func (s *settlement) spend(now time.Time, budgetName string, tokens uint64) {
	s.touch(now)
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

func (s *settlement) giveBack(now time.Time, budgetName string, tokens uint64) {
	s.touch(now)
	if s.returns == nil {
		s.returns = make(map[string]uint64)
	}
	s.returns[budgetName] += tokens
}

func (s *settlement) giveReserveBack(now time.Time, budgetName string, tokens uint64) {
	s.touch(now)
	if s.reserves == nil {
		s.reserves = make(map[string]uint64)
	}
	s.reserves[budgetName] += tokens
}

func (s *settlement) accept(now time.Time, t *pb.Transfer) {
	s.touch(now)
	s.accepted = append(s.accepted, t)
}

func (s *settlement) busy() bool {
	return s.batch != nil || s.pending
}

// sendBatch starts the next batch if none is outstanding and it is full or old enough.
//
// Every transfer accepted so far goes into the batch: its bills may spend those tokens,
// and the ledger, which applies transfers first, would else find too little granted.
func (h *Holder) sendBatch(now time.Time, out *Output) {
	s := &h.settlement
	due := len(s.bills) >= h.cfg.BatchBills || now.Sub(s.since) >= h.cfg.BatchWait || h.draining
	if s.batch != nil || !s.pending || !due {
		return
	}
	n := min(len(s.bills), h.cfg.BatchBills)
	s.seq++
	s.batch = &pb.Settle{Holder: h.self, Seq: s.seq, Bills: s.bills[:n:n], Transfers: s.accepted}
	for _, name := range slices.Sorted(maps.Keys(s.returns)) {
		s.batch.Returns = append(s.batch.Returns, &pb.Return{Budget: name, Tokens: s.returns[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(s.reserves)) {
		s.batch.Returns = append(s.batch.Returns, &pb.Return{Budget: name, Tokens: s.reserves[name], Reserve: true})
	}
	h.tellUnlocks(s.batch)
	s.batch.WallMs = h.wall(now).UnixMilli()
	for _, name := range slices.Sorted(maps.Keys(s.spends)) {
		s.batch.Spends = append(s.batch.Spends, s.spends[name])
	}
	h.markSent(s.batch)
	s.bills = slices.Clone(s.bills[n:])
	s.spends, s.returns, s.reserves, s.accepted = nil, nil, nil, nil
	s.pending = len(s.bills) > 0
	s.since = now
	s.wait = h.cfg.ResendAfter
	s.nextSend = now.Add(s.wait)
	out.Batch = s.batch
}

// wall is the time of day.
func (h *Holder) wall(now time.Time) time.Time {
	if h.cfg.WallClock == nil {
		return now
	}
	return h.cfg.WallClock()
}

// markSent notes what the ledger will take off and add with the batch.
func (h *Holder) markSent(batch *pb.Settle) {
	for _, bill := range batch.GetBills() {
		h.budget(bill.GetBudget()).leaving += bill.GetTokens()
	}
	for _, spend := range batch.GetSpends() {
		h.budget(spend.GetBudget()).leaving += spend.GetTokens()
	}
	for _, r := range batch.GetReturns() {
		h.budget(r.GetBudget()).leaving += r.GetTokens()
	}
	for _, t := range batch.GetTransfers() {
		b := h.budget(t.GetBudget())
		b.receivedNext -= t.GetTokens()
		b.receivedSent += t.GetTokens()
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

// SettleAnswered takes the ledger's acknowledgement of a batch. Bills of identities
// that were billed before stay with the holder: their tokens are free again. It returns
// the acknowledged batch, nil for a duplicate answer.
func (h *Holder) SettleAnswered(now time.Time, seq uint64, r *pb.SettleResult) (Output, *pb.Settle) {
	var out Output
	s := &h.settlement
	if s.batch == nil || s.batch.GetSeq() != seq {
		return out, nil
	}
	done := s.batch
	s.batch = nil
	h.confirm(now)
	h.RecordContact(now)
	h.settleBills(done, r.GetDuplicates())
	for _, spend := range done.GetSpends() {
		b := h.budget(spend.GetBudget())
		b.unsettled -= spend.GetTokens()
		b.leaving -= spend.GetTokens()
	}
	for _, ret := range done.GetReturns() {
		b := h.budget(ret.GetBudget())
		b.returning -= ret.GetTokens()
		b.leaving -= ret.GetTokens()
	}
	for _, t := range done.GetTransfers() {
		h.budget(t.GetBudget()).receivedSent -= t.GetTokens()
	}
	for _, l := range r.GetLevels() {
		h.noteLevel(l)
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

// confirm has the next batch sent at once when the answer to this one ends a time without
// contact: only the next one shows the ledger that this answer was received.
//
// What goes wrong otherwise: all hosts are lost right after a partition, and the ledger counts
// the whole of it as time in which they spent their reserves.
func (h *Holder) confirm(now time.Time) {
	if h.withoutContact(now) > 2*h.cfg.ContactInterval {
		h.settlement.touch(now)
		h.settlement.since = now.Add(-h.cfg.BatchWait)
	}
}

// settleBills takes acknowledged bills off the books. One identity that stands twice in
// a batch is listed as a duplicate once for each bill that was not billed.
func (h *Holder) settleBills(batch *pb.Settle, duplicates []string) {
	again := make(map[string]int, len(duplicates))
	for _, id := range duplicates {
		again[id]++
	}
	for _, bill := range slices.Backward(batch.GetBills()) {
		b := h.budget(bill.GetBudget())
		b.unsettled -= bill.GetTokens()
		b.leaving -= bill.GetTokens()
		if again[bill.GetIdentity()] > 0 {
			again[bill.GetIdentity()]--
			b.free += bill.GetTokens()
		}
	}
}

func (h *Holder) noteLevel(l *pb.BudgetLevel) {
	b, ok := h.budgets[l.GetBudget()]
	if !ok {
		return
	}
	b.setLevel(l.GetFree(), l.GetFunded(), l.GetBilled())
}

// setLevel takes what the ledger says of a budget.
func (b *budget) setLevel(free, funded, billed uint64) {
	b.level, b.left, b.levelKnown = free, funded-min(billed, funded), true
}

// tellUnlocks puts into a batch what was taken out of reserves since the one before.
func (h *Holder) tellUnlocks(batch *pb.Settle) {
	for _, name := range h.names {
		b := h.budgets[name]
		if b.out.untold > 0 {
			batch.Unlocks = append(batch.Unlocks, &pb.Return{Budget: name, Tokens: b.out.untold})
			b.out.untold = 0
		}
	}
}
