package ledger

import (
	"bytes"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/ledger/window"
)

// Image is the whole ledger in a fixed order, for snapshots: equal ledgers have
// equal images.
type Image struct {
	Budgets    []budgetImage         `json:"budgets"`
	LastHolder uint64                `json:"last_holder"`
	Hosts      []host                `json:"hosts"`
	Open       []incarnation         `json:"open"`
	Recovered  []recovery            `json:"recovered"`
	Billed     window.Image[billRef] `json:"billed"`
	ReachMs    int64                 `json:"reach_ms"`
	KeepMs     int64                 `json:"keep_ms"`
	NextForget int64                 `json:"next_forget"`
	Transfers  []transferImage       `json:"transfers"`
	Operators  []operatorImage       `json:"operators"`
	Counters   Counters              `json:"counters"`
}

type budgetImage struct {
	Name    string `json:"name"`
	Account string `json:"account"`
	Funded  uint64 `json:"funded"`
	// Lowered is the total that operators funded if it is less than Funded; otherwise nil.
	Lowered *uint64      `json:"lowered,omitempty"`
	Billed  uint64       `json:"billed"`
	Bills   uint64       `json:"bills"`
	Grants  []grantImage `json:"grants"`
	Lines   []line       `json:"lines"`
}

type grantImage struct {
	Incarnation uint64      `json:"incarnation"`
	Tokens      uint64      `json:"tokens"`
	Reserve     uint64      `json:"reserve,omitempty"`
	Seq         uint64      `json:"seq"`
	LastAmount  uint64      `json:"last_amount"`
	LastReserve uint64      `json:"last_reserve,omitempty"`
	ReserveRate reserveRate `json:"opening,omitzero"`
}

type transferImage struct {
	ID string `json:"id"`
	transfer
}

type operatorImage struct {
	Key    []byte `json:"key"`
	Budget uint32 `json:"budget"`
	Create bool   `json:"create,omitempty"`
	Tokens uint64 `json:"tokens"`
	Funded uint64 `json:"funded"`
	Billed uint64 `json:"billed"`
}

// Image returns a copy of the ledger's content, which later records don't change.
func (s *State) Image() Image {
	im := Image{
		LastHolder: s.registry.lastIncarnation, Recovered: slices.Clone(s.registry.recovered),
		Billed: s.billed.memory.Image(), ReachMs: s.billed.lookbackMs, KeepMs: s.billed.retentionMs, NextForget: s.billed.nextForget,
		Operators: s.operatorImages(), Counters: s.counters,
	}
	for _, b := range s.byNumber {
		im.Budgets = append(im.Budgets, b.image())
	}
	for _, name := range slices.Sorted(maps.Keys(s.registry.hosts)) {
		h := *s.registry.hosts[name]
		h.Boots = slices.Clone(h.Boots)
		im.Hosts = append(im.Hosts, h)
	}
	for _, number := range slices.Sorted(maps.Keys(s.registry.unrecovered)) {
		im.Open = append(im.Open, *s.registry.unrecovered[number])
	}
	for _, id := range slices.Sorted(maps.Keys(s.transfers)) {
		im.Transfers = append(im.Transfers, transferImage{ID: id, transfer: s.transfers[id]})
	}
	return im
}

func (b *budget) image() budgetImage {
	im := budgetImage{
		Name: b.name, Account: b.account, Funded: b.funded, Billed: b.billed, Bills: b.bills,
		Lines: b.statement.ordered(),
	}
	if b.operatorFunds != b.funded {
		lowered := b.operatorFunds
		im.Lowered = &lowered
	}
	for _, inc := range slices.Sorted(maps.Keys(b.holders)) {
		g := b.holders[inc]
		im.Grants = append(im.Grants, grantImage{
			Incarnation: inc, Tokens: g.tokens, Reserve: g.reserve, Seq: g.seq, LastAmount: g.lastAmount, LastReserve: g.lastReserve,
			ReserveRate: g.reserveRate,
		})
	}
	return im
}

