package ledger_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/grant"
	"github.com/bluebellsail/bluebellsail/internal/grant/reserve"
	"github.com/bluebellsail/bluebellsail/internal/ledger"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	budgetName = "x"
	funds      = 3_000
	// maxClockStepBack is how far the clocks of the leader and of the hosts may be set back;
	// it is less than reserve.Margin.
	maxClockStepBack = 900 * time.Millisecond
	// suspendedDivisor sets the part of the time, 1/suspendedDivisor, that a suspended host
	// does not measure.
	suspendedDivisor = 3
)

var reservePolicy = grant.Policy{
	Horizon: 2 * time.Second, Reserve: 10 * time.Second, IdleReturn: time.Minute, Transfers: true,
	MinHistory: 100 * time.Millisecond, AtRiskPermille: 900,
	// The reserve becomes usable quickly, and its rate changes every few requests.
	Window: 500 * time.Millisecond, ReserveRatePermille: 6000,
}

// message is a message in transit between a holder and the ledger, or between two holders.
type message struct {
	ledger  bool
	deliver func()
}

// incarnation is one incarnation of a host, with a real grant.Holder.
type incarnation struct {
	holder *grant.Holder
	number uint64
	// asked are the tokens requested for each waiting or running request.
	reserved map[string]uint64
	// used is the maximum that its requests may have used; billed is the part of it that
	// the ledger knows.
	used, billed uint64
}

// fleet is a ledger and holders in virtual time, with a network that loses, duplicates and
// delays messages, hosts that die alone or together, and clocks that are set or stop.
type fleet struct {
	t     *rapid.T
	now   time.Time
	skew  time.Duration
	stamp int64
	index uint64

	ledger   *ledger.State
	hosts    []string
	live     map[string]*incarnation
	latest   map[string]*incarnation // the latest incarnation of each host, dead or alive
	policy   grant.Policy
	behind   map[string]time.Duration // time that a host's monotonic clock has not measured
	wallSkew map[string]time.Duration // error of a host's wall clock
	boots    int
	requests int
	messages []message
	// used is the maximum number of tokens that backend servers may have used.
	used uint64
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t: t, now: time.Unix(5000, 0), ledger: ledger.New(ledger.Options{}), hosts: []string{"a", "b", "c"},
		live: map[string]*incarnation{}, latest: map[string]*incarnation{}, policy: reservePolicy, behind: map[string]time.Duration{}, wallSkew: map[string]time.Duration{},
	}
	f.policy.Transfers = rapid.Bool().Draw(t, "transfers")
	f.ledger.SetFunds(f.record(), budgetName, budgetName, funds)
	for _, h := range f.hosts {
		f.boot(h)
	}
	return f
}

// record returns the metadata of the next record as the leader sets it: its time never
// decreases.
func (f *fleet) record() ledger.Record {
	f.index++
	f.stamp = max(f.stamp, f.now.Add(f.skew).UnixMilli())
	return ledger.Record{Index: f.index, Now: f.stamp, OpID: fmt.Sprint("op", f.index)}
}

func (f *fleet) clock(host string) time.Time { return f.now.Add(-f.behind[host]) }

// wall returns a host's wall-clock time.
func (f *fleet) wall(host string) time.Time { return f.now.Add(f.wallSkew[host]) }

