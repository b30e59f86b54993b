package ledger

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const testStart = 1_000_000_000

// rig is a ledger with one budget and live holders.
type rig struct {
	t      *testing.T
	ledger *State
	now    int64
	index  uint64
	seqs   map[uint64]uint64
}

func newRig(t *testing.T, o Options, tokens uint64) *rig {
	r := &rig{t: t, ledger: New(o), now: testStart, seqs: map[uint64]uint64{}}
	if _, _, err := r.ledger.CreateBudget(r.record(), &pb.CreateBudget{Name: testBudget, Tokens: tokens}); err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *rig) record() Record {
	r.index++
	return Record{Index: r.index, Now: r.now, OpID: fmt.Sprint("op", r.index)}
}

// restore replaces the ledger by one read from its snapshot.
func (r *rig) restore() {
	r.t.Helper()
	r.ledger = restored(r.t, r.ledger)
}

func (r *rig) register(host string) *pb.Holder {
	res, err := r.ledger.RegisterHost(r.record(), &pb.RegisterHost{Host: host, BootId: fmt.Sprint(r.index)})
	testutil.NoError(r.t, err)
	return res.Holder
}

func (r *rig) acquire(h *pb.Holder, seq, need, want uint64) uint64 {
	r.t.Helper()
	res, err := r.ledger.Acquire(r.record(), &pb.Acquire{Holder: h, Budget: testBudget, Seq: seq, Need: need, Want: want})
	testutil.NoError(r.t, err)
	return res.Amount
}

// settle sends the holder's next batch; a refused one is not counted.
func (r *rig) settle(h *pb.Holder, b *pb.Settle) (*pb.SettleResult, error) {
	b.Holder, b.Seq = h, r.seqs[h.Incarnation]+1
	res, _, err := r.ledger.Settle(r.record(), b)
	if err == nil {
		r.seqs[h.Incarnation]++
	}
	return res, err
}

// mustSettle is settle for a batch that is to be accepted.
func (r *rig) mustSettle(h *pb.Holder, b *pb.Settle) *pb.SettleResult {
	r.t.Helper()
	res, err := r.settle(h, b)
	testutil.NoError(r.t, err)
	return res
}

// refuses checks that a batch is refused with a kind. what names the batch.
func (r *rig) refuses(h *pb.Holder, b *pb.Settle, kind errkind.Kind, what string) {
	r.t.Helper()
	_, err := r.settle(h, b)
	testutil.Refused(r.t, err, kind, what)
}

func bills(identity string, tokens uint64, arrived int64) []*pb.Bill {
	return []*pb.Bill{{Budget: testBudget, Identity: identity, Tokens: tokens, TimeMs: arrived}}
}

func returns(tokens uint64) []*pb.Return { return []*pb.Return{{Budget: testBudget, Tokens: tokens}} }

func (r *rig) bill(h *pb.Holder, identity string, tokens uint64, arrived int64) (duplicate bool) {
	r.t.Helper()
	return len(r.mustSettle(h, &pb.Settle{Bills: bills(identity, tokens, arrived)}).Duplicates) > 0
}

func (r *rig) level(granted ...uint64) string {
	b, err := r.ledger.Budget(testBudget)
	testutil.NoError(r.t, err)
	got := []uint64{}
	for _, g := range b.Granted {
		got = append(got, g.Tokens)
	}
	if fmt.Sprint(got) != fmt.Sprint(granted) {
		r.t.Errorf("granted %v, want %v", got, granted)
	}
	return fmt.Sprint(b.Billed, " of ", b.Funded)
}

