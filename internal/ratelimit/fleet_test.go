package ratelimit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const (
	// step is the resolution of the model's time.
	step = 10 * time.Millisecond
	// detection is the longest time until hosts detect that another one stopped or is back.
	detection = 2500 * time.Millisecond
	// avoidTime is how long a host sends no requests to one that did not answer.
	avoidTime = 500 * time.Millisecond
	// retryDelay is how long a host waits for permits after a request that got no answer.
	retryDelay = 250 * time.Millisecond
	window     = 4 * time.Second
	// settleTime is how long after the first observation a limit may be exceeded.
	settleTime = 3 * time.Second
)

// modelHost is a host of the model.
type modelHost struct {
	up     bool
	table  *Table
	issuer *Issuer
	// view is the side on which this host believes each other host to be; -1: it is down.
	view    []int
	numbers []int
	avoided []time.Time
	// shares are the shares that this host might issue by its views, with the time of each view.
	shares []sharedAt
}

type sharedAt struct {
	at    time.Time
	share float64
}

// settledShare returns the least share of a host in the last OwnerChangeTime; 0 if it started later.
func (h *modelHost) settledShare(now time.Time) float64 {
	since, least := now.Add(-OwnerChangeTime), 1.0
	for i := len(h.shares) - 1; i >= 0; i-- {
		least = min(least, h.shares[i].share)
		if !h.shares[i].at.After(since) {
			return least
		}
	}
	return 0
}

// recordShare is called after each change of a host's view.
func (f *modelFleet) recordShare(n int) {
	h := f.hosts[n]
	h.shares = append(h.shares, sharedAt{f.now, OwnerShare(f.rank(n), f.reach(n))})
	if len(h.shares) > 64 {
		h.shares = h.shares[1:]
	}
}

// modelFleet models hosts that send to one limited server. Host 0 owns its limit, host 1 is the
// backup owner.
type modelFleet struct {
	rng   *rand.Rand
	now   time.Time
	hosts []*modelHost
	// sides are the hosts' sides of a partition; hosts on different sides do not reach each other.
	sides []int
	limit float64
	// server is the incarnation that all requests go to.
	server   instance.Incarnation
	arrivals []time.Time
	refused  int
	// pending are the changes that hosts have yet to detect; changes counts all changes so far.
	pending []notice
	changes int
}

// notice is a change of a host's side that another host detects later.
type notice struct {
	at           time.Time
	viewer, host int
	side         int
	// number orders the changes: one that is older than the last detected one is ignored.
	number int
}

func newModelFleet(seed uint64, n int, limit float64) *modelFleet {
	f := &modelFleet{rng: rand.New(rand.NewPCG(seed, 0)), now: epoch, limit: limit, server: server, sides: make([]int, n)}
	for range n {
		h := &modelHost{view: make([]int, n), numbers: make([]int, n), avoided: make([]time.Time, n)}
		f.hosts = append(f.hosts, h)
		f.startHost(len(f.hosts) - 1)
	}
	return f
}

func (f *modelFleet) startHost(n int) {
	h := f.hosts[n]
	h.up, h.table, h.issuer = true, NewTable(nil), NewIssuer()
	h.table.Observe(server, Observation{f.limit, f.now})
	clear(h.avoided)
	for i := range h.view {
		h.view[i], h.numbers[i] = f.sideOf(i), f.changes
	}
	h.shares = nil
	f.recordShare(n)
	f.noticeLater(n)
}

// sideOf returns a host's side, -1 if it is down.
func (f *modelFleet) sideOf(n int) int {
	if n >= len(f.hosts) || f.hosts[n] == nil || !f.hosts[n].up {
		return -1
	}
	return f.sides[n]
}

func (f *modelFleet) noticeLater(n int) {
	f.changes++
	for viewer := range f.hosts {
		at := f.now.Add(time.Duration(f.rng.Int64N(int64(detection))))
		f.pending = append(f.pending, notice{at: at, viewer: viewer, host: n, side: f.sideOf(n), number: f.changes})
	}
}

