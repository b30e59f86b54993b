package budgets

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/grant"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const budget = "school"

// purse is a host's own grant of one budget.
type purse struct {
	mu     sync.Mutex
	free   uint64
	refuse errkind.Kind // in place of tokens
	// opens is when tokens may be had; until then the refusal says so.
	opens time.Time
	// slow is how long a refusal takes.
	slow     time.Duration
	reserved map[string]uint64
	spent    uint64
	asked    int
}

func newPurse(tokens uint64) *purse { return &purse{free: tokens, reserved: map[string]uint64{}} }

func (p *purse) Reserve(_ context.Context, _, id string, tokens uint64) error {
	time.Sleep(p.slow)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	if p.refuse != "" {
		return errkind.New(p.refuse, "refused")
	}
	if in := time.Until(p.opens); in > 0 {
		return &grant.ReserveNotUsableError{Refusal: errkind.New(errkind.BudgetUnreachable, "in reserve").After(time.Second), UsableIn: in}
	}
	if p.free < tokens {
		return errkind.New(errkind.BudgetExhausted, "%d of %d", p.free, tokens)
	}
	p.free -= tokens
	p.reserved[id] = tokens
	return nil
}

func (p *purse) Spend(id string, tokens uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	whole := p.reserved[id]
	delete(p.reserved, id)
	tokens = min(tokens, whole)
	p.spent += tokens
	p.free += whole - tokens
}

func (p *purse) Release(id string) { p.Spend(id, 0) }

// fleet is some desks that reach each other through calls that can be made to fail.
type fleet struct {
	desks  map[string]*Desk
	purses map[string]*purse
	// rank is the order of the owners of the budget.
	rank []string
	// fault says what becomes of a call: nil: it arrives and is answered.
	fault      func(to, method string) fault
	unanswered []string
	// paused: all owners gave no answer lately.
	paused bool
}

type fault int

const (
	arrives fault = iota
	// lost before it arrives, or its answer.
	lost
	answerLost
)

func newFleet(rank ...string) *fleet {
	f := &fleet{desks: map[string]*Desk{}, purses: map[string]*purse{}, rank: rank, fault: func(string, string) fault { return arrives }}
	for _, name := range rank {
		f.purses[name] = newPurse(1000)
		f.desks[name] = New(Config{
			Run: name + "/run", Self: func() *pb.Holder { return &pb.Holder{Host: name, Incarnation: 1} },
			Local: func() Local { return f.purses[name] }, Await: func(context.Context) Local { return f.purses[name] }, Owners: view{f, name},
			Client: func(address string) pb.PeerClient { return &client{f: f, to: address} },
		})
	}
	return f
}

// run starts the desks' loops.
func (f *fleet) run(t *testing.T) {
	for _, d := range f.desks {
		go d.Run(t.Context())
	}
}

// view is the owners as one host sees them.
type view struct {
	f    *fleet
	self string
}

func (v view) Owner(string) (owners.Host, bool) {
	return owners.Host{Name: v.f.rank[0], Incarnation: 1, Address: v.f.rank[0]}, true
}

func (v view) Of(_ string, n int) []owners.Host {
	if v.f.paused {
		return nil
	}
	var out []owners.Host
	for _, name := range v.f.rank[:min(n, len(v.f.rank))] {
		h := owners.Host{Name: name, Incarnation: 1, Address: name}
		if name == v.self {
			h.Address = ""
		}
		out = append(out, h)
	}
	return out
}

func (v view) Unanswered(host string) { v.f.unanswered = append(v.f.unanswered, host) }
func (v view) Answered(string)        {}

// client calls another desk of the fleet.
type client struct {
	pb.PeerClient
	f  *fleet
	to string
}

func through[T any](c *client, method string, call func() T) (T, error) {
	var none T
	switch c.f.fault(c.to, method) {
	case lost:
		return none, status.Error(codes.DeadlineExceeded, "lost")
	case answerLost:
		call()
		return none, status.Error(codes.DeadlineExceeded, "answer lost")
	}
	return call(), nil
}

func (c *client) ReserveTokens(ctx context.Context, r *pb.ReserveTokensRequest, _ ...grpc.CallOption) (*pb.ReserveTokensReply, error) {
	return through(c, "reserve", func() *pb.ReserveTokensReply { return c.f.desks[c.to].HandleReserve(ctx, r) })
}

