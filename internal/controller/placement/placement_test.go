package placement

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/placement"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// group is a control group of two hosts, one of which leads. index counts the commits; a
// command of an older term is rejected.
type group struct {
	mu    sync.Mutex
	term  uint64
	index uint64
	terms map[uint64]uint64 // by fencing number
}

// replica is one host's replica of the group.
type replica struct {
	group       *group
	mu          sync.Mutex
	term        uint64
	since       time.Time
	until       time.Time     // end of the lease
	commitDelay time.Duration // how long a commit's answer takes
	partitioned bool
}

func (s *replica) Leading() (uint64, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term, s.since, s.term > 0 && time.Now().Before(s.until)
}

func (s *replica) Propose(ctx context.Context, cmd *pb.Command) (*pb.CommandResult, error) {
	s.mu.Lock()
	partitioned, commitDelay := s.partitioned, s.commitDelay
	s.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return nil, errkind.New(errkind.NoQuorum, "no quorum")
	}
	fence, err := s.group.commit(cmd.GetPlaceOrder().GetTerm())
	time.Sleep(commitDelay)
	if err != nil {
		return nil, err
	}
	return &pb.CommandResult{Body: &pb.CommandResult_PlaceOrder{PlaceOrder: &pb.PlaceOrderResult{Fence: fence}}}, nil
}

func (g *group) commit(term uint64) (uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term < g.term {
		return 0, errkind.New(errkind.StaleFence, "term %d is over", term)
	}
	g.index++
	g.terms[g.index] = term
	return g.index, nil
}

func (g *group) termOf(fence uint64) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.terms[fence]
}

// becomeLeader makes s the leader of a term, with a lease of the given length.
func (s *replica) becomeLeader(term uint64, lease time.Duration) {
	s.group.mu.Lock()
	s.group.term = term
	s.group.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term, s.since, s.until = term, time.Now(), time.Now().Add(lease)
}

func (s *replica) set(partitioned bool, commitDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned, s.commitDelay = partitioned, commitDelay
}

// fakeServers simulates the backend servers and records the orders that they execute.
type fakeServers struct {
	mu       sync.Mutex
	group    *group
	servers  []*pb.ServerState
	fences   map[string]uint64
	effects  map[string][]uint64 // terms of the orders that took effect, by server
	bodies   []orderBody
	rejected int
}

type fakeTransport struct {
	servers *fakeServers
	mu      sync.Mutex
	delay   time.Duration
	status  int
}

func (w *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w.mu.Lock()
	delay, status := w.delay, w.status
	w.mu.Unlock()
	time.Sleep(delay)
	if status == 0 {
		status = w.servers.handleOrder(r)
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader("")), Request: r}, nil
}

func (w *fakeTransport) setDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = d
}

// handleOrder executes an order as a server does. The effect doesn't show in the
// announcements, so that every leader keeps giving orders.
func (p *fakeServers) handleOrder(r *http.Request) int {
	var body orderBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || r.Method != http.MethodPost || r.URL.Path != "/orders" {
		return http.StatusBadRequest
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	server := r.URL.Host
	checks := slices.ContainsFunc(p.servers, func(s *pb.ServerState) bool { return s.Address == server && s.ChecksFence })
	if checks && body.Fence < p.fences[server] {
		p.rejected++
		return http.StatusConflict
	}
	p.fences[server] = max(p.fences[server], body.Fence)
	p.effects[server] = append(p.effects[server], p.group.termOf(body.Fence))
	p.bodies = append(p.bodies, body)
	return http.StatusOK
}

func (p *fakeServers) Servers() []*pb.ServerState { return p.servers }

func (p *fakeServers) Fleet() settings.Fleet {
	return settings.Fleet{Placement: []settings.PlacementRule{{Pool: "llm", Model: "codes", Servers: len(p.servers)}}}
}

func (p *fakeServers) terms(server string) []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.effects[server])
}

const (
	checkingServer = "10.1.0.1:8000"
	ignoringServer = "10.1.0.2:8000"
)

func newFakeServers() *fakeServers {
	p := &fakeServers{
		group:   &group{terms: make(map[uint64]uint64)},
		fences:  make(map[string]uint64),
		effects: make(map[string][]uint64),
	}
	for _, address := range []string{checkingServer, ignoringServer} {
		p.servers = append(p.servers, &pb.ServerState{Address: address, Pool: "llm", ChecksFence: address == checkingServer})
	}
	for i := range 6 { // so that both servers may have an order at once
		p.servers = append(p.servers, &pb.ServerState{Address: string(rune('a' + i)), Pool: "llm", Models: []string{"codes"}})
	}
	return p
}

