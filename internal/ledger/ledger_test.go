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

// testLedger is a ledger with one budget and live holders.
type testLedger struct {
	t      *testing.T
	ledger *State
	now    int64
	index  uint64
	seqs   map[uint64]uint64
}

func newTestLedger(t *testing.T, o Options, tokens uint64) *testLedger {
	r := &testLedger{t: t, ledger: New(o), now: testStart, seqs: map[uint64]uint64{}}
	if _, _, err := r.ledger.CreateBudget(r.record(), &pb.CreateBudget{Name: testBudget, Tokens: tokens}); err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *testLedger) record() Record {
	r.index++
	return Record{Index: r.index, Now: r.now, OpID: fmt.Sprint("op", r.index)}
}

// restore replaces the ledger by one read from its snapshot.
func (r *testLedger) restore() {
	r.t.Helper()
	r.ledger = restored(r.t, r.ledger)
}

func (r *testLedger) register(host string) *pb.Holder {
	res, err := r.ledger.RegisterHost(r.record(), &pb.RegisterHost{Host: host, BootId: fmt.Sprint(r.index)})
	testutil.NoError(r.t, err)
	return res.Holder
}

func (r *testLedger) acquire(h *pb.Holder, seq, need, want uint64) uint64 {
	r.t.Helper()
	res, err := r.ledger.Acquire(r.record(), &pb.Acquire{Holder: h, Budget: testBudget, Seq: seq, Need: need, Want: want})
	testutil.NoError(r.t, err)
	return res.Amount
}

// settle sends the holder's next batch; the sequence number of a refused batch is reused.
func (r *testLedger) settle(h *pb.Holder, b *pb.Settle) (*pb.SettleResult, error) {
	b.Holder, b.Seq = h, r.seqs[h.Incarnation]+1
	res, _, err := r.ledger.Settle(r.record(), b)
	if err == nil {
		r.seqs[h.Incarnation]++
	}
	return res, err
}

// mustSettle sends the holder's next batch, which must be accepted.
func (r *testLedger) mustSettle(h *pb.Holder, b *pb.Settle) *pb.SettleResult {
	r.t.Helper()
	res, err := r.settle(h, b)
	testutil.NoError(r.t, err)
	return res
}

// refuses checks that a batch is refused with a kind. what describes the batch.
func (r *testLedger) refuses(h *pb.Holder, b *pb.Settle, kind errkind.Kind, what string) {
	r.t.Helper()
	_, err := r.settle(h, b)
	testutil.Refused(r.t, err, kind, what)
}

func bills(identity string, tokens uint64, arrived int64) []*pb.Bill {
	return []*pb.Bill{{Budget: testBudget, Identity: identity, Tokens: tokens, TimeMs: arrived}}
}

func returns(tokens uint64) []*pb.Return { return []*pb.Return{{Budget: testBudget, Tokens: tokens}} }

func (r *testLedger) bill(h *pb.Holder, identity string, tokens uint64, arrived int64) (duplicate bool) {
	r.t.Helper()
	return len(r.mustSettle(h, &pb.Settle{Bills: bills(identity, tokens, arrived)}).Duplicates) > 0
}

