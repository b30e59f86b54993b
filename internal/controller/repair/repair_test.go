package repair

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/apply"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// TestHostsDieWithStreamsOpen guards against a recovery that omits a bill, a transfer or a fence, so
// that tokens of a dead host are spent twice, an execution is billed twice or not at all, or tokens
// stay granted for ever. Five hosts run requests while calls and answers get lost. The ledger is
// unreachable for a time, so that hosts share tokens by transfers, and is topped up meanwhile. Hosts
// die one by one with streams open and restart as new incarnations.
func TestHostsDieWithStreamsOpen(t *testing.T) {
	for seed := range int64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runWithDeaths(t, rand.New(rand.NewSource(seed)), newWorld(5, 6000)) })
		})
	}
}

// TestHostsDieWithRealLedger is the same test with the control group's state machine as the ledger. In
// addition, it must reject no settlement of a correct host.
func TestHostsDieWithRealLedger(t *testing.T) {
	for seed := range int64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runWithDeaths(t, rand.New(rand.NewSource(100+seed)), makeWorld(5, 6000, apply.New(apply.Options{})))
			})
		})
	}
}

func runWithDeaths(t *testing.T, rng *rand.Rand, w *world) {
	defer w.finish()
	w.loss = rand.New(rand.NewSource(rng.Int63()))
	var wg sync.WaitGroup
	for i := range 120 {
		time.Sleep(time.Duration(rng.Intn(100)) * time.Millisecond)
		host, tokens := fmt.Sprintf("h%d", rng.Intn(5)), uint64(20+rng.Intn(150))
		took := time.Duration(rng.Intn(3000)) * time.Millisecond
		wg.Go(func() { w.request(host, fmt.Sprintf("acc/%d", i), tokens, took) })
		switch {
		case i%40 == 20:
			w.mu.Lock()
			w.ledgerUnreachable = true
			w.mu.Unlock()
		case i%40 == 35:
			w.mu.Lock()
			w.topUp(500)
			w.ledgerUnreachable = false
			w.mu.Unlock()
		case i%30 == 29:
			time.Sleep(3 * time.Second) // until the records have been copied again after the last death
			victim := fmt.Sprintf("h%d", 1+rng.Intn(4))
			w.kill(victim)
			if _, err := w.repairer("h0").Reconcile(t.Context()); err != nil {
				t.Error(err)
			}
			w.restart(victim)
		}
	}
	wg.Wait()
	w.settleAll(t)
	w.check(t)
}

// TestRecoveryWaits guards against a recovery without the answers of all hosts, or before the end of an
// execution is known: it would release tokens that an unreachable host spends, or bill a running
// request twice. A host dies with a stream open, a peer does not answer, then answers again, and
// finally the longest time of a request passes.
func TestRecoveryWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5, 1000)
		defer w.finish()
		go w.request("h1", "acc/1", 100, time.Minute)
		time.Sleep(time.Second)
		w.kill("h1")
		w.mu.Lock()
		w.unreachable["h2"] = true
		w.mu.Unlock()
		r := w.repairer("h0")
		first, _ := r.Reconcile(t.Context())
		if len(first.Waiting) != 1 || strings.Join(first.Waiting[0].Missing, "") != "h2" {
			t.Fatalf("got %+v, want to wait for h2", first)
		}
		w.mu.Lock()
		w.unreachable["h2"] = false
		w.mu.Unlock()
		second, _ := r.Reconcile(t.Context())
		if len(second.Waiting) != 1 || strings.Join(second.Waiting[0].Running, "") != "acc/1" {
			t.Fatalf("got %+v, want to wait for acc/1", second)
		}
		time.Sleep(25 * time.Second)
		third, _ := r.Reconcile(t.Context())
		if len(third.Recovered) != 1 || third.Recovered[0].Billed != 100 || len(third.Recovered[0].ByReservation) != 1 {
			t.Fatalf("got %+v, want acc/1 billed by its reservation", third)
		}
		time.Sleep(2 * time.Minute)
		w.settleAll(t)
		w.check(t)
	})
}

