package membership

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const (
	rapidHosts = 6
	// settleTicks is the number of ticks in which all hosts of a fleet without faults agree.
	settleTicks = 3 * DefaultDeadAfter
)

// rapidFleet drives a fleet through random faults. The oracle consists of which hosts are
// running and leaving, and when each was last running.
type rapidFleet struct {
	*fleet
	// lastRun holds the tick at which each host was last running; now is the current tick.
	lastRun map[int]int
	now     int
	// delivered is the tick at which delayed requests were last delivered.
	delivered int
	// seen holds, by observing and observed host, the last view: incarnation and leaving flag.
	seen map[[2]int]observedView
}

// observedView is the last view that an incarnation of a host had of another host.
type observedView struct {
	incarnation uint64
	host        Host
}

// TestMain fixes the seed, so that every run checks the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

func TestViewsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &rapidFleet{
			fleet:   newFleet(rapidHosts, rapid.Uint64().Draw(t, "seed"), Config{}),
			lastRun: make(map[int]int), seen: make(map[[2]int]observedView),
		}
		f.tick(t, settleTicks)
		t.Repeat(map[string]func(*rapid.T){
			"run":     func(t *rapid.T) { f.tick(t, rapid.IntRange(1, 15).Draw(t, "ticks")) },
			"cut":     f.toggleBlocked,
			"stop":    f.stop,
			"restart": f.restart,
			"leave":   f.leaveOne,
			"stale":   f.deliverStale,
			"hold":    f.delayOne,
			"quiet":   f.settle,
			"":        f.check,
		})
	})
}

func anyHost(t *rapid.T, name string) int { return rapid.IntRange(0, rapidHosts-1).Draw(t, name) }

func (f *rapidFleet) tick(t *rapid.T, n int) {
	for range n {
		f.run(1)
		f.now++
		for i, h := range f.hosts {
			if h.running {
				f.lastRun[i] = f.now
			}
		}
		f.check(t)
	}
}

func (f *rapidFleet) toggleBlocked(t *rapid.T) {
	pair := [2]int{anyHost(t, "from"), anyHost(t, "to")}
	f.blocked[pair] = !f.blocked[pair]
}

func (f *rapidFleet) stop(t *rapid.T)     { f.hosts[anyHost(t, "stop")].running = false }
func (f *rapidFleet) restart(t *rapid.T)  { f.start(anyHost(t, "restart")) }
func (f *rapidFleet) leaveOne(t *rapid.T) { f.leave(anyHost(t, "leave")) }

// delayOne delays the requests of one host from now on; requests delayed before are lost.
func (f *rapidFleet) delayOne(t *rapid.T) {
	f.delayed = nil
	f.delayFrom = anyHost(t, "hold")
}

func (f *rapidFleet) deliverStale(*rapid.T) {
	f.deliverDelayed()
	f.delivered = f.now
}

// settle ends all faults; afterwards every view must match the oracle.
func (f *rapidFleet) settle(t *rapid.T) {
	clear(f.blocked)
	f.delayFrom = noHost
	f.delayed = nil
	f.tick(t, settleTicks)
	want := f.wantNames()
	for i, h := range f.hosts {
		if !h.running || len(want) == 0 {
			continue
		}
		if got := f.names(i); !slices.Equal(got, want) {
			t.Fatalf("host %d returns %v, want %v", i, got, want)
		}
	}
}

// check checks the invariants that hold in every state.
func (f *rapidFleet) check(t *rapid.T) {
	for i, h := range f.hosts {
		if !h.running {
			continue
		}
		if len(h.Addresses(testNow, "olinda", testTTL)) == 0 {
			t.Fatalf("host %d returns no address", i)
		}
		for j := range f.hosts {
			f.checkView(t, i, j)
		}
	}
}

func (f *rapidFleet) checkView(t *rapid.T, i, j int) {
	v := f.view(i, j)
	if i == j || v.Holder == nil {
		return
	}
	key := [2]int{i, j}
	run := f.hosts[i].incarnation
	now, was := v.Holder.GetIncarnation(), f.seen[key].host
	if f.seen[key].incarnation == run {
		if now < was.Holder.GetIncarnation() {
			t.Fatalf("the view of host %d reverted to incarnation %d of host %d", i, now, j)
		}
		if was.Leaving && !v.Leaving && now == was.Holder.GetIncarnation() {
			t.Fatalf("host %d lost the flag that host %d is leaving", i, j)
		}
	}
	f.seen[key] = observedView{incarnation: run, host: v}
	// A host that stopped long ago may only be alive in the view of a host that received delayed
	// requests in two ticks. Those revive it for at most another DeadAfter ticks.
	silent := f.now - f.lastRun[j]
	if v.Health == alive && silent > 2*DefaultDeadAfter+rapidHosts && f.now-f.delivered > DefaultDeadAfter+rapidHosts {
		t.Fatalf("host %d takes host %d for alive, which stopped %d ticks ago", i, j, silent)
	}
}