func (r *testLedger) level(granted ...uint64) string {
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

// If a host runs an identity and is cut off, a retry may run on another host and be billed.
// When the first host settles hours later, the ledger must still remember the identity, or
// the request is billed twice.
func TestIdentityOutlivesPartition(t *testing.T) {
	r := newTestLedger(t, Options{}, 1_000_000)
	idle := r.register("idle") // returns its tokens, so it does not keep identities from being forgotten
	farHost, nearHost := r.register("far"), r.register("near")
	r.acquire(farHost, 1, 100, 100)
	r.acquire(nearHost, 1, 10_000, 10_000)
	arrived := r.now
	r.restore()
	r.acquire(idle, 1, 10, 10)
	r.mustSettle(idle, &pb.Settle{Returns: returns(10)})
	if r.bill(nearHost, "school/1", 10, r.now) {
		t.Fatal("the first bill was reported as a duplicate")
	}
	for i := range 500 { // more than eight hours
		r.now += time.Minute.Milliseconds()
		r.bill(nearHost, fmt.Sprint("school/n", i), 1, r.now)
	}
	if !r.bill(farHost, "school/1", 10, arrived) {
		t.Error("an identity was billed twice")
	}
	if r.bill(farHost, "school/2", 10, arrived) {
		t.Error("a request that only the host beyond the cut served was not billed")
	}
	if got := r.level(0, 90, 9490); got != "520 of 1000000" {
		t.Errorf("billed %s", got)
	}
	for range 100 { // with all hosts connected again the memory shrinks
		r.now += time.Minute.Milliseconds()
		r.bill(farHost, fmt.Sprint("school/c", r.now), 0, r.now)
		r.bill(nearHost, fmt.Sprint("school/c", r.now, "n"), 0, r.now)
	}
	if n := r.ledger.billed.memory.Len(); n > 120 {
		t.Errorf("too many identities are remembered: %d", n)
	}
}

// When more identities are billed than can be remembered for disconnected hosts, a forgotten
// identity must not count as never billed, or a late bill of such a host is billed twice. Bills
// of connected hosts must not be refused for lack of space either.
func TestBillWithForgottenDuplicateIsExpired(t *testing.T) {
	r := newTestLedger(t, Options{MaxIdentities: 64}, 1_000_000)
	farHost, nearHost := r.register("far"), r.register("near")
	r.acquire(farHost, 1, 100, 100)
	r.acquire(nearHost, 1, 10_000, 10_000)
	arrived := r.now
	for i := range 300 {
		r.now += 20 * time.Second.Milliseconds()
		if r.bill(nearHost, fmt.Sprint("school/", i), 1, r.now) {
			t.Fatalf("bill %d of a connected host was refused", i)
		}
	}
	if !r.bill(farHost, "school/0", 10, arrived) || r.ledger.Counters().Expired != 1 {
		t.Errorf("a bill whose duplicate may be forgotten was billed; counters %+v", r.ledger.Counters())
	}
	r.level(100, 9700)
	if n := r.ledger.billed.memory.Len(); n > 200 {
		t.Errorf("too many identities are remembered: %d", n)
	}
}

// Bills must be checked against the grant, and not be applied one by one. If a good bill is
// followed in the same batch by one that exceeds the grant, a holder could otherwise spend
// tokens that were not granted, or half of the batch would be applied.
func TestOverdrawnBatchIsRefusedWhole(t *testing.T) {
	r := newTestLedger(t, Options{}, 1000)
	h := r.register("h")
	r.acquire(h, 1, 100, 100)
	bad := []*pb.Settle{
		{Bills: []*pb.Bill{{Budget: testBudget, Identity: "a", Tokens: 60, TimeMs: 1}, {Budget: testBudget, Identity: "b", Tokens: 41, TimeMs: 1}}},
		{Bills: bills("a", 60, 1), Returns: returns(41)},
	}
	for _, b := range bad {
		r.refuses(h, b, errkind.Internal, "a batch that exceeds the grant")
	}
	if got := r.level(100); got != "0 of 1000" || r.ledger.billed.memory.Len() != 0 {
		t.Errorf("after a refused batch: billed %s, %d identities", got, r.ledger.billed.memory.Len())
	}
}

// Several hosts request far more than they need immediately. If a grant took more than a share
// of the free tokens, hosts that need tokens would be refused while others hold the last
// ones idle.
func TestGrantsHalveAsBudgetRunsLow(t *testing.T) {
	r := newTestLedger(t, Options{}, 1000)
	var got []uint64
	for i := range 5 {
		got = append(got, r.acquire(r.register(fmt.Sprint("h", i)), 1, 10, 1000))
	}
	if fmt.Sprint(got) != "[500 125 62 39 27]" {
		t.Errorf("grants %v", got)
	}
	if short := r.acquire(r.register("last"), 1, 400, 400); short != 247 {
		t.Errorf("a need that exceeds the free tokens got %d, want the 247 that are free", short)
	}
	if none := r.acquire(r.register("none"), 1, 1, 1); none != 0 {
		t.Errorf("an empty budget granted %d", none)
	}
}

func TestSharesGrowWhenTokensAreReturned(t *testing.T) {
	r := newTestLedger(t, Options{}, 1000)
	var hosts []*pb.Holder
	for i := range 4 {
		hosts = append(hosts, r.register(fmt.Sprint("h", i)))
		r.acquire(hosts[i], 1, 100, 100)
	}
	for _, h := range hosts[1:] {
		r.mustSettle(h, &pb.Settle{Returns: returns(100)})
	}
	if got := r.acquire(hosts[0], 2, 1, 1000); got != 450 {
		t.Errorf("the only holder with tokens got %d of 900 free, want half", got)
	}
}

// A transfer must be applied once, not once per report, and not before its sender has the
// tokens; otherwise tokens are duplicated. Here B forwards to C what A sent it; C settles
// before B; then B reports both transfers, and A reports its own again.
func TestTransferAppliedOnceInAnyOrder(t *testing.T) {
	r := newTestLedger(t, Options{}, 1000)
	a, b, c := r.register("a"), r.register("b"), r.register("c")
	r.acquire(a, 1, 100, 100)
	first := &pb.Transfer{Id: "1", Budget: testBudget, From: a, To: b, Tokens: 80}
	second := &pb.Transfer{Id: "2", Budget: testBudget, From: b, To: c, Tokens: 70}
	r.refuses(c, &pb.Settle{Transfers: []*pb.Transfer{second}}, errkind.BudgetUnreachable, "a transfer of tokens that the sender doesn't have")
	for _, s := range []struct {
		holder    *pb.Holder
		transfers []*pb.Transfer
	}{{b, []*pb.Transfer{second, first}}, {c, []*pb.Transfer{second}}, {a, []*pb.Transfer{first, first}}} {
		r.mustSettle(s.holder, &pb.Settle{Transfers: s.transfers})
	}
	r.level(20, 10, 70)
}

// A returns tokens, gets others from B and forwards all to C before the ledger knows of B's
// transfer. If C reports that before A's return arrives, A's batches are refused. This must
// overspend nothing, and must end when B reports its transfer.
func TestTokensForwardedTooEarly(t *testing.T) {
	r := newTestLedger(t, Options{}, 1000)
	a, b, c := r.register("a"), r.register("b"), r.register("c")
	r.acquire(a, 1, 40, 40)
	r.acquire(b, 1, 40, 40)
	back := &pb.Settle{Returns: returns(5)}
	in := &pb.Transfer{Id: "in", Budget: testBudget, From: b, To: a, Tokens: 5}
	out := &pb.Transfer{Id: "out", Budget: testBudget, From: a, To: c, Tokens: 40}
	r.mustSettle(c, &pb.Settle{Transfers: []*pb.Transfer{out}})
	r.refuses(a, back, errkind.Internal, "a return of tokens that the ledger does not yet count as granted")
	r.level(0, 40, 40)
	r.mustSettle(b, &pb.Settle{Transfers: []*pb.Transfer{in}})
	r.mustSettle(a, back)
	r.level(0, 35, 40)
}

// The copies held by a dead holder's peers may bill more tokens than it was granted. If the
// recovery refused such a bill, the rest of the holder's tokens would stay granted forever; it
// must bill what the holder has and count the bill as capped.
func TestRecoveryCapsBills(t *testing.T) {
	r := newTestLedger(t, Options{}, 1000)
	old := r.register("h")
	r.acquire(old, 1, 100, 100)
	m := &pb.RecoverHolder{Dead: old, Bills: bills("a", 150, 1)}
	_, _, err := r.ledger.RecoverHolder(r.record(), m)
	testutil.Refused(t, err, errkind.BadRequest, "recovery of a live holder")
	m.GatheredFrom = []*pb.Holder{r.register("h")}
	for _, resend := range []bool{false, true} {
		res, again, err := r.ledger.RecoverHolder(r.record(), m)
		if err != nil || again != resend || res.Billed != 100 || res.Released != 0 {
			t.Errorf("recovery: %v, resend %v, error %v", res, again, err)
		}
	}
	if got := r.level(); got != "100 of 1000" || r.ledger.Counters().Capped != 1 {
		t.Errorf("billed %s, counters %+v", got, r.ledger.Counters())
	}
}

func TestSettleResendGetsSameResult(t *testing.T) {
	r := newTestLedger(t, Options{}, 1000)
	h := r.register("h")
	r.acquire(h, 1, 100, 100)
	r.bill(h, "a", 10, 1)
	b := &pb.Settle{Bills: bills("a", 10, 1)}
	first, err := r.settle(h, b)
	testutil.NoError(t, err)
	r.restore()
	again, resend, err := r.ledger.Settle(r.record(), b)
	if err != nil || !resend || fmt.Sprint(first) != fmt.Sprint(again) || len(first.Duplicates) != 1 {
		t.Errorf("first result %v, result of the resend %v, resend %v, error %v", first, again, resend, err)
	}
	_, _, err = r.ledger.Settle(r.record(), &pb.Settle{Holder: h, Seq: 4})
	testutil.Refused(t, err, errkind.VersionConflict, "a batch after a gap")
}

func TestOverflowAndViolatedInvariant(t *testing.T) {
	r := newTestLedger(t, Options{}, math.MaxUint64)
	_, _, err := r.ledger.TopUp(r.record(), &pb.TopUp{Budget: testBudget, Tokens: 1})
	testutil.Refused(t, err, errkind.BadRequest, "an overflowing top-up")
	for _, billed := range []uint64{100, math.MaxUint64} {
		b := &budget{name: "broken", funded: 100, granted: 1, billed: billed}
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("no panic for a budget with %d billed and 1 granted of 100 funded", billed)
				}
			}()
			checkInvariant(b)
		}()
	}
}