// TestTakenOverRequestIsBilledByNewHost guards against a recovery that does not look for the new host's
// record, so that a request which another host took over is billed by the dead host's reservation. The
// host of the request dies, a peer resumes the stream, finishes and bills it, and recovery runs before
// and after the peer has finished.
func TestTakenOverRequestIsBilledByNewHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5, 1000)
		defer w.finish()
		go w.request("h1", "acc/1", 100, time.Minute)
		time.Sleep(time.Second)
		w.kill("h1")
		n := w.nodes["h2"]
		old, found, _ := n.records.Find(t.Context(), "acc/1")
		if !found {
			t.Fatal("no host has a copy of the record")
		}
		if err := n.grants.Reserve(t.Context(), "x", "again", 100); err != nil {
			t.Fatal(err)
		}
		rec := proto.CloneOf(old)
		rec.RequestId = "again"
		if err := n.records.Takeover(t.Context(), rec, 1); err != nil {
			t.Fatal(err)
		}
		r := w.repairer("h0")
		time.Sleep(30 * time.Second)
		if got, _ := r.Reconcile(t.Context()); len(got.Waiting) != 1 {
			t.Fatalf("got %+v, want to wait for h2", got)
		}
		rec.State, rec.PromptTokens = pb.InflightState_INFLIGHT_STATE_DONE, 50
		n.records.Update(rec)
		time.Sleep(time.Second)
		if got, _ := r.Reconcile(t.Context()); len(got.Recovered) != 1 || got.Recovered[0].Bills != 0 {
			t.Fatalf("got %+v, want recovery without a bill", got)
		}
		n.grants.Settle(&pb.Bill{Identity: "acc/1", RequestId: "again", Tokens: 50})
		time.Sleep(2 * time.Minute)
		w.settleAll(t)
		w.check(t)
	})
}

// TestAbandonedRequestWithUnreachablePeer checks that a request that did not run is billed by its
// reservation only if its host could not notify a copy holder before it died. A peer stores the record, the
// host abandons the request, and every call that would notify the peer is lost for 6 s. Then the host
// dies, and the peer answers the recovery. If the peer is notified before, nothing may be billed.
func TestAbandonedRequestWithUnreachablePeer(t *testing.T) {
	for name, notified := range map[string]bool{"the peer is never notified": false, "the peer is notified in the end": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(5, 1000)
				defer w.finish()
				n, request := w.nodes["h1"], requestID("acc/1", "h1")
				rec := &pb.InflightRecord{Identity: "acc/1", RequestId: request, Budget: "x", Reserved: 100}
				if _, begun, err := n.records.Begin(t.Context(), rec, 1); !begun || err != nil {
					t.Fatalf("not begun: %v", err)
				}
				if err := n.grants.Reserve(t.Context(), "x", request, 100); err != nil {
					t.Fatal(err)
				}
				w.setUnreachable(w.holders(request)...)
				w.notDispatched(n, "acc/1", 100)
				n.records.Abandon("acc/1", request)
				time.Sleep(6 * time.Second)
				if notified {
					w.setUnreachable()
					time.Sleep(2 * notifyTime)
				}
				w.kill("h1")
				w.setUnreachable()
				time.Sleep(25 * time.Second)
				got, err := w.repairer("h0").Reconcile(t.Context())
				if err != nil || len(got.Recovered) != 1 || (got.Recovered[0].Bills == 0) != notified {
					t.Fatalf("got %+v, %v", got, err)
				}
				w.settleAll(t)
				w.check(t)
			})
		})
	}
}

// TestMayBeBilledByReservation checks that mayBeBilled accepts only those bills for requests that did
// not run which a recovery can't avoid, not those caused by a fault of the recovery or of the host
// before it died.
func TestMayBeBilledByReservation(t *testing.T) {
	start := time.Now()
	peer := &node{self: &pb.Holder{Host: "peer"}}
	lost := func(n int) []time.Time { return slices.Repeat([]time.Time{start.Add(time.Second)}, n) }
	cases := []struct {
		name   string
		copies map[*node]bool // whether the peer was notified that the request was abandoned
		lost   []time.Time
		lived  time.Duration // time from abandoning the request to the host's death; 0 if it is alive
		billed uint64
		want   bool
	}{
		{"the host died before it could notify", map[*node]bool{peer: false}, nil, time.Millisecond, 100, true},
		{"every call was lost", map[*node]bool{peer: false}, lost(4), 5 * time.Second, 100, true},
		{"the host stopped notifying", map[*node]bool{peer: false}, lost(3), 5 * time.Second, 100, false},
		{"the peer was notified", map[*node]bool{peer: true}, lost(4), 5 * time.Second, 100, false},
		{"no peer had the record", nil, lost(4), 5 * time.Second, 100, false},
		{"more than the reservation", map[*node]bool{peer: false}, lost(4), 5 * time.Second, 101, false},
		{"the host is alive", map[*node]bool{peer: false}, lost(4), 0, 100, false},
	}
	for _, tc := range cases {
		host := &node{}
		if tc.lived > 0 {
			host.killed = start.Add(tc.lived)
		}
		c := callLog{
			copies: map[string]map[*node]bool{"r": tc.copies},
			lost:   map[route][]time.Time{{host, "peer"}: tc.lost},
		}
		r := notRun{host: host, requestID: "r", tokens: 100, at: start}
		if got := c.mayBeBilled(r, tc.billed); got != tc.want {
			t.Errorf("%s: got %t", tc.name, got)
		}
	}
}
