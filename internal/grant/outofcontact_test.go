package grant

import (
	"math/rand"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/grant/reserve"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// reservePolicy holds 10 s of demand in reserve, and 2 s open.
var reservePolicy = Policy{
	Horizon: 2 * time.Second, Reserve: 10 * time.Second, ReserveRatePermille: 1000, IdleReturn: time.Minute, MinHistory: time.Second,
}

// span is how long the reserve of holding takes to open.
const span = 5 * time.Second

const budgetName = "x"

// holding is a holder with open tokens and a reserve of one budget, in contact at start. The
// reserve opens within span.
func holding(start time.Time, open, kept uint64) *Holder {
	h := New(&pb.Holder{Host: "a", Incarnation: 1}, Config{ContactInterval: 300 * time.Millisecond}, rand.New(rand.NewSource(1)))
	h.RecordContact(start)
	out := h.Reserve(start, "first", budgetName, 10, reservePolicy)
	h.AcquireAnswered(start, budgetName, out.Acquires[0].GetSeq(), &pb.AcquireResult{Amount: open + 10, Reserve: kept, Funded: 10_000, Free: 5_000})
	opening := &h.budgets[budgetName].out
	opening.rate, opening.asked = kept/5, kept/5
	return h
}

func (h *Holder) level(t *testing.T) Level {
	t.Helper()
	for _, l := range h.Levels() {
		if l.Budget == budgetName {
			return l
		}
	}
	t.Fatal("nothing is held")
	return Level{}
}

// granted tells how the wait of a request ended at once; nil: it waits, or got its tokens.
func granted(out Output, request string) (decided bool, err *errkind.Error) {
	for _, d := range out.Decisions {
		if d.Request == request {
			return true, d.Err
		}
	}
	return false, nil
}

func TestReserveIsForTimesWithoutContact(t *testing.T) {
	start := time.Unix(1000, 0)
	h := holding(start, 0, 1000)
	if ok, _ := granted(h.Reserve(start.Add(reserve.HoldPeriod), "a", budgetName, 100, reservePolicy), "a"); ok {
		t.Error("the reserve was spent before the time that it is held back")
	}
	h = holding(start, 0, 1000)
	half := start.Add(reserve.HoldPeriod + span/2)
	if ok, err := granted(h.Reserve(half, "a", budgetName, 500, reservePolicy), "a"); !ok || err != nil {
		t.Errorf("half of the reserve after half of the span: %t %v", ok, err)
	}
	if ok, err := granted(h.Reserve(half, "b", budgetName, 1, reservePolicy), "b"); ok && err == nil {
		t.Error("more than half of the reserve after half of the span")
	}
	if l := h.level(t); l.Reserve != 500 || l.Reserved != 510 {
		t.Errorf("levels %+v", l)
	}
}

func TestContactLocksTheReserveAgain(t *testing.T) {
	start := time.Unix(1000, 0)
	h := holding(start, 0, 1000)
	whole := start.Add(reserve.HoldPeriod + span)
	h.Reserve(whole, "a", budgetName, 400, reservePolicy)
	h.RecordContact(whole)
	if ok, err := granted(h.Reserve(whole.Add(reserve.HoldPeriod), "b", budgetName, 100, reservePolicy), "b"); ok && err == nil {
		t.Error("spent from the reserve right after a contact")
	}
}

func TestContactIsKeptUpWhileThereIsAReserve(t *testing.T) {
	// Symptom: the loss of all hosts strands more than their open tokens.
	// Sequence: no request ends for some seconds; then all hosts lose power at once.
	// Cause: nothing was sent to the ledger meanwhile, which counts their last contact as
	// long ago and so part of their reserves as perhaps spent.
	start := time.Unix(1000, 0)
	h := holding(start, 0, 1000)
	if out := h.Tick(start.Add(200 * time.Millisecond)); out.Batch != nil {
		t.Error("a batch without need")
	}
	h.Tick(start.Add(400 * time.Millisecond))
	if out := h.Tick(start.Add(500 * time.Millisecond)); out.Batch == nil {
		t.Error("no batch after the time that may go without contact")
	}
	h = holding(start, 100, 0)
	h.Tick(start.Add(time.Second))
	if out := h.Tick(start.Add(2 * time.Second)); out.Batch != nil {
		t.Error("a batch though there is no reserve")
	}
}

func TestSpendBillsOnceWithoutAnIdentity(t *testing.T) {
	start := time.Unix(1000, 0)
	h := holding(start, 90, 0)
	h.Reserve(start, "a", budgetName, 50, reservePolicy)
	if _, ok := h.Spend(start, "a", 30); !ok {
		t.Fatal("no reservation")
	}
	if _, ok := h.Spend(start, "a", 30); ok {
		t.Fatal("spent twice")
	}
	h.Reserve(start, "b", budgetName, 20, reservePolicy)
	h.Spend(start, "b", 25) // cut to what was set aside
	if l := h.level(t); l.Unsettled != 50 || l.Reserved != 10 || l.Free != 40 {
		t.Errorf("levels %+v", l)
	}
	out := h.Flush(start.Add(time.Second))
	if out.Batch == nil || len(out.Batch.GetBills()) != 0 {
		t.Fatalf("batch %v", out.Batch)
	}
	sum := uint64(0)
	for _, s := range out.Batch.GetSpends() {
		sum += s.GetTokens()
	}
	if sum != 50 {
		t.Errorf("the batch has %d tokens", sum)
	}
}

func TestLoweredFundsBringFreeTokensBack(t *testing.T) {
	start := time.Unix(1000, 0)
	h := holding(start, 90, 500)
	h.ReturnFree(start, budgetName)
	h.ReturnFree(start, "unknown")
	if l := h.level(t); l.Free != 0 || l.Reserve != 0 || l.Returning != 590 || l.Reserved != 10 {
		t.Errorf("levels %+v", l)
	}
}

func TestDemandOfAHostThatHasJustStarted(t *testing.T) {
	// Symptom: for its first minute a host asks the ledger for tokens with each request, and
	// lives through no partition.
	// Sequence: 1,000 tokens a second are asked for, from the start on.
	// Cause: an average over the whole window counts the time before the start as idle.
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		history time.Duration
		min     uint64
		max     uint64
	}{{0, 0, 4000}, {time.Second, 9000, 12000}} {
		p := Policy{Horizon: 10 * time.Second, MinHistory: c.history}
		var d demand
		for ms := 0; ms <= 2000; ms += 100 {
			d.add(start.Add(time.Duration(ms)*time.Millisecond), 100, p)
		}
		got := d.tokens(start.Add(2*time.Second), p, 10*time.Second)
		if got < c.min || got > c.max {
			t.Errorf("history %v: %d tokens for 10 s", c.history, got)
		}
	}
	// The first request alone must not count as a rate without bound.
	var d demand
	p := Policy{Horizon: 10 * time.Second, MinHistory: time.Second}
	d.add(start, 100, p)
	if got := d.tokens(start, p, 10*time.Second); got > 1500 {
		t.Errorf("one request of 100 tokens counts as %d for 10 s", got)
	}
}