func (c *client) SpendTokens(_ context.Context, r *pb.SpendTokensRequest, _ ...grpc.CallOption) (*pb.SpendTokensReply, error) {
	return through(c, "spend", func() *pb.SpendTokensReply { return c.f.desks[c.to].HandleSpend(r) })
}

// patience of the tests' requests.
const patience = 5 * time.Second

func (f *fleet) reserve(t *testing.T, host, request string, tokens uint64) (string, error) {
	t.Helper()
	return f.desks[host].Reserve(testutil.Within(t, patience), budget, request, tokens)
}

func TestTokensComeFromTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f.run(t)
		holder, err := f.reserve(t, "c", "r1", 300)
		testutil.NoError(t, err)
		f.desks["c"].Spend("r1", 120)
		time.Sleep(2 * tick)
		synctest.Wait()
		if p := f.purses["a"]; holder != "a" || p.spent != 120 || p.free != 880 {
			t.Errorf("held by %s; the owner has spent %d, %d are free", holder, p.spent, p.free)
		}
		if p := f.purses["c"]; p.free != 1000 {
			t.Errorf("the asking host used %d tokens of its own", 1000-p.free)
		}
	})
}

func TestExhaustedBudgetIsNotAskedForElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c")
		holder, err := f.reserve(t, "c", "r1", 1001)
		testutil.Refused(t, err, errkind.BudgetExhausted, "more than the owner has")
		if holder != "a" {
			t.Errorf("refused by %s", holder)
		}
	})
}

// Symptom: requests are refused though hosts have tokens, or the control group has.
// Sequence: the owner of a budget is lost, or cut off from the control group.
// Cause: nobody else was asked.
func TestNextInRankIsAsked(t *testing.T) {
	for name, c := range map[string]struct {
		owner   fault
		refusal errkind.Kind
	}{
		"owner lost":                           {owner: lost},
		"owner's answer lost":                  {owner: answerLost},
		"owner cut off from the control group": {refusal: errkind.BudgetUnreachable},
		"owner shuts down":                     {refusal: errkind.HostLeaving},
		"owner not registered":                 {refusal: errkind.HostNotReady},
		"owner waits longer than a call may":   {refusal: errkind.DeadlineExceeded},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet("a", "b", "c")
			f.run(t)
			f.fault = func(to, method string) fault {
				if to == "a" && method == "reserve" {
					return c.owner
				}
				return arrives
			}
			f.purses["a"].refuse = c.refusal
			holder, err := f.reserve(t, "c", "r1", 300)
			if err != nil || holder != "b" {
				t.Errorf("%s: held by %s, %v", name, holder, err)
			}
			time.Sleep(2 * tick)
			synctest.Wait()
			if p := f.purses["a"]; p.free != 1000 || len(p.reserved) != 0 {
				t.Errorf("%s: the owner still holds %v for the request", name, p.reserved)
			}
			if (len(f.unanswered) > 0) != (c.owner != arrives) {
				t.Errorf("%s: passed over from now on: %v", name, f.unanswered)
			}
		})
	}
}

// Symptom: one host refuses all requests of a budget whose owner has enough.
// Sequence: the host's link is full for a moment, neither the owner nor the next in rank
// answers in time; both are passed over; the link is free again.
// Cause: nobody was asked until the pause had ended.
func TestOwnerIsAskedWhenAllSeemLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f.run(t)
		f.paused = true
		if holder, err := f.reserve(t, "c", "r1", 300); err != nil || holder != "a" {
			t.Errorf("held by %s, %v", holder, err)
		}
	})
}

func TestCutOffHostSpendsItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f.fault = func(string, string) fault { return lost }
		holder, err := f.reserve(t, "c", "r1", 300)
		if err != nil || holder != "c" || f.purses["c"].free != 700 {
			t.Errorf("held by %s, %v", holder, err)
		}
		f.desks["c"].Spend("r1", 100)
		if f.purses["c"].spent != 100 {
			t.Errorf("spent %d", f.purses["c"].spent)
		}
	})
}