func (s *State) operatorImages() []operatorImage {
	out := make([]operatorImage, 0, len(s.operations))
	for key, a := range s.operations {
		out = append(out, operatorImage{Key: key[:], Budget: a.budget, Create: a.create, Tokens: a.tokens, Funded: a.funded, Billed: a.billed})
	}
	slices.SortFunc(out, func(a, b operatorImage) int { return bytes.Compare(a.Key, b.Key) })
	return out
}

// Restore replaces the ledger's content by im. It returns an error if im violates the
// invariant or is inconsistent; the ledger must not be used then.
func (s *State) Restore(im Image) error {
	fresh := New(s.options)
	for _, bi := range im.Budgets {
		if err := fresh.restoreBudget(bi); err != nil {
			return err
		}
	}
	fresh.registry.lastIncarnation = im.LastHolder
	fresh.registry.recovered = slices.Clone(im.Recovered)
	for _, h := range im.Hosts {
		fresh.registry.add(&h)
	}
	for _, inc := range im.Open {
		fresh.registry.unrecovered[inc.Number] = &inc
	}
	for _, b := range fresh.byNumber {
		for inc, g := range b.holders {
			fresh.registry.updateBudgetCount(inc, 0, g.tokens)
		}
	}
	for _, t := range im.Transfers {
		fresh.transfers[t.ID] = t.transfer
	}
	for _, o := range im.Operators {
		if err := fresh.restoreOperator(o); err != nil {
			return err
		}
	}
	fresh.billed.memory.Restore(im.Billed)
	fresh.billed.lookbackMs, fresh.billed.retentionMs, fresh.billed.nextForget = im.ReachMs, im.KeepMs, im.NextForget
	fresh.counters = im.Counters
	*s = *fresh
	return nil
}

func (s *State) restoreBudget(im budgetImage) error {
	b := &budget{
		number: uint32(len(s.byNumber)), name: im.Name, account: im.Account,
		funded: im.Funded, billed: im.Billed, bills: im.Bills,
		holders:   make(map[uint64]grant, len(im.Grants)),
		statement: statement{limit: s.options.StatementLines},
	}
	b.operatorFunds = im.Funded
	if im.Lowered != nil {
		b.operatorFunds = *im.Lowered
	}
	committed := im.Billed
	for _, g := range im.Grants {
		var ok bool
		if committed, ok = add(committed, g.Tokens); !ok {
			return errors.Errorf("ledger: snapshot: the sum of the grants of budget %q overflows", im.Name)
		}
		b.setGrant(g.Incarnation, g.Tokens)
		b.holders[g.Incarnation] = grant{
			tokens: g.Tokens, reserve: min(g.Reserve, g.Tokens), seq: g.Seq, lastAmount: g.LastAmount, lastReserve: g.LastReserve,
			reserveRate: g.ReserveRate,
		}
	}
	if committed > im.Funded {
		return errors.Errorf("ledger: snapshot: budget %q has %d tokens billed and granted, but only %d funded", im.Name, committed, im.Funded)
	}
	for _, l := range im.Lines {
		b.statement.append(l)
	}
	s.budgets[b.name] = b
	s.byNumber = append(s.byNumber, b)
	return nil
}

func (s *State) restoreOperator(o operatorImage) error {
	if len(o.Key) != window.KeySize {
		return errors.Errorf("ledger: snapshot: an operation key has %d bytes, want %d", len(o.Key), window.KeySize)
	}
	if int(o.Budget) >= len(s.byNumber) {
		return errors.Errorf("ledger: snapshot: an operation refers to budget number %d, but there are only %d budgets", o.Budget, len(s.byNumber))
	}
	s.operations[window.Key(o.Key)] = operatorResult{budget: o.Budget, create: o.Create, tokens: o.Tokens, funded: o.Funded, billed: o.Billed}
	return nil
}