func (f *modelFleet) kill(n int) {
	f.hosts[n].up = false
	f.noticeLater(n)
}

func (f *modelFleet) move(n, side int) {
	f.sides[n] = side
	f.noticeLater(n)
}

// believes reports whether host n believes that it reaches host m.
func (f *modelFleet) believes(n, m int) bool { return n == m || f.hosts[n].view[m] == f.sides[n] }

func (f *modelFleet) rank(n int) int {
	rank := 0
	for m := range n {
		if f.believes(n, m) {
			rank++
		}
	}
	return rank
}

func (f *modelFleet) reach(n int) float64 {
	alive := 0
	for m := range f.hosts {
		if f.believes(n, m) {
			alive++
		}
	}
	return float64(alive) / float64(len(f.hosts))
}

// ownerFor returns the host that n requests permits from: the first in rank that it does not avoid.
func (f *modelFleet) ownerFor(n int) int {
	ranked := 0
	for m := range f.hosts {
		if !f.believes(n, m) {
			continue
		}
		if ranked++; ranked > 2 {
			break
		}
		if !f.now.Before(f.hosts[n].avoided[m]) {
			return m
		}
	}
	return -1
}

func (f *modelFleet) requestPermits(n int) {
	h := f.hosts[n]
	m := f.ownerFor(n)
	if m < 0 || !f.hosts[m].up || f.sides[m] != f.sides[n] {
		if m >= 0 {
			h.avoided[m] = f.now.Add(avoidTime)
		}
		h.table.Refused(f.now.Add(retryDelay), f.server)
		return
	}
	granted, after := f.hosts[m].issuer.Issue(f.now, PermitRequest{
		Incarnation: f.server, Host: fmt.Sprint(n), Want: h.table.Want(f.now, f.server), Limit: f.limit, Share: OwnerShare(f.rank(m), f.reach(m)),
		SettledShare: f.hosts[m].settledShare(f.now),
	})
	if granted > 0 {
		h.table.Granted(f.now, f.server, granted)
		return
	}
	h.table.Refused(f.now.Add(after), f.server)
}

// request sends a request at host n if permits allow it.
func (f *modelFleet) request(n int) {
	h := f.hosts[n]
	if state, _ := h.table.Check(f.now, f.server); state == MustRequest {
		f.requestPermits(n)
	}
	if state, _ := h.table.Check(f.now, f.server); state != Held {
		f.refused++
		return
	}
	h.table.Use(f.now, f.server)
	f.arrivals = append(f.arrivals, f.now.Add(time.Duration(f.rng.Int64N(int64(50*time.Millisecond)))))
}

// tick advances the time by one step and lets each host send at its mean rate in requests a second.
func (f *modelFleet) tick(rates []float64) {
	f.now = f.now.Add(step)
	f.pending = slices.DeleteFunc(f.pending, func(s notice) bool {
		if f.now.Before(s.at) {
			return false
		}
		if h := f.hosts[s.viewer]; s.number > h.numbers[s.host] {
			h.view[s.host], h.numbers[s.host] = s.side, s.number
			f.recordShare(s.viewer)
		}
		return true
	})
	for n, rate := range rates {
		if !f.hosts[n].up {
			continue
		}
		for want := rate * step.Seconds(); want > 0; want-- {
			if f.rng.Float64() < want {
				f.request(n)
			}
		}
	}
}

// busiest returns the most arrivals in any window after settleTime.
func (f *modelFleet) busiest() int {
	sort.Slice(f.arrivals, func(i, j int) bool { return f.arrivals[i].Before(f.arrivals[j]) })
	most, from := 0, 0
	for to, at := range f.arrivals {
		if at.Before(epoch.Add(settleTime)) {
			from = to + 1
			continue
		}
		for at.Sub(f.arrivals[from]) > window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

func (f *modelFleet) allowed() float64 { return 1.5*f.limit*window.Seconds() + 5 }

// Guards against an overloaded server that gets more requests than its limit allows, because hosts
// that stop, start and are partitioned each enforce the limit for themselves only.
func TestSumOverHostsStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, sumStaysWithinTheLimit)
}