// startHost runs a placement controller until the test ends.
func (p *fakeServers) startHost(t *testing.T, name string) (*replica, *fakeTransport, *Controller) {
	s, w := &replica{group: p.group}, &fakeTransport{servers: p}
	c := New(Config{
		Planner:    placement.Config{WarmUp: time.Second, RetryDelay: time.Second, EffectTimeout: 3 * time.Second},
		Leadership: s, Proposer: s, Servers: p, Settings: p,
		Client: &http.Client{Transport: w}, Actor: name,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return s, w, c
}

// TestPartitionedLeaderOrdersHaveNoEffectAfterSuccessor guards against a backend server that
// executes an order of a partitioned leader after one of its successor. Host a leads and its
// orders are slow; it is partitioned and its lease ends; host b leads and gives orders; then the
// orders of a arrive, and a returns. Orders need fencing numbers, a successor has to wait for
// servers that ignore them, and a leader has to check its lease again before sending.
func TestPartitionedLeaderOrdersHaveNoEffectAfterSuccessor(t *testing.T) {
	const lease = placement.DefaultLease
	cases := map[string]struct{ networkDelay, commitDelay time.Duration }{
		"orders delayed in the network": {networkDelay: placement.DefaultOrderTimeout - 100*time.Millisecond},
		"commit answered too late":      {commitDelay: 40 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFakeServers()
				a, transportA, _ := p.startHost(t, "a")
				b, _, _ := p.startHost(t, "b")
				a.becomeLeader(1, time.Hour)
				time.Sleep(20 * time.Second)
				if len(p.terms(ignoringServer)) == 0 || len(p.terms(checkingServer)) == 0 {
					t.Fatal("the first leader gave no orders")
				}
				transportA.setDelay(c.networkDelay)
				a.set(false, c.commitDelay)
				time.Sleep(7 * time.Second) // long enough for an order to each server
				a.set(true, c.commitDelay)
				a.becomeLeader(1, lease) // a's last lease, which it can no longer renew
				time.Sleep(lease + 100*time.Millisecond)
				b.becomeLeader(2, time.Hour)
				time.Sleep(60 * time.Second)
				a.set(false, 0)
				time.Sleep(60 * time.Second)
				for _, server := range []string{checkingServer, ignoringServer} {
					terms := p.terms(server)
					if !slices.IsSorted(terms) || terms[len(terms)-1] != 2 {
						t.Errorf("orders at %s took effect in terms %v", server, terms)
					}
				}
				if c.networkDelay > 0 && p.rejected == 0 {
					t.Error("no order was rejected as late: the delay had no effect")
				}
			})
		})
	}
}

// TestNoOrderWithoutLease checks that orders stop as soon as the lease ends, even if no
// successor is known yet.
func TestNoOrderWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeServers()
		a, _, _ := p.startHost(t, "a")
		a.becomeLeader(1, 20*time.Second)
		time.Sleep(21 * time.Second)
		n := len(p.terms(checkingServer))
		time.Sleep(time.Minute)
		if got := len(p.terms(checkingServer)); n == 0 || got != n {
			t.Errorf("%d orders under the lease, %d after it", n, got-n)
		}
	})
}

func TestOrderCarriesVerbModelAndFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakeServers()
		a, w, c := p.startHost(t, "a")
		a.becomeLeader(1, time.Hour)
		time.Sleep(10 * time.Second)
		p.mu.Lock()
		got := p.bodies[0]
		p.mu.Unlock()
		if got != (orderBody{Verb: placement.LoadModel, Model: "codes", Fence: 1}) {
			t.Errorf("body %+v", got)
		}
		w.mu.Lock()
		w.status = http.StatusInternalServerError
		w.mu.Unlock()
		time.Sleep(10 * time.Second)
		if c.cfg.Metrics.OrdersFailed.Value() == 0 || c.cfg.Metrics.Orders.Value() <= c.cfg.Metrics.OrdersFailed.Value() {
			t.Errorf("orders %v failed %v", c.cfg.Metrics.Orders.Value(), c.cfg.Metrics.OrdersFailed.Value())
		}
	})
}