func (f *fleet) boot(host string) {
	f.boots++
	age := time.Duration(rapid.IntRange(0, 800).Draw(f.t, "age")) * time.Millisecond
	registered, err := f.ledger.RegisterHost(f.record(), &pb.RegisterHost{
		Host: host, BootId: fmt.Sprint("boot", f.boots), AgeMs: age.Milliseconds(), WallMs: f.wall(host).Add(-age).UnixMilli(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.checkLatest(host)
	r := &incarnation{number: registered.Holder.Incarnation, reserved: map[string]uint64{}}
	r.holder = grant.New(registered.Holder, grant.Config{WallClock: func() time.Time { return f.wall(host) }}, rand.New(rand.NewSource(int64(f.boots))))
	r.holder.RecordContact(f.clock(host))
	r.holder.SetPeers(f.others(host))
	f.live[host], f.latest[host] = r, r
}

// checkLatest checks that the ledger counts as billed or granted all that a host's latest
// incarnation may have used. It is skipped with transfers, as transferred tokens are granted
// to the other host in the ledger for a while.
func (f *fleet) checkLatest(host string) {
	r := f.latest[host]
	if r == nil || f.policy.Transfers {
		return
	}
	b, err := f.ledger.Budget(budgetName)
	if err != nil {
		f.t.Fatal(err)
	}
	counted := r.billed
	for _, g := range b.Granted {
		if g.Holder.Incarnation == r.number {
			counted += g.Tokens
		}
	}
	if counted < r.used {
		f.t.Fatalf("incarnation %d of %s used %d tokens, but only %d count as spent: %s", r.number, host, r.used, counted, f.budgets())
	}
}

func (f *fleet) others(host string) []string {
	var out []string
	for _, h := range f.hosts {
		if h != host {
			out = append(out, h)
		}
	}
	return out
}

func (f *fleet) send(ledger bool, deliver func()) {
	f.messages = append(f.messages, message{ledger: ledger, deliver: deliver})
}

// process sends a holder's messages and records its decisions.
func (f *fleet) process(host string, out grant.Output) {
	r := f.live[host]
	for _, d := range out.Decisions {
		if d.Err != nil {
			delete(r.reserved, d.Request)
			continue
		}
		f.used += r.reserved[d.Request]
		r.used += r.reserved[d.Request]
		if f.used > funds {
			f.t.Fatalf("after a grant to %s, requests may use %d tokens of %d funded: %s", host, f.used, funds, f.budgets())
		}
	}
	for _, a := range out.Acquires {
		f.send(true, func() {
			res, err := f.ledger.Acquire(f.record(), a)
			if err == nil {
				f.reply(true, host, r, func() grant.Output {
					return r.holder.AcquireAnswered(f.clock(host), budgetName, a.Seq, res)
				})
			}
		})
	}
	if b := out.Batch; b != nil {
		f.send(true, func() {
			res, resend, err := f.ledger.Settle(f.record(), b)
			if err == nil && !resend {
				for _, s := range b.Spends {
					r.billed += s.Tokens
				}
			}
			if err == nil {
				f.reply(true, host, r, func() grant.Output {
					o, _ := r.holder.SettleAnswered(f.clock(host), b.Seq, res)
					return o
				})
			}
		})
	}
	for _, ask := range out.Asks {
		f.send(false, func() { f.handleAsk(host, r, ask) })
	}
}

func (f *fleet) handleAsk(from string, receiver *incarnation, ask grant.Ask) {
	sender := f.live[ask.Peer]
	if sender == nil {
		return
	}
	t, state := sender.holder.HandleAsk(f.clock(ask.Peer), ask.Request)
	if state == grant.NewTransfer || state == grant.PendingTransfer {
		sender.holder.MarkTransferReady(ask.Request.Id)
	}
	f.reply(false, from, receiver, func() grant.Output { return receiver.holder.AskAnswered(f.clock(from), ask.Request.Id, t) })
}

// reply sends an answer that is delivered only to the given incarnation.
func (f *fleet) reply(ledger bool, host string, r *incarnation, answer func() grant.Output) {
	f.send(ledger, func() {
		if f.live[host] == r {
			f.process(host, answer())
		}
	})
}

func (f *fleet) budgets() string { return fmt.Sprint(f.ledger.Budgets()) }

func (f *fleet) host() string { return rapid.SampledFrom(f.hosts).Draw(f.t, "host") }

// reserve makes a host reserve tokens for a few requests.
func (f *fleet) reserve(h string) {
	for range rapid.IntRange(0, 4).Draw(f.t, "requests") {
		r := f.live[h]
		if r == nil {
			return
		}
		f.requests++
		id := fmt.Sprint("r", f.requests)
		r.reserved[id] = uint64(rapid.IntRange(1, 400).Draw(f.t, "tokens"))
		f.process(h, r.holder.Reserve(f.clock(h), id, budgetName, r.reserved[id], f.policy))
	}
}

// spend ends most of a host's requests that hold a reservation.
func (f *fleet) spend(h string) {
	r := f.live[h]
	if r == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(r.reserved)) {
		if rapid.IntRange(0, 3).Draw(f.t, "runs on") == 0 {
			continue
		}
		reserved := r.reserved[id]
		spent := uint64(rapid.IntRange(0, int(reserved)).Draw(f.t, "spent"))
		if out, held := r.holder.Spend(f.clock(h), id, spent); held {
			delete(r.reserved, id)
			f.used -= reserved - spent
			r.used -= reserved - spent
			f.process(h, out)
		}
	}
}

// advance advances the time of all hosts in steps, and calls Tick for each host in each step.
func (f *fleet) advance(maxSteps int) {
	for range rapid.IntRange(1, maxSteps).Draw(f.t, "steps") {
		d := time.Duration(rapid.IntRange(50, 400).Draw(f.t, "ms")) * time.Millisecond
		f.now = f.now.Add(d)
		if h := f.host(); rapid.IntRange(0, 9).Draw(f.t, "suspended") == 0 {
			f.behind[h] += d / suspendedDivisor
		}
		for _, h := range f.hosts {
			if f.live[h] != nil {
				f.process(h, f.live[h].holder.Tick(f.clock(h)))
			}
		}
	}
}

// deliver handles the messages in transit in random order: most are delivered, some are
// delivered and duplicated, some are lost, some stay in transit. Messages from and to the
// ledger stay in transit unless withLedger is set.
func (f *fleet) deliver(withLedger bool) {
	for range rapid.IntRange(1, 3).Draw(f.t, "rounds") {
		inTransit := f.messages
		f.messages = nil
		for _, i := range rapid.Permutation(indices(len(inTransit))).Draw(f.t, "order") {
			m := inTransit[i]
			fate := rapid.IntRange(0, 19).Draw(f.t, "fate")
			if m.ledger && !withLedger || fate == 0 {
				f.messages = append(f.messages, m)
				continue
			}
			if fate == 1 {
				f.messages = append(f.messages, m) // is delivered again later
			}
			if fate != 2 {
				m.deliver()
			}
		}
	}
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// calm simulates a period in which all hosts reach the ledger.
func (f *fleet) calm(*rapid.T) {
	for range rapid.IntRange(1, 4).Draw(f.t, "while") {
		h := f.host()
		f.reserve(h)
		f.deliver(true)
		f.advance(3)
		f.deliver(true)
		f.spend(h)
	}
}

// cut simulates a period in which no host reaches the ledger; the hosts reach each other.
func (f *fleet) cut(*rapid.T) {
	for range rapid.IntRange(1, 8).Draw(f.t, "while") {
		h := f.host()
		f.advance(6)
		f.reserve(h)
		f.deliver(false)
		f.spend(h)
	}
}

// loss simulates a partition that lasts until the reserve is usable, in which hosts spend from
// it, and which ends with the death of one host or all. Some of their messages are delivered
// before that.
func (f *fleet) loss(*rapid.T) {
	f.calm(f.t)
	f.advance(24)
	for range rapid.IntRange(1, 4).Draw(f.t, "while") {
		f.reserve(f.host())
		f.spend(f.host())
		f.advance(4)
	}
	f.kill(f.t)
	f.restart(f.t)
}

// kill ends the process of one host or of all hosts, just after they reserved tokens, and
// delivers only some of the messages in transit.
func (f *fleet) kill(*rapid.T) {
	for _, h := range f.hosts {
		f.reserve(h)
	}
	inTransit := f.messages
	f.messages = nil
	for _, m := range inTransit {
		if rapid.IntRange(0, 3).Draw(f.t, "arrives") == 0 {
			m.deliver()
		} else {
			f.messages = append(f.messages, m)
		}
	}
	if rapid.IntRange(0, 1).Draw(f.t, "all") == 0 {
		f.live = map[string]*incarnation{} // all hosts at once
		return
	}
	delete(f.live, f.host())
}

func (f *fleet) restart(*rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(f.t, "down")) * time.Millisecond)
	for _, h := range f.hosts {
		if f.live[h] == nil {
			f.boot(h)
		}
	}
}

// exhaust restarts all hosts and makes them use all tokens that they are granted, so that
// tokens which were wrongly freed before are spent a second time.
func (f *fleet) exhaust() {
	f.restart(f.t)
	for range 3 {
		for _, h := range f.hosts {
			f.reserve(h)
			f.deliver(true)
			f.advance(2)
			f.deliver(true)
		}
	}
}

func (f *fleet) setClock(*rapid.T) {
	ms := rapid.IntRange(int(-maxClockStepBack.Milliseconds()), 3000).Draw(f.t, "skew")
	f.skew = time.Duration(ms) * time.Millisecond
	maxSkew := int(maxClockStepBack.Milliseconds()) / 2
	for _, h := range f.hosts {
		f.wallSkew[h] = time.Duration(rapid.IntRange(-maxSkew, maxSkew).Draw(f.t, "wall")) * time.Millisecond
	}
}

// Holders spend from their reserves while the ledger is unreachable, die alone or together with
// messages in transit, and restart, while clocks are set or stop. If the ledger frees more than
// the former incarnations left unspent, a budget is overspent.
func TestReserveIsNeverSpentTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"calm": f.calm, "more calm": f.calm, "cut": f.cut, "kill": f.kill, "restart": f.restart, "set clock": f.setClock,
			"loss": f.loss,
		})
		f.exhaust()
	})
}