// Symptom: a request is billed twice after a partition.
// Sequence: a host runs an identity and is cut off; a retry of it runs at another
// host and is billed; far over a window later the cut heals and the first host settles.
// Cause: the ledger forgot the identity although a holder with an unsettled bill was out of contact.
func TestIdentityOutlivesPartition(t *testing.T) {
	r := newRig(t, Options{}, 1_000_000)
	idle := r.register("idle") // gives its tokens back, so it holds nothing up
	cutOff, near := r.register("far"), r.register("near")
	r.acquire(cutOff, 1, 100, 100)
	r.acquire(near, 1, 10_000, 10_000)
	arrived := r.now
	r.restore()
	r.acquire(idle, 1, 10, 10)
	r.mustSettle(idle, &pb.Settle{Returns: returns(10)})
	if r.bill(near, "school/1", 10, r.now) {
		t.Fatal("the first bill is called a duplicate")
	}
	for i := range 500 { // more than eight hours
		r.now += time.Minute.Milliseconds()
		r.bill(near, fmt.Sprint("school/n", i), 1, r.now)
	}
	if !r.bill(cutOff, "school/1", 10, arrived) {
		t.Error("billed twice")
	}
	if r.bill(cutOff, "school/2", 10, arrived) {
		t.Error("a request that only the far side served was not billed")
	}
	if got := r.level(0, 90, 9490); got != "520 of 1000000" {
		t.Errorf("billed %s", got)
	}
	for range 100 { // with everyone in contact again the memory shrinks
		r.now += time.Minute.Milliseconds()
		r.bill(cutOff, fmt.Sprint("school/c", r.now), 0, r.now)
		r.bill(near, fmt.Sprint("school/c", r.now, "n"), 0, r.now)
	}
	if n := r.ledger.billed.memory.Len(); n > 120 {
		t.Errorf("%d identities are remembered", n)
	}
}

// Symptom: a request is billed twice once the memory of identities is full.
// Sequence: an identity is billed, more follow than are remembered for hosts out of
// contact, and such a host brings the identity again.
// Cause: an identity not found was taken for one never billed; or, the other way
// about, bills of hosts in contact were refused for want of room.
func TestBillPastMemoryIsExpired(t *testing.T) {
	r := newRig(t, Options{MaxIdentities: 64}, 1_000_000)
	cutOff, near := r.register("far"), r.register("near")
	r.acquire(cutOff, 1, 100, 100)
	r.acquire(near, 1, 10_000, 10_000)
	arrived := r.now
	for i := range 300 {
		r.now += 20 * time.Second.Milliseconds()
		if r.bill(near, fmt.Sprint("school/", i), 1, r.now) {
			t.Fatalf("bill %d of a host in contact was refused", i)
		}
	}
	if !r.bill(cutOff, "school/0", 10, arrived) || r.ledger.Counters().Expired != 1 {
		t.Errorf("a bill past the memory was billed; counters %+v", r.ledger.Counters())
	}
	r.level(100, 9700)
	if n := r.ledger.billed.memory.Len(); n > 200 {
		t.Errorf("%d identities are remembered", n)
	}
}

// Symptom: a holder spends tokens that nobody granted it, or half a batch is applied.
// Sequence: a batch with a good bill is followed in the same batch by one above the grant.
// Cause: bills were applied one by one, or not checked against the grant.
func TestOverdrawnBatchIsRefusedWhole(t *testing.T) {
	r := newRig(t, Options{}, 1000)
	h := r.register("h")
	r.acquire(h, 1, 100, 100)
	bad := []*pb.Settle{
		{Bills: []*pb.Bill{{Budget: testBudget, Identity: "a", Tokens: 60, TimeMs: 1}, {Budget: testBudget, Identity: "b", Tokens: 41, TimeMs: 1}}},
		{Bills: bills("a", 60, 1), Returns: returns(41)},
	}
	for _, b := range bad {
		r.refuses(h, b, errkind.Internal, "an overdrawn batch")
	}
	if got := r.level(100); got != "0 of 1000" || r.ledger.billed.memory.Len() != 0 {
		t.Errorf("a refused batch left %s, %d identities", got, r.ledger.billed.memory.Len())
	}
}