func sumStaysWithinTheLimit(t *rapid.T) {
	n := rapid.SampledFrom([]int{1, 2, 3, 7, 20, 60}).Draw(t, "hosts")
	limit := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1, 1.5, 2.5, 7, 30, 200}).Draw(t, "limit")
	f := newModelFleet(rapid.Uint64().Draw(t, "seed"), n, limit)
	rates := slices.Repeat([]float64{max(limit, 1)}, n)
	for range rapid.IntRange(5, 25).Draw(t, "changes") {
		at := rapid.IntRange(0, n-1).Draw(t, "host")
		switch rapid.IntRange(0, 4).Draw(t, "change") {
		case 0:
			f.kill(at)
		case 1:
			f.startHost(at)
		case 2:
			f.move(at, rapid.IntRange(0, 2).Draw(t, "side"))
		case 3:
			for m := range n {
				f.move(m, 0)
			}
		case 4:
			for m := range n {
				rates[m] = rapid.SampledFrom([]float64{0, 0.3, 2, 2 * limit}).Draw(t, "rate")
			}
		}
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			f.tick(rates)
		}
	}
	if most := f.busiest(); float64(most) > f.allowed() {
		t.Fatalf("%d requests in %v at a limit of %v a second; %v are allowed", most, window, limit, f.allowed())
	}
}

// Guards against owners that are killed and restart in turn, within seconds, and issue more together than
// the server allows.
func TestOwnersThatRestartInTurnKeepTheLimit(t *testing.T) {
	replayed := flag.Lookup("rapid.failfile").Value
	before := replayed.String()
	testutil.NoError(t, replayed.Set("testdata/owners-restart-in-turn.fail"))
	defer func() { testutil.NoError(t, replayed.Set(before)) }()
	rapid.Check(t, sumStaysWithinTheLimit)
}

// Guards against a limit that is left unused while callers are refused.
func TestLimitIsUsedWhenDemandExceedsIt(t *testing.T) {
	const span = 20 * time.Second
	for _, c := range []struct {
		name  string
		hosts int
		limit float64
		// each is the rate of a host, third the rate of host 3.
		each, third float64
	}{
		{"even demand", 7, 1, 1, 1},
		{"fraction of a request a second", 7, 0.5, 1, 1},
		{"all demand at one host", 7, 2.5, 0, 10},
		{"many hosts with little demand each", 60, 1, 0.3, 0.3},
		{"many hosts with a large limit", 60, 100, 4, 4},
		{"hundreds of requests a second", 7, 300, 100, 100},
		{"hundreds of requests a second at one host", 7, 300, 0, 700},
	} {
		f := newModelFleet(1, c.hosts, c.limit)
		rates := slices.Repeat([]float64{c.each}, c.hosts)
		rates[3] = c.third
		for f.now.Before(epoch.Add(settleTime + span)) {
			f.tick(rates)
		}
		used := 0
		for _, at := range f.arrivals {
			if at.After(epoch.Add(settleTime)) {
				used++
			}
		}
		mean := float64(used) / span.Seconds()
		t.Logf("%s: used %.2f a second of %v, %d in the busiest %v", c.name, mean, c.limit, f.busiest(), window)
		if mean < 0.85*c.limit {
			t.Errorf("%s: used only %.2f a second of %v", c.name, mean, c.limit)
		}
		if most := f.busiest(); float64(most) > f.allowed() {
			t.Errorf("%s: %d requests in %v, %v are allowed", c.name, most, window, f.allowed())
		}
	}
}