func TestStatementKeepsLastLinesAndExactTotals(t *testing.T) {
	r := newTestLedger(t, Options{StatementLines: 3}, 1000)
	h := r.register("h")
	r.acquire(h, 1, 100, 100)
	for i := range 5 {
		r.bill(h, fmt.Sprint("id", i), 2, 1)
	}
	lines, err := r.ledger.Statement(testBudget, 2)
	if err != nil || len(lines) != 2 || lines[0].Identity != "id3" || lines[1].Identity != "id4" {
		t.Errorf("last lines %v, error %v", lines, err)
	}
	if got := r.level(90); got != "10 of 1000" {
		t.Errorf("billed %s", got)
	}
}

// An incarnation that leaves reports its removal; a duplicate of that report may arrive after
// the host's next incarnation has registered. If the report referred to the host and not to
// the incarnation, the running host would be refused as removed and get no grants.
func TestLateRemovalOfFormerIncarnationIsRefused(t *testing.T) {
	r := newTestLedger(t, Options{}, 1000)
	s, first, second := r.ledger, r.register("a"), r.register("a")
	err := s.RemoveHost(&pb.RemoveHost{Host: "a", Incarnation: first.Incarnation})
	testutil.Refused(t, err, errkind.StaleFence, "the removal of the former incarnation")
	if err := s.Live(second); err != nil {
		t.Fatalf("the current incarnation is not live: %v", err)
	}
	testutil.NoError(t, s.RemoveHost(&pb.RemoveHost{Host: "a", Incarnation: second.Incarnation}))
	if s.Live(second) == nil {
		t.Fatal("the incarnation that left still counts as live")
	}
}
