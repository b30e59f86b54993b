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

// TestHostsDieWithStreamsOpen
//
// Symptom: tokens of a dead host spent a second time, a run billed twice or not at all, or
// tokens locked for good.
// Sequence: requests at five hosts; calls and answers get lost; the ledger is cut off so
// that hosts share by transfers, and topped up meanwhile; hosts die one by one with
// streams open and come back as new incarnations.
// Cause: a bill, a transfer or a fence left out of the recovery.
func TestHostsDieWithStreamsOpen(t *testing.T) {
	for seed := range int64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runWithDeaths(t, rand.New(rand.NewSource(seed)), newWorld(5, 6000)) })
		})
	}
}

// TestHostsDieWithRealLedger is the same against the control group's own state machine: no
// settlement of an honest host is refused, and the same holds in the end.
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
			w.cut = true
			w.mu.Unlock()
		case i%40 == 35:
			w.mu.Lock()
			w.topUp(500)
			w.cut = false
			w.mu.Unlock()
		case i%30 == 29:
			time.Sleep(3 * time.Second) // copies are made again after the last death
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

// TestRecoveryWaits
//
// Symptom: tokens released that a host out of reach spends, or a running request billed twice.
// Sequence: a host dies with a stream open; a peer doesn't answer; it answers again; the
// longest request's time passes.
// Cause: recovery without everybody's answer, or before the run's end is known.
func TestRecoveryWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5, 1000)
		defer w.finish()
		go w.request("h1", "acc/1", 100, time.Minute)
		time.Sleep(time.Second)
		w.kill("h1")
		w.mu.Lock()
		w.deaf["h2"] = true
		w.mu.Unlock()
		r := w.repairer("h0")
		first, _ := r.Reconcile(t.Context())
		if len(first.Waiting) != 1 || strings.Join(first.Waiting[0].Missing, "") != "h2" {
			t.Fatalf("got %+v, want to wait for h2", first)
		}
		w.mu.Lock()
		w.deaf["h2"] = false
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

// TestTakenOverRequestBilledByItsNewHost
//
// Symptom: a request that another host took over is billed by the dead host's reservation.
// Sequence: the owner dies; a peer resumes the stream, finishes and bills; recovery runs
// before, between and after.
// Cause: the new host's record not looked for.
func TestTakenOverRequestBilledByItsNewHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5, 1000)
		defer w.finish()
		go w.request("h1", "acc/1", 100, time.Minute)
		time.Sleep(time.Second)
		w.kill("h1")
		n := w.nodes["h2"]
		old, found, _ := n.records.Find(t.Context(), "acc/1")
		if !found {
			t.Fatal("the record is lost")
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

// TestGivenUpRequestWithDeafPeer
//
// Symptom: a request that did not run is billed by its reservation, though its host gave it
// up long before it died.
// Sequence: a peer takes the record; the host gives the request up; every call that would
// tell the peer is lost for 6 s; the host dies, and the peer answers the recovery.
// Cause: only the dead host knew. Had the peer heard before, nothing would be billed.
func TestGivenUpRequestWithDeafPeer(t *testing.T) {
	for name, heard := range map[string]bool{"the peer hears nothing": false, "the peer hears of it at last": true} {
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
				w.deafen(w.holders(request)...)
				w.notDispatched(n, "acc/1", 100)
				n.records.Abandon("acc/1", request)
				time.Sleep(6 * time.Second)
				if heard {
					w.deafen()
					time.Sleep(2 * tellTime)
				}
				w.kill("h1")
				w.deafen()
				time.Sleep(25 * time.Second)
				got, err := w.repairer("h0").Reconcile(t.Context())
				if err != nil || len(got.Recovered) != 1 || (got.Recovered[0].Bills == 0) != heard {
					t.Fatalf("got %+v, %v", got, err)
				}
				w.settleAll(t)
				w.check(t)
			})
		})
	}
}

// TestMayBeBilled tells the bills of requests that did not run which a recovery can't avoid
// from those that it, or the host before its death, is to blame for.
func TestMayBeBilled(t *testing.T) {
	start := time.Now()
	peer := &node{self: &pb.Holder{Host: "peer"}}
	lost := func(n int) []time.Time { return slices.Repeat([]time.Time{start.Add(time.Second)}, n) }
	cases := []struct {
		name   string
		copies map[*node]bool // whether the peer heard that the request was given up
		lost   []time.Time
		lived  time.Duration // of the host after it gave the request up; 0: it lives
		billed uint64
		want   bool
	}{
		{"the host died before it could tell", map[*node]bool{peer: false}, nil, time.Millisecond, 100, true},
		{"every call was lost", map[*node]bool{peer: false}, lost(4), 5 * time.Second, 100, true},
		{"it did not go on telling", map[*node]bool{peer: false}, lost(3), 5 * time.Second, 100, false},
		{"the peer had heard", map[*node]bool{peer: true}, lost(4), 5 * time.Second, 100, false},
		{"no peer had the record", nil, lost(4), 5 * time.Second, 100, false},
		{"more than the reservation", map[*node]bool{peer: false}, lost(4), 5 * time.Second, 101, false},
		{"the host lives", map[*node]bool{peer: false}, lost(4), 0, 100, false},
	}
	for _, tc := range cases {
		host := &node{}
		if tc.lived > 0 {
			host.killed = start.Add(tc.lived)
		}
		p := puts{
			copies: map[string]map[*node]bool{"r": tc.copies},
			lost:   map[route][]time.Time{{host, "peer"}: tc.lost},
		}
		r := notRun{host: host, requestID: "r", tokens: 100, at: start}
		if got := p.mayBeBilled(r, tc.billed); got != tc.want {
			t.Errorf("%s: got %t", tc.name, got)
		}
	}
}