// Symptom: half of the requests that are refused in a partition come back within it and are
// refused again.
// Sequence: a partition lasts eight seconds; its callers are told to come back in one.
// Cause: the time to come back had nothing to do with the partition.
func TestCallersComeBackLaterTheLongerAPartitionLasts(t *testing.T) {
	start := time.Unix(1000, 0)
	h := holding(start, 0, 0)
	for without, want := range map[time.Duration]time.Duration{
		200 * time.Millisecond: RetryAfterUnreachable, 2 * time.Second: 2 * time.Second, time.Minute: MaxRetryAfterUnreachable,
	} {
		w := &waiter{tokens: 10, why: errkind.BudgetUnreachable}
		if got := h.refusal(start.Add(without), w, h.budgets[budgetName]).RetryAfter; got != want {
			t.Errorf("%v into a partition callers come back after %v, want %v", without, got, want)
		}
	}
}

// Symptom: after the loss of all hosts a budget is used up though a sixth of it is left.
// Sequence: its owner holds six seconds of demand open, while what is left lasts for eight;
// the owner is killed, and what it held open counts as spent.
// Cause: what is held ahead had nothing to do with what is left.
func TestOpenTokensShrinkWithWhatIsLeft(t *testing.T) {
	start := time.Unix(1000, 0)
	policy := reservePolicy
	policy.OpenPermille = 250
	ahead := func(left uint64) uint64 {
		h := New(&pb.Holder{Host: "a", Incarnation: 1}, Config{}, rand.New(rand.NewSource(1)))
		out := h.Reserve(start, "first", budgetName, 100, policy)
		h.AcquireAnswered(start, budgetName, out.Acquires[0].GetSeq(), &pb.AcquireResult{Amount: 100, Funded: left, Free: left})
		return h.ahead(start, h.budgets[budgetName])
	}
	plenty := ahead(1_000_000)
	if plenty == 0 {
		t.Fatal("nothing is wanted ahead though plenty is left")
	}
	for _, left := range []uint64{2 * plenty, plenty, 4} {
		if got := ahead(left); got != min(plenty, left/1000*250) {
			t.Errorf("%d left: %d wanted ahead", left, got)
		}
	}
}

