package ledger

import (
	"maps"
	"slices"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// batchResult is the result of a holder's last batch, kept to answer a resend of it.
type batchResult struct {
	Duplicates []string `json:"duplicates,omitempty"`
	Budgets    []uint32 `json:"budgets,omitempty"`
}

// Settle applies one batch of a holder: transfers, then bills, then returns. A batch
// is applied completely or not at all. resend is true if the batch was already applied;
// the duplicates are then those of the first time and the levels the current ones.
//
// A holder must not forward tokens that it got by a transfer before the ledger has
// acknowledged the batch that reports the transfer. Otherwise the receiver's report of the
// second transfer may be applied first and take the tokens that an older batch of the
// sender still needs; that batch, and all later ones, are then refused until the sender of
// the first transfer reports it as well. Nothing is overspent in the meantime.
//
// A dead incarnation that isn't recovered yet may still settle, as its bills are
// true; a recovered one is refused with StaleFence.
func (s *State) Settle(r Record, b *pb.Settle) (result *pb.SettleResult, resend bool, err error) {
	inc, err := s.registry.find(b.Holder)
	if err != nil {
		return nil, false, err
	}
	if inc == nil {
		return nil, false, errkind.New(errkind.StaleFence, "incarnation %d of host %q has been recovered", b.Holder.Incarnation, b.Holder.Host)
	}
	if b.Seq <= inc.Seq {
		return s.resendResult(inc, b.Seq), true, nil
	}
	if b.Seq != inc.Seq+1 {
		e := errkind.New(errkind.VersionConflict, "got batch %d of incarnation %d, but %d is next", b.Seq, inc.Number, inc.Seq+1)
		e.PresentVersion = inc.Seq
		return nil, false, e
	}
	d := s.newDraft(r)
	if err := d.settle(inc.Number, b); err != nil {
		return nil, false, err
	}
	d.commit()
	// This batch proves that the answer to the previous one was received.
	inc.Confirmed, inc.LastContact = inc.LastContact, r.Now
	inc.Seq, inc.WallMs = b.Seq, b.WallMs
	inc.Result = d.result()
	return s.settleResult(inc), false, nil
}

func (s *State) resendResult(inc *incarnation, seq uint64) *pb.SettleResult {
	if seq < inc.Seq {
		return &pb.SettleResult{Seq: seq}
	}
	return s.settleResult(inc)
}

func (s *State) settleResult(inc *incarnation) *pb.SettleResult {
	r := &pb.SettleResult{Seq: inc.Seq, Duplicates: slices.Clone(inc.Result.Duplicates)}
	for _, number := range inc.Result.Budgets {
		r.Levels = append(r.Levels, s.byNumber[number].level())
	}
	return r
}

func (d *draft) settle(incarnation uint64, b *pb.Settle) error {
	for _, t := range b.Transfers {
		if t.From.GetIncarnation() != incarnation && t.To.GetIncarnation() != incarnation {
			return errkind.New(errkind.BadRequest, "transfer %s does not involve incarnation %d", t.Id, incarnation)
		}
	}
	if err := d.applyTransfers(b.Transfers); err != nil {
		return err
	}
	for _, bill := range b.Bills {
		if err := d.bill(incarnation, bill, rejectOverdraft); err != nil {
			return err
		}
	}
	for _, u := range b.Unlocks {
		if err := d.unlock(incarnation, u); err != nil {
			return err
		}
	}
	for _, spend := range b.Spends {
		if err := d.chargeSpend(incarnation, spend); err != nil {
			return err
		}
	}
	for _, back := range b.Returns {
		if err := d.returnTokens(incarnation, back); err != nil {
			return err
		}
	}
	return nil
}

func (d *draft) result() batchResult {
	r := batchResult{Duplicates: d.duplicates}
	for _, b := range d.touched {
		r.Budgets = append(r.Budgets, b.number)
	}
	return r
}

// RecoverHolder settles a dead incarnation from the records that its peers hold, and
// frees the rest of its grants. Every current live holder must have been asked: one
// that was not may have accepted a transfer from the dead one or hold the only copy
// of a bill, and freeing those tokens would let them be spent twice.
func (s *State) RecoverHolder(r Record, c *pb.RecoverHolder) (result *pb.RecoverHolderResult, resend bool, err error) {
	inc, err := s.registry.find(c.Dead)
	if err != nil {
		return nil, false, err
	}
	if inc == nil {
		done := s.registry.recoveryOf(c.Dead.Incarnation)
		return &pb.RecoverHolderResult{Billed: done.Billed, Released: done.Released}, true, nil
	}
	if !inc.Dead {
		return nil, false, errkind.New(errkind.BadRequest, "incarnation %d of host %q is not known to be dead", inc.Number, inc.Host)
	}
	if missing := s.registry.notGathered(c.GatheredFrom); len(missing) > 0 {
		return nil, false, errkind.New(errkind.BudgetUnreachable, "hosts %q have not been asked", missing).After(retryTransfer)
	}
	d := s.newDraft(r)
	if err := d.recover(inc.Number, c); err != nil {
		return nil, false, err
	}
	d.commit()
	done := s.release(r, inc, d)
	return &pb.RecoverHolderResult{Billed: done.Billed, Released: done.Released}, false, nil
}

func (d *draft) recover(dead uint64, c *pb.RecoverHolder) error {
	if err := d.applyTransfers(d.applicableTransfers(c.Transfers)); err != nil {
		return err
	}
	for _, bill := range c.Bills {
		if err := d.bill(dead, bill, capOverdraft); err != nil {
			return err
		}
	}
	return nil
}

// applicableTransfers omits the transfers whose sender was recovered without them: its
// tokens are free again, so the receiver can't have them.
func (d *draft) applicableTransfers(transfers []*pb.Transfer) []*pb.Transfer {
	var out []*pb.Transfer
	for _, t := range transfers {
		from, err := d.state.registry.find(t.From)
		if err == nil && from != nil {
			out = append(out, t)
		}
	}
	return out
}

// release frees the tokens that the dead incarnation still has and closes it.
func (s *State) release(r Record, inc *incarnation, d *draft) recovery {
	done := recovery{Incarnation: inc.Number}
	for _, sp := range d.spending {
		done.Billed += sp.tokens
	}
	for _, b := range s.byNumber {
		tokens := b.dropGrant(inc.Number)
		if tokens == 0 {
			continue
		}
		done.Released += tokens
		b.reduceFunds()
		b.statement.append(line{Index: r.Index, TimeMs: r.Now, Kind: lineRecover, Tokens: tokens, Actor: r.Actor, Note: inc.Host})
		checkInvariant(b)
	}
	s.registry.closeIncarnation(done)
	maps.DeleteFunc(s.transfers, func(_ string, t transfer) bool {
		return s.registry.unrecovered[t.From] == nil && s.registry.unrecovered[t.To] == nil
	})
	return done
}