// Symptom: when a partition between hosts and control group ends, the leader is buried
// under calls, and tokens lie at hosts that have no use for them.
// Sequence: neither owner of a budget can reach the control group.
// Cause: every host asked for tokens of its own as well.
func TestPartitionLeavesOtherHostsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f.purses["a"].refuse, f.purses["b"].refuse = errkind.BudgetUnreachable, errkind.BudgetUnreachable
		holder, err := f.reserve(t, "c", "r1", 300)
		testutil.Refused(t, err, errkind.BudgetUnreachable, "owners without tokens")
		if p := f.purses["c"]; holder != "b" || p.asked != 0 {
			t.Errorf("refused by %s, %d asked of this host's own grant", holder, p.asked)
		}
		f.fault = func(to, _ string) fault {
			if to == "a" {
				return lost
			}
			return arrives
		}
		_, err = f.reserve(t, "c", "r2", 300)
		testutil.Refused(t, err, errkind.BudgetUnreachable, "one owner lost, the other without tokens")
	})
}

func TestRequestOfOneNameGetsTokensOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		_, err := f.reserve(t, "b", "r1", 300)
		testutil.NoError(t, err)
		_, err = f.reserve(t, "b", "r1", 300)
		testutil.Refused(t, err, errkind.Internal, "a second reservation of the name")
		f.desks["b"].Spend("r1", 0)
		_, err = f.reserve(t, "b", "r1", 300)
		testutil.NoError(t, err)
	})
}

// Symptom: a host that is stopped leaves reservations at owners that nobody ends, or takes
// those of others with it, and the control group counts all that it held as spent.
// Sequence: SIGTERM with requests under way, here and at other hosts.
// Cause: the process ends before the messages are acknowledged.
func TestDrainEndsReservationsOnBothSides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		f.run(t)
		_, err := f.reserve(t, "b", "r1", 300)
		testutil.NoError(t, err)
		go func() {
			time.Sleep(time.Second)
			synctest.Wait()
			f.desks["b"].Spend("r1", 10)
		}()
		f.desks["a"].Drain(testutil.Within(t, 6*time.Second))
		if p := f.purses["a"]; p.spent != 10 || len(p.reserved) != 0 {
			t.Errorf("the owner left with %d spent and %v reserved", p.spent, p.reserved)
		}
		_, err = f.reserve(t, "b", "r2", 300)
		testutil.NoError(t, err)
		f.desks["b"].Spend("r2", 20)
		f.desks["b"].Drain(testutil.Within(t, 6*time.Second))
		if p := f.purses["a"]; p.spent != 30 {
			t.Errorf("the host left before the owner knew: %d spent", p.spent)
		}
		_, err = f.reserve(t, "b", "r3", 300)
		testutil.NoError(t, err)
		f.desks["a"].Drain(testutil.Within(t, 6*time.Second))
		if p := f.purses["a"]; p.spent != 330 || len(p.reserved) != 0 {
			t.Errorf("a request that outlived the drain is billed with %d", p.spent-30)
		}
	})
}

func TestFormerRunsReservationsAreLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		_, err := f.reserve(t, "b", "r1", 300)
		testutil.NoError(t, err)
		f.desks["a"].HandleSpend(&pb.SpendTokensRequest{
			Owner: &pb.Holder{Host: "a", Incarnation: 7}, Run: "b/run", Spent: []*pb.SpentTokens{{Request: "r1", Tokens: 1}},
		})
		if f.purses["a"].reserved["b/run/r1"] != 300 {
			t.Error("a message for another run ended a reservation")
		}
	})
}