// Symptom: hosts that need tokens are refused while others hold the last ones idle.
// Sequence: one host after another asks for far more than it needs at once.
// Cause: a grant took more than a share of what was free.
func TestGrantsHalveAsBudgetRunsLow(t *testing.T) {
	r := newRig(t, Options{}, 1000)
	var got []uint64
	for i := range 5 {
		got = append(got, r.acquire(r.register(fmt.Sprint("h", i)), 1, 10, 1000))
	}
	if fmt.Sprint(got) != "[500 125 62 39 27]" {
		t.Errorf("grants %v", got)
	}
	if short := r.acquire(r.register("last"), 1, 400, 400); short != 247 {
		t.Errorf("a need above what is free got %d, want the 247 that are free", short)
	}
	if none := r.acquire(r.register("none"), 1, 1, 1); none != 0 {
		t.Errorf("an empty budget granted %d", none)
	}
}

func TestSharesGrowWhenHoldersGiveBack(t *testing.T) {
	r := newRig(t, Options{}, 1000)
	var hosts []*pb.Holder
	for i := range 4 {
		hosts = append(hosts, r.register(fmt.Sprint("h", i)))
		r.acquire(hosts[i], 1, 100, 100)
	}
	for _, h := range hosts[1:] {
		r.mustSettle(h, &pb.Settle{Returns: returns(100)})
	}
	if got := r.acquire(hosts[0], 2, 1, 1000); got != 450 {
		t.Errorf("the only holder of tokens got %d of 900, want half", got)
	}
}

// Symptom: tokens are doubled by a transfer.
// Sequence: B passes on to C what A gave it; C settles before B; then B reports both
// transfers, and A reports its own again.
// Cause: a transfer was counted before its giver had the tokens, or once per report.
func TestTransferCountsOnceInAnyOrder(t *testing.T) {
	r := newRig(t, Options{}, 1000)
	a, b, c := r.register("a"), r.register("b"), r.register("c")
	r.acquire(a, 1, 100, 100)
	first := &pb.Transfer{Id: "1", Budget: testBudget, From: a, To: b, Tokens: 80}
	second := &pb.Transfer{Id: "2", Budget: testBudget, From: b, To: c, Tokens: 70}
	r.refuses(c, &pb.Settle{Transfers: []*pb.Transfer{second}}, errkind.BudgetUnreachable, "a transfer of tokens that the giver hasn't")
	for _, s := range []struct {
		holder    *pb.Holder
		transfers []*pb.Transfer
	}{{b, []*pb.Transfer{second, first}}, {c, []*pb.Transfer{second}}, {a, []*pb.Transfer{first, first}}} {
		r.mustSettle(s.holder, &pb.Settle{Transfers: s.transfers})
	}
	r.level(20, 10, 70)
}

// Symptom: a holder's batches are refused one after the other.
// Sequence: A returns tokens, gets others from B, passes all on to C; C reports that
// before A's return arrives.
// Cause: A passed on tokens whose transfer the ledger didn't know. The refusal must
// overspend nothing and end when B reports its transfer.
func TestTokensPassedOnTooEarly(t *testing.T) {
	r := newRig(t, Options{}, 1000)
	a, b, c := r.register("a"), r.register("b"), r.register("c")
	r.acquire(a, 1, 40, 40)
	r.acquire(b, 1, 40, 40)
	back := &pb.Settle{Returns: returns(5)}
	in := &pb.Transfer{Id: "in", Budget: testBudget, From: b, To: a, Tokens: 5}
	out := &pb.Transfer{Id: "out", Budget: testBudget, From: a, To: c, Tokens: 40}
	r.mustSettle(c, &pb.Settle{Transfers: []*pb.Transfer{out}})
	r.refuses(a, back, errkind.Internal, "a return of tokens that the ledger doesn't know of")
	r.level(0, 40, 40)
	r.mustSettle(b, &pb.Settle{Transfers: []*pb.Transfer{in}})
	r.mustSettle(a, back)
	r.level(0, 35, 40)
}