// When a connected host with a reserve is killed and restarts soon, nearly all of its reserve
// must be free again. If everything that it held counted as spent, no requests would be served
// after the death of all hosts although budgets have tokens.
func TestReserveFreedAfterKill(t *testing.T) {
	s := ledger.New(ledger.Options{})
	at := func(ms int64) ledger.Record { return ledger.Record{Index: uint64(ms) + 1, Now: 1_000_000 + ms} }
	s.SetFunds(at(0), budgetName, budgetName, funds)
	boot := func(ms int64, id string) *pb.Holder {
		r, err := s.RegisterHost(at(ms), &pb.RegisterHost{Host: "a", BootId: id, AgeMs: 200})
		if err != nil {
			t.Fatal(err)
		}
		return r.Holder
	}
	first := boot(1, "one")
	got, err := s.Acquire(at(1), &pb.Acquire{Holder: first, Budget: budgetName, Seq: 1, Need: 100, Want: 100, Reserve: 1400, Rate: 280})
	if err != nil || got.Amount != 100 || got.Reserve != 1400 {
		t.Fatalf("acquired %v, %v", got, err)
	}
	for seq := range uint64(3) {
		if _, _, err := s.Settle(at(int64(300*(seq+1))), &pb.Settle{Holder: first, Seq: seq + 1}); err != nil {
			t.Fatal(err)
		}
	}
	// The last confirmed contact was 1.4 s ago, less the new incarnation's age of 0.2 s.
	boot(2000, "two")
	b, err := s.Budget(budgetName)
	if err != nil {
		t.Fatal(err)
	}
	granted := uint64(0)
	for _, g := range b.Granted {
		granted += g.Tokens
	}
	if granted > 100+1400/100 {
		t.Errorf("%d tokens count as spent, want the open part of 100 and almost nothing of the reserve", granted)
	}
}

func TestCountedAsSpentCoversUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.Uint64Range(0, 1<<50).Draw(t, "tokens")
		holder := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "holder"))
		more := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "more"))
		rate := rapid.Uint64().Draw(t, "rate")
		if usable, counted := reserve.Usable(tokens, rate, holder), reserve.CountedAsSpent(tokens, rate, holder+more-reserve.Margin); more >= 0 && usable > counted {
			t.Fatalf("%d tokens usable for the holder, but only %d count as spent", usable, counted)
		}
	})
}

// A holder may spend its reserve at a high rate during a partition, request a lower rate with
// its first message after the partition, and die before it has reported what it spent. If the
// ledger used the current rate to compute what it may have spent, the budget would be overspent.
func TestLowerRateDoesNotFreeSpentTokens(t *testing.T) {
	s := ledger.New(ledger.Options{})
	at := func(ms int64) ledger.Record { return ledger.Record{Index: uint64(ms) + 1, Now: 1_000_000 + ms} }
	s.SetFunds(at(0), budgetName, budgetName, funds)
	registered, err := s.RegisterHost(at(1), &pb.RegisterHost{Host: "a", BootId: "one"})
	if err != nil {
		t.Fatal(err)
	}
	acquire := func(ms int64, seq, reserveTokens, rate uint64) *pb.AcquireResult {
		got, err := s.Acquire(at(ms), &pb.Acquire{
			Holder: registered.Holder, Budget: budgetName, Seq: seq, Need: 1, Want: 1, Reserve: reserveTokens, Rate: rate,
		})
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	first := acquire(1, 1, 1000, 200)
	cut := (reserve.HoldPeriod + 4*time.Second).Milliseconds()
	last := acquire(cut, 2, 0, 1)
	spent := reserve.Usable(first.Reserve, 200, time.Duration(cut)*time.Millisecond)
	next, err := s.RegisterHost(at(cut+1), &pb.RegisterHost{Host: "a", BootId: "two"})
	if err != nil {
		t.Fatal(err)
	}
	freed := uint64(0)
	for _, g := range next.Former.Grants {
		freed += g.Freed
	}
	if first.Reserve == 0 || freed > first.Reserve-spent {
		t.Errorf("%d tokens freed of a reserve of %d, of which %d may have been spent; %d were free before", freed, first.Reserve, spent, last.Free)
	}
}

// When a budget of 10,000 with 4,000 granted is lowered to 2,000, returned tokens must not
// become free again, or more could be granted than operators allow. Raising the budget
// afterwards makes tokens available again.
func TestLoweredFundsDecreaseAsGrantsReturn(t *testing.T) {
	s := ledger.New(ledger.Options{})
	r := func(i uint64) ledger.Record { return ledger.Record{Index: i, Now: 1} }
	s.SetFunds(r(1), budgetName, budgetName, 10_000)
	registered, err := s.RegisterHost(r(2), &pb.RegisterHost{Host: "a", BootId: "one"})
	if err != nil {
		t.Fatal(err)
	}
	acquire := func(seq, need uint64) uint64 {
		got, err := s.Acquire(r(3), &pb.Acquire{Holder: registered.Holder, Budget: budgetName, Seq: seq, Need: need, Want: need})
		if err != nil {
			t.Fatal(err)
		}
		return got.Amount
	}
	if got := acquire(1, 4000); got != 4000 {
		t.Fatalf("acquired %d", got)
	}
	s.SetFunds(r(3), budgetName, budgetName, 2000)
	if got := acquire(2, 10); got != 0 {
		t.Errorf("%d tokens granted above the lowered funds", got)
	}
	settle := &pb.Settle{
		Holder: registered.Holder, Seq: 1, Spends: []*pb.Spend{{Budget: budgetName, Tokens: 1500, Requests: 3}},
		Returns: []*pb.Return{{Budget: budgetName, Tokens: 2500}},
	}
	if _, _, err := s.Settle(r(4), settle); err != nil {
		t.Fatal(err)
	}
	b, err := s.Budget(budgetName)
	if err != nil || b.Funded != 2000 || b.Billed != 1500 || b.Bills != 3 {
		t.Errorf("budget %v, %v", b, err)
	}
	if got := acquire(3, 900); got != 500 {
		t.Errorf("acquired %d, want the remaining 500", got)
	}
	s.SetFunds(r(5), budgetName, budgetName, 3000)
	if got := acquire(4, 900); got != 900 {
		t.Errorf("acquired %d after the funds were raised, want 900", got)
	}
}

// The arrival of a batch does not prove that its holder was connected at that moment. A batch
// may be delayed while its holder, without an answer, spends its reserve; if the holder dies
// before it gets the answer, counting the arrival as contact would overspend the budget.
func TestDelayedBatchIsNotContact(t *testing.T) {
	s := ledger.New(ledger.Options{})
	at := func(ms int64) ledger.Record { return ledger.Record{Index: uint64(ms) + 1, Now: 1_000_000 + ms} }
	s.SetFunds(at(0), budgetName, budgetName, 1100)
	registered, err := s.RegisterHost(at(1), &pb.RegisterHost{Host: "a", BootId: "one"})
	if err != nil {
		t.Fatal(err)
	}
	acquired, err := s.Acquire(at(1), &pb.Acquire{Holder: registered.Holder, Budget: budgetName, Seq: 1, Need: 100, Want: 100, Reserve: 1000, Rate: 200})
	if err != nil || acquired.Reserve == 0 {
		t.Fatalf("acquired %v, %v", acquired, err)
	}
	delay := reserve.HoldPeriod + 5*time.Second // the whole reserve is usable
	if _, _, err := s.Settle(at(300), &pb.Settle{Holder: registered.Holder, Seq: 1}); err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.Settle(at(400+delay.Milliseconds()), &pb.Settle{Holder: registered.Holder, Seq: 2}); err != nil {
		t.Fatal(err)
	}
	next, err := s.RegisterHost(at(500+delay.Milliseconds()), &pb.RegisterHost{Host: "a", BootId: "two"})
	if err != nil {
		t.Fatal(err)
	}
	got, err := s.Acquire(at(500+delay.Milliseconds()), &pb.Acquire{Holder: next.Holder, Budget: budgetName, Seq: 1, Need: 1100, Want: 1100})
	if err != nil || got.Amount != acquired.Free {
		t.Errorf("%d tokens granted, want only the %d that no holder can have spent (%v)", got.GetAmount(), acquired.Free, err)
	}
}