// Symptom: in the first seconds of a partition requests are refused though plenty of their
// budget is left.
// Sequence: the owner has used up what it may spend at once; its reserve opens soon, to it
// alone; the next in rank has nothing.
// Cause: the request was refused in place of waiting.
func TestRequestWaitsForTheOwnersReserve(t *testing.T) {
	for name, c := range map[string]struct {
		opens, patience time.Duration
		want            errkind.Kind
		took            time.Duration
	}{
		"soon":                     {1200 * time.Millisecond, patience, "", 1200 * time.Millisecond},
		"not soon":                 {3 * time.Second, 10 * time.Second, errkind.BudgetUnreachable, 300 * time.Millisecond},
		"too late for the request": {1200 * time.Millisecond, 2 * time.Second, errkind.BudgetUnreachable, 300 * time.Millisecond},
	} {
		for _, host := range []string{"a", "c"} { // the owner itself, and another host
			synctest.Test(t, func(t *testing.T) {
				f := newFleet("a", "b", "c")
				f.purses["a"].opens = time.Now().Add(c.opens)
				// The next in rank finds out for itself that the ledger is out of reach.
				f.purses["b"].refuse, f.purses["b"].slow = errkind.BudgetUnreachable, 300*time.Millisecond
				began := time.Now()
				holder, err := f.desks[host].Reserve(testutil.Within(t, c.patience), budget, "r1", 300)
				took := time.Since(began).Round(10 * time.Millisecond)
				switch {
				case c.want == "" && (err != nil || holder != "a"):
					t.Errorf("%s at %s: held by %s, %v", name, host, holder, err)
				case c.want != "" && !errkind.Is(err, c.want):
					t.Errorf("%s at %s: %v", name, host, err)
				case took != c.took:
					t.Errorf("%s at %s: decided after %v, want %v", name, host, took, c.took)
				}
			})
		}
	}
}

// Symptom: a request is held for seconds and then refused.
// Sequence: its owner's reserve opens soon, but others are always faster.
// Cause: each answer of the owner began a wait of its own.
func TestWaitForTheReserveIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f.purses["b"].refuse = errkind.BudgetUnreachable
		go func() {
			for range 100 {
				f.purses["a"].mu.Lock()
				f.purses["a"].opens = time.Now().Add(300 * time.Millisecond)
				f.purses["a"].mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		}()
		synctest.Wait()
		began := time.Now()
		_, err := f.reserve(t, "c", "r1", 300)
		testutil.Refused(t, err, errkind.BudgetUnreachable, "tokens that others take")
		if took := time.Since(began); took > reserveWait {
			t.Errorf("held for %v", took)
		}
		time.Sleep(10 * time.Second) // the other goroutine ends
	})
}

// lostEvery: of so many requests one is lost with its host, which never tells what it used.
const lostEvery = 4

// TestNothingIsSpentThatIsNotCounted: whatever is lost on the way, the owners have counted
// at least what the requests used once all reservations have ended, and no token is lost.
func TestNothingIsSpentThatIsNotCounted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.SliceOfN(rapid.IntRange(0, 9), 20, 60).Draw(rt, "faults")
		uses := rapid.SliceOfN(rapid.Uint64Range(0, 100), 1, 15).Draw(rt, "uses")
		wrong := ""
		synctest.Test(t, func(t *testing.T) {
			f := newFleet("a", "b", "c")
			var mu sync.Mutex
			n := 0
			f.fault = func(string, string) fault {
				mu.Lock()
				defer mu.Unlock()
				n++
				switch seed[n%len(seed)] {
				case 0, 1:
					return lost
				case 2, 3:
					return answerLost
				}
				return arrives
			}
			f.run(t)
			used := uint64(0)
			for i, tokens := range uses {
				id := fmt.Sprint("r", i)
				if _, err := f.reserve(t, "c", id, 100); err != nil {
					continue
				}
				time.Sleep(time.Duration(tokens) * time.Millisecond)
				used += tokens
				if i%lostEvery != 0 {
					f.desks["c"].Spend(id, tokens)
				}
			}
			time.Sleep(patience + lifetimeMargin + 5*time.Second)
			synctest.Wait()
			wrong = f.check(used)
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// check compares what requests of host c used with what was counted. Tokens that c, which
// was lost with some of its requests, holds itself count as spent at the control group.
func (f *fleet) check(used uint64) string {
	counted := uint64(0)
	for name, p := range f.purses {
		counted += p.spent
		for _, tokens := range p.reserved {
			counted += tokens
		}
		if name != "c" && len(p.reserved) > 0 || name != "c" && p.free+p.spent != 1000 {
			return fmt.Sprintf("host %s: %d free, %d spent of 1000, reserved %v", name, p.free, p.spent, p.reserved)
		}
	}
	if counted < used {
		return fmt.Sprintf("%d tokens used, %d counted", used, counted)
	}
	return ""
}
