package serverpath

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

func TestMain(m *testing.M) {
	testutil.RunRapid(m, map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"})
}

func newTable() *Table { return New(rand.New(rand.NewPCG(1, 2))) }

var start = time.Unix(1_000_000, 0)

func TestWorkingPathIsUsedDirectly(t *testing.T) {
	p := newTable().Plan(start, "a")
	if !p.Direct || !p.Tunnel || p.TunnelAfter != tunnelDelay {
		t.Errorf("got %+v, want a direct connection and a tunnel beside it after %v", p, tunnelDelay)
	}
}

// Guards against waiting for a direct connection that is known not to open, and against never trying
// one again.
func TestFailedPathIsBypassedAndProbed(t *testing.T) {
	table := newTable()
	table.TunnelWon(start, "a", true)
	if p := table.Plan(start.Add(probeEvery-1), "a"); p.Direct || !p.Tunnel || p.TunnelAfter != 0 {
		t.Errorf("before the next probe: got %+v, want a tunnel only, at once", p)
	}
	if p := table.Plan(start.Add(probeEvery), "a"); !p.Direct || !p.Tunnel || p.TunnelAfter != 0 {
		t.Errorf("at the next probe: got %+v, want both paths at once", p)
	}
	if p := table.Plan(start, "b"); p.TunnelAfter != tunnelDelay {
		t.Errorf("another server: got %+v, want its direct path to count as working", p)
	}
}

// Guards against finding out about each server by itself that a host is cut off from all of them.
func TestHostThatLosesTwoServersBypassesAll(t *testing.T) {
	table := newTable()
	table.TunnelWon(start, "a", true)
	table.TunnelWon(start, "b", true)
	if !table.CutOff(start) {
		t.Fatal("the host does not count as cut off")
	}
	if p := table.Plan(start, "c"); !p.Direct || !p.Tunnel || p.TunnelAfter != 0 {
		t.Errorf("got %+v, want both paths at once", p)
	}
	if p := table.Plan(start, "c"); p.Direct {
		t.Errorf("got %+v, want no second direct connection within %v", p, probeEvery)
	}
	table.DirectOpened(start, "a")
	if table.CutOff(start) {
		t.Error("the host counts as cut off with one failed path")
	}
}

// Guards against tunnels to the servers that a host reaches while it is cut off from others.
func TestReachableServersAreUsedDirectlyInAPartialCut(t *testing.T) {
	table := newTable()
	table.TunnelWon(start, "a", true)
	table.TunnelWon(start, "b", true)
	table.Plan(start, "c")
	table.DirectOpened(start, "c")
	for range 3 {
		if p := table.Plan(start, "c"); !p.Direct || p.TunnelAfter != tunnelDelay {
			t.Fatalf("got %+v, want the direct path to count as working", p)
		}
	}
	table.Plan(start, "d")
	table.TunnelWon(start, "d", false)
	if p := table.Plan(start.Add(probeEvery), "d"); !p.Direct {
		t.Errorf("got %+v, want a path that was not tried to be probed", p)
	}
}

// Guards against blaming the path for a server that accepts no connections from anybody.
func TestFailedServerIsNoFailedPath(t *testing.T) {
	table := newTable()
	for _, server := range []string{"a", "b", "c"} {
		table.NothingOpened(start, server, false)
		if p := table.Plan(start, server); !p.Direct || p.Tunnel {
			t.Errorf("got %+v, want no tunnel to a server that no peer could reach either", p)
		}
	}
	if table.CutOff(start) {
		t.Error("the host counts as cut off")
	}
	if p := table.Plan(start.Add(fruitlessTime), "a"); !p.Tunnel {
		t.Errorf("got %+v after %v, want a tunnel again", p, fruitlessTime)
	}
}

// Guards against requests that are held until their deadline when no host reaches any server.
func TestRequestsDoNotWaitForAServerThatHangs(t *testing.T) {
	table := newTable()
	table.NothingOpened(start, "a", true)
	if p := table.Plan(start, "a"); p.Wait != hungWait {
		t.Errorf("got %+v, want both paths to be tried for %v", p, hungWait)
	}
	if p := table.Plan(start, "a"); p != (Plan{}) {
		t.Errorf("got %+v, want no path", p)
	}
	due := start.Add(fruitlessTime)
	if p := table.Plan(due, "a"); p.Wait != hungWait || !p.Direct || !p.Tunnel {
		t.Errorf("got %+v, want both paths to be tried for %v", p, hungWait)
	}
	if p := table.Plan(due, "a"); p != (Plan{}) {
		t.Errorf("got %+v, want one attempt in %v", p, fruitlessTime)
	}
	table.DirectOpened(due, "a")
	if p := table.Plan(due, "a"); !p.Direct || p.Wait != openTimeout {
		t.Errorf("got %+v after a connection has opened", p)
	}
}

func TestOldFailureOfAPathIsForgotten(t *testing.T) {
	table := newTable()
	table.TunnelWon(start, "a", true)
	table.TunnelWon(start, "b", true)
	later := start.Add(memory + time.Second)
	if table.CutOff(later) || table.Plan(later, "a").TunnelAfter != tunnelDelay {
		t.Error("paths that were not used since still count as failed")
	}
	if len(table.servers) != 1 || len(table.failing) > 0 {
		t.Errorf("%d servers are remembered, %d as failing", len(table.servers), len(table.failing))
	}
}

func TestPausedPeersAreNotChosen(t *testing.T) {
	table, peers := newTable(), []Peer{{Address: "p", Spare: 1}, {Address: "q", Spare: 900}}
	table.PausePeer(start, "q")
	if p, ok := table.ChoosePeer(start, peers, nil); !ok || p.Address != "p" {
		t.Errorf("got %v, %v", p, ok)
	}
	if _, ok := table.ChoosePeer(start, peers, []string{"p"}); ok {
		t.Error("a peer was chosen though one is paused and one was tried")
	}
	if _, ok := table.ChoosePeer(start.Add(peerPause), peers, []string{"p"}); !ok {
		t.Error("the paused peer was not chosen after its pause")
	}
}

// Guards against sending the requests of all hosts that are cut off through one peer.
func TestTunnelsSpreadBySpareCapacity(t *testing.T) {
	table, peers := newTable(), []Peer{{"p", 900}, {"q", 900}, {"r", 100}}
	count := map[string]int{}
	const draws = 900
	for range draws {
		p, _ := table.ChoosePeer(start, peers, nil)
		count[p.Address]++
	}
	if count["p"] < draws/4 || count["q"] < draws/4 || count["r"] == 0 || count["r"] > draws/5 {
		t.Errorf("tunnels by peer: %v", count)
	}
}

// Whatever happens to connections, a plan has a path unless the last ones hung on all paths, a direct path that opens is used again, and what
// is remembered of servers that are not used any more is dropped.
func TestPlansAlwaysHaveAPath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := newTable(), start
		server := func() string { return fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "server")) }
		t.Repeat(map[string]func(*rapid.T){
			"plan": func(t *rapid.T) {
				s := server()
				hung := table.path(s).hung
				if p := table.Plan(now, s); !hung && !p.Direct && !p.Tunnel {
					t.Fatalf("a plan without a path: %+v", p)
				}
				now = now.Add(fruitlessTime)
				if p := table.Plan(now, s); !p.Direct && !p.Tunnel {
					t.Fatalf("a server that is never tried again: %+v", p)
				}
			},
			"direct opens": func(t *rapid.T) {
				s := server()
				table.Plan(now, s) // as before each connection
				table.DirectOpened(now, s)
				if p := table.Plan(now, s); !p.Direct || p.Tunnel && p.TunnelAfter != tunnelDelay {
					t.Fatalf("after a direct connection has opened: %+v", p)
				}
			},
			"tunnel wins":   func(t *rapid.T) { table.TunnelWon(now, server(), rapid.Bool().Draw(t, "direct tried")) },
			"nothing opens": func(t *rapid.T) { table.NothingOpened(now, server(), rapid.Bool().Draw(t, "hung")) },
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		now = now.Add(memory + 2*fruitlessTime + probeEvery)
		if table.Plan(now, "s5"); len(table.servers) != 1 || len(table.failing) > 0 {
			t.Fatalf("%d servers are remembered, %d as failing", len(table.servers), len(table.failing))
		}
	})
}

// BenchmarkPlan measures the decision for one connection at a host that has connected to many servers
// lately.
func BenchmarkPlan(b *testing.B) {
	for _, servers := range []int{20, 10_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			table, addresses := newTable(), make([]string, servers)
			for i := range addresses {
				addresses[i] = fmt.Sprint("10.0.0.1:", i)
				table.Plan(start, addresses[i])
				table.DirectOpened(start, addresses[i])
			}
			for i := 0; b.Loop(); i++ {
				table.Plan(start, addresses[i%servers])
			}
		})
	}
}