// Symptom: a dead holder's bill above its grant locks the rest of its tokens for good.
// Sequence: its peers' copies name more tokens than it was granted.
// Cause: recovery refused the bill; it must bill what is there and count it.
func TestRecoveryCapsBills(t *testing.T) {
	r := newRig(t, Options{}, 1000)
	old := r.register("h")
	r.acquire(old, 1, 100, 100)
	m := &pb.RecoverHolder{Dead: old, Bills: bills("a", 150, 1)}
	_, _, err := r.ledger.RecoverHolder(r.record(), m)
	testutil.Refused(t, err, errkind.BadRequest, "recovery of a live holder")
	m.GatheredFrom = []*pb.Holder{r.register("h")}
	for _, resend := range []bool{false, true} {
		res, again, err := r.ledger.RecoverHolder(r.record(), m)
		if err != nil || again != resend || res.Billed != 100 || res.Released != 0 {
			t.Errorf("recovery got %v, resend %v, %v", res, again, err)
		}
	}
	if got := r.level(); got != "100 of 1000" || r.ledger.Counters().Capped != 1 {
		t.Errorf("billed %s, counters %+v", got, r.ledger.Counters())
	}
}

func TestSettleResendGetsSameResult(t *testing.T) {
	r := newRig(t, Options{}, 1000)
	h := r.register("h")
	r.acquire(h, 1, 100, 100)
	r.bill(h, "a", 10, 1)
	b := &pb.Settle{Bills: bills("a", 10, 1)}
	first, err := r.settle(h, b)
	testutil.NoError(t, err)
	r.restore()
	again, resend, err := r.ledger.Settle(r.record(), b)
	if err != nil || !resend || fmt.Sprint(first) != fmt.Sprint(again) || len(first.Duplicates) != 1 {
		t.Errorf("first %v, again %v, resend %v, %v", first, again, resend, err)
	}
	_, _, err = r.ledger.Settle(r.record(), &pb.Settle{Holder: h, Seq: 4})
	testutil.Refused(t, err, errkind.VersionConflict, "a gap")
}

func TestOverflowAndBrokenInvariant(t *testing.T) {
	r := newRig(t, Options{}, math.MaxUint64)
	_, _, err := r.ledger.TopUp(r.record(), &pb.TopUp{Budget: testBudget, Tokens: 1})
	testutil.Refused(t, err, errkind.BadRequest, "an overflowing top-up")
	for _, billed := range []uint64{100, math.MaxUint64} {
		b := &budget{name: "broken", funded: 100, granted: 1, billed: billed}
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("a budget with %d billed and 1 granted of 100 went on", billed)
				}
			}()
			checkInvariant(b)
		}()
	}
}

func TestStatementKeepsLastLinesAndExactTotals(t *testing.T) {
	r := newRig(t, Options{StatementLines: 3}, 1000)
	h := r.register("h")
	r.acquire(h, 1, 100, 100)
	for i := range 5 {
		r.bill(h, fmt.Sprint("id", i), 2, 1)
	}
	lines, err := r.ledger.Statement(testBudget, 2)
	if err != nil || len(lines) != 2 || lines[0].Identity != "id3" || lines[1].Identity != "id4" {
		t.Errorf("last lines are %v, %v", lines, err)
	}
	if got := r.level(90); got != "10 of 1000" {
		t.Errorf("billed %s", got)
	}
}

// Symptom: a running host gets no grants and is refused as removed.
// Sequence: its former run said that it leaves; a copy of that word arrives after the
// next run has registered.
// Cause: the word named the host and not the run.
func TestLateWordOfALeavingRunLeavesTheNextRun(t *testing.T) {
	r := newRig(t, Options{}, 1000)
	s, first, second := r.ledger, r.register("a"), r.register("a")
	err := s.RemoveHost(&pb.RemoveHost{Host: "a", Incarnation: first.Incarnation})
	testutil.Refused(t, err, errkind.StaleFence, "the former run's word")
	if err := s.Live(second); err != nil {
		t.Fatalf("the present run is not live: %v", err)
	}
	testutil.NoError(t, s.RemoveHost(&pb.RemoveHost{Host: "a", Incarnation: second.Incarnation}))
	if s.Live(second) == nil {
		t.Fatal("the run that left still counts as live")
	}
}