// Symptom: a budget is overspent when a host is lost in a partition.
// Sequence: a holder asks for another rate at which its reserve opens; the answer is lost, and
// the partition begins.
// Cause: the holder went by the higher rate, the ledger by the lower one.
func TestReserveOpensByTheLowerRateUntilTheLedgerAnswers(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct{ known, asked, want uint64 }{
		"raised": {200, 1000, 200}, "lowered": {200, 50, 50}, "the same": {200, 200, 200},
	} {
		h := holding(start, 0, 1000)
		out := &h.budgets[budgetName].out
		out.rate, out.asked = c.known, c.asked
		if got := out.usable(reserve.HoldPeriod + time.Second); got != c.want {
			t.Errorf("%s: %d tokens a second after the time that the reserve is held back, want %d", name, got, c.want)
		}
	}
}

// Pattern: callers of one account send four times their usual from one moment to the next.
// The ledger is told the new rate before a partition begins, not with the next tokens.
func TestRateFollowsTheDemand(t *testing.T) {
	start := time.Unix(1000, 0)
	h := holding(start, 100_000, 100_000)
	now, asked := start, uint64(0)
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		out := h.Reserve(now, now.String(), budgetName, 50, reservePolicy)
		out.Acquires = append(out.Acquires, h.Tick(now).Acquires...)
		for _, a := range out.Acquires {
			asked = a.GetRate()
			h.AcquireAnswered(now, budgetName, a.GetSeq(), &pb.AcquireResult{Funded: 1_000_000, Free: 500_000})
		}
	}
	if opens := h.budgets[budgetName].out.opens(); opens != asked || opens < 500 || opens > 1500 {
		t.Errorf("1,000 tokens a second are asked for; the reserve opens by %d, the ledger was told %d", opens, asked)
	}
}

// Symptom: the loss of all hosts right after a partition strands what they held in reserve.
// Sequence: the first batch after the partition is answered; nothing is due for a while; all
// hosts lose power.
// Cause: only a further batch shows the ledger that the holder had that answer.
func TestContactIsConfirmedAtOnceAfterAPartition(t *testing.T) {
	start := time.Unix(1000, 0)
	h := holding(start, 0, 1000)
	h.Tick(start.Add(400 * time.Millisecond))
	first := h.Tick(start.Add(500 * time.Millisecond)).Batch
	if first == nil {
		t.Fatal("no batch")
	}
	out, _ := h.SettleAnswered(start.Add(9*time.Second), first.GetSeq(), &pb.SettleResult{})
	if out.Batch.GetSeq() != first.GetSeq()+1 {
		t.Errorf("after the answer to batch %d comes %v", first.GetSeq(), out.Batch)
	}
	out, _ = h.SettleAnswered(start.Add(9*time.Second+50*time.Millisecond), out.Batch.GetSeq(), &pb.SettleResult{})
	if out.Batch != nil {
		t.Error("another batch at once in contact")
	}
}

// Symptom: requests are refused in the first seconds of a partition, and come back too early
// or too late, though most of their budget lies here in reserve.
// Sequence: the open tokens are used up before the reserve opens.
// Cause: the refusal did not say when it does.
func TestRefusalTellsWhenTheReserveOpens(t *testing.T) {
	start := time.Unix(1000, 0)
	h := holding(start, 0, 1000) // 200 tokens a second
	b := h.budgets[budgetName]
	at := start.Add(reserve.HoldPeriod - time.Second)
	for tokens, want := range map[uint64]time.Duration{100: 1500 * time.Millisecond, 1000: 6 * time.Second, 1001: 0} {
		got := h.opensIn(at, &waiter{tokens: tokens, why: errkind.BudgetUnreachable}, b)
		if max(got-want, want-got) > 10*time.Millisecond {
			t.Errorf("%d tokens: in %v, want %v", tokens, got, want)
		}
	}
	if got := h.opensIn(at, &waiter{tokens: 100, why: errkind.BudgetExhausted}, b); got != 0 {
		t.Errorf("a budget without tokens opens in %v", got)
	}
}
