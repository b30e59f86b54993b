package news

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// roundTrip is the round-trip time between two hosts of the fleet.
const roundTrip = 4 * time.Millisecond

// fleet is a set of hosts that can all reach each other, except for those that are down.
type fleet struct {
	hosts map[string]*host

	mu   sync.Mutex
	down map[string]bool
	// slow holds the hosts that answer, but whose tables come late over their links.
	slow map[string]bool
	// calls counts the messages that were answered, checks those that only asked whether a host still runs.
	calls, checks int
}

// host is the Broadcaster of one host and the updates that it received.
type host struct {
	*Broadcaster
	f       *fleet
	address string
	// stop ends the Broadcaster.
	stop context.CancelFunc

	mu               sync.Mutex
	received         map[string]time.Time
	receivedSuspects map[string]bool
	revision         uint64
	fetched          time.Time
	evacuations      *pb.Evacuations
}

func (h *host) recordEvacuations(e *pb.Evacuations, _ string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations = e
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{hosts: make(map[string]*host), down: make(map[string]bool), slow: make(map[string]bool)}
	for i := range n {
		h := &host{f: f, address: address(i), received: make(map[string]time.Time), receivedSuspects: make(map[string]bool)}
		h.Broadcaster = New(Config{
			Self: h.address, Peers: func() []string { return f.others(h.address) }, Client: func(to string) pb.PeerClient { return client{f: f, to: to} },
			OnServers: h.recordServers, OnSuspects: h.recordSuspects, FetchTable: h.fetch, OnEvacuations: h.recordEvacuations,
			Holders: func() Holders { return f.holders(h.address) }, Log: zerolog.Nop(),
		})
		f.hosts[h.address] = h
		ctx, stop := context.WithCancel(t.Context())
		h.stop = stop
		go h.Run(ctx)
	}
	synctest.Wait()
	return f
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i) }

// kill ends a host: it sends and answers nothing any more.
func (h *host) kill() {
	h.stop()
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	h.f.down[h.address] = true
}

func (f *fleet) others(self string) []string {
	var out []string
	for i := range f.hosts {
		if i != self {
			out = append(out, i)
		}
	}
	return out
}

func (h *host) recordSuspects(suspects []*pb.Suspect, _ string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range suspects {
		h.receivedSuspects[string(s.GetFingerprint())] = true
	}
}

func (h *host) recordServers(states []*pb.ServerState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, st := range states {
		if h.received[st.GetId()].IsZero() {
			h.received[st.GetId()] = time.Now()
		}
	}
}

// slowFetch is how long a table takes over a slow link.
const slowFetch = 3 * time.Second

// fetch sets the revision of the table if the host at from has it, and reports whether this host has it.
func (h *host) fetch(_ context.Context, from string, revision uint64) bool {
	if h.f.slow[h.address] {
		time.Sleep(slowFetch)
	}
	time.Sleep(roundTrip)
	source := h.f.hosts[from]
	source.mu.Lock()
	has := source.revision
	source.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if has >= revision && h.revision < revision {
		h.revision, h.fetched = revision, time.Now()
	}
	return h.revision >= revision
}

type client struct {
	pb.PeerClient
	f  *fleet
	to string
}

func (c client) Tell(ctx context.Context, r *pb.TellRequest, _ ...grpc.CallOption) (*pb.TellReply, error) {
	if c.f.countCall(c.to, proto.Size(r) == 0) {
		<-ctx.Done()
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	time.Sleep(roundTrip)
	if ctx.Err() != nil {
		return nil, status.Error(codes.DeadlineExceeded, "late")
	}
	return c.f.hosts[c.to].Handle(r), nil
}

// countCall counts a message unless the host that it is for is down.
func (f *fleet) countCall(to string, check bool) (down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down[to]:
	case check:
		f.checks++
	default:
		f.calls++
	}
	return f.down[to]
}

// slowestReceipt returns the time from begin until the last host that is not down received the
// state of a server; false if one of them did not.
func (f *fleet) slowestReceipt(begin time.Time, server string) (time.Duration, bool) {
	return f.lastReceipt(begin, server, 0)
}

// TestLeavingServerReachesLargeFleetQuickly guards against a request from one host of 67 to a
// server that announced 2.7 s before that it is leaving. When only heartbeats to one neighbor
// every 250 ms passed the announcement on, the last host received it after eleven of them. Every
// host must be notified within a few round trips.
func TestLeavingServerReachesLargeFleetQuickly(t *testing.T) {
	for _, n := range []int{2, 12, 75, 1400} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			begin := time.Now()
			f.hosts[address(0)].BroadcastServer(&pb.ServerState{Id: "s1", Leaving: true})
			time.Sleep(time.Second)
			took, all := f.slowestReceipt(begin, "s1")
			if limit := batchDelay + 5*roundTrip; !all || took > limit {
				t.Errorf("%d hosts: all %v after %v, want %v at most", n, all, took, limit)
			}
			if calls := f.callCount(); calls != n-1 {
				t.Errorf("%d hosts: %d messages, want one for each other host", n, calls)
			}
			if checks := f.checkCount(); checks > fanOut+fanOut*fanOut {
				t.Errorf("%d hosts: %d hosts were asked whether they have passed the update on", n, checks)
			}
		})
	}
}

// TestNewestStateOfServerIsBroadcast has a restarted server announce that it is leaving, while
// the end of its previous incarnation or an older state of the same one is to be broadcast. If
// the state that came last were sent instead of the newest one, hosts would send requests to the
// leaving server until heartbeats bring the newest state.
func TestNewestStateOfServerIsBroadcast(t *testing.T) {
	leaving := &pb.ServerState{Id: "s1", Incarnation: 200, Seq: 1, Leaving: true}
	for name, other := range map[string]*pb.ServerState{
		"former run":  {Id: "s1", Incarnation: 100, Seq: 90, Gone: true},
		"before that": {Id: "s1", Incarnation: 200, Seq: 2},
	} {
		for _, order := range [][]*pb.ServerState{{leaving, other}, {other, leaving}} {
			s := New(Config{})
			for _, st := range order {
				s.BroadcastServer(st)
			}
			if sent := s.nextUpdate().GetServers(); len(sent) != 1 || sent[0] != leaving {
				t.Errorf("%s: broadcast %v", name, sent)
			}
		}
	}
}

// TestDeadHostsDoNotStopBroadcast has a fifth of the hosts killed but not yet known to be dead
// when a server stops. If the hosts to which a dead host should have forwarded the update were
// not notified, they would go on sending to the server.
func TestDeadHostsDoNotStopBroadcast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 75)
		for i := 1; i < 75; i += 5 {
			f.down[address(i)] = true
		}
		begin := time.Now()
		f.hosts[address(0)].BroadcastServer(&pb.ServerState{Id: "s1", Gone: true})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		took, all := f.slowestReceipt(begin, "s1")
		if !all || took > 1500*time.Millisecond {
			t.Errorf("all %v after %v", all, took)
		}
	})
}

// TestTableIsFetchedFromNotifyingHost checks that hosts fetch a new table from the host that
// notified them. If all fetched each new table from the leader of the control group, the leader
// would answer late while tables change.
func TestTableIsFetchedFromNotifyingHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 75)
		leader := f.hosts[address(0)]
		leader.revision = 9
		begin := time.Now()
		leader.BroadcastTable(9)
		time.Sleep(time.Second)
		synctest.Wait()
		fromLeader := 0
		for addr, h := range f.hosts {
			if addr == leader.address {
				continue
			}
			if h.revision != 9 || h.fetched.Sub(begin) > batchDelay+8*roundTrip {
				t.Errorf("%s has revision %d after %v", addr, h.revision, h.fetched.Sub(begin))
			}
			if h.fetched.Sub(begin) <= batchDelay+2*roundTrip {
				fromLeader++
			}
		}
		if fromLeader > fanOut {
			t.Errorf("%d hosts fetched from the leader", fromLeader)
		}
	})
}

func TestTablesInQuickSuccessionAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		leader := f.hosts[address(0)]
		for revision := range uint64(50) {
			leader.mu.Lock()
			leader.revision = revision + 1
			leader.mu.Unlock()
			leader.BroadcastTable(revision + 1)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if f.calls > 8*8 {
			t.Errorf("%d messages for 50 tables in half a second to 8 hosts", f.calls)
		}
		if got := f.hosts[address(5)].revision; got != 50 {
			t.Errorf("revision %d after all, want 50", got)
		}
	})
}

// TestAllSuspectsReachAllHosts guards against suspects that are not broadcast when many servers
// crash at once, and against a single message with all of them.
func TestAllSuspectsReachAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, suspects = 75, 3*maxSuspects + 1
		f := newFleet(t, hosts)
		for n := range suspects {
			f.hosts[address(0)].BroadcastSuspect(&pb.Suspect{Account: "a", Fingerprint: fmt.Append(nil, n)})
		}
		time.Sleep(time.Second)
		synctest.Wait()
		for addr, h := range f.hosts {
			h.mu.Lock()
			if got := len(h.receivedSuspects); got != suspects && addr != address(0) {
				t.Errorf("%s received %d of %d suspects", addr, got, suspects)
			}
			h.mu.Unlock()
		}
	})
}

// Guards against an evacuation that reaches the last host of a large fleet only by heartbeats, seconds
// later. Of two orders in quick succession the newer one is sent.
func TestEvacuationsReachLargeFleetQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 80)
		first := f.hosts[address(0)]
		first.BroadcastEvacuations(&pb.Evacuations{Revision: 9, Zones: []*pb.Evacuation{{Zone: "z"}}})
		first.BroadcastEvacuations(&pb.Evacuations{Revision: 8})
		time.Sleep(500 * time.Millisecond)
		for addr, h := range f.hosts {
			h.mu.Lock()
			if addr != first.address && h.evacuations.GetRevision() != 9 {
				t.Errorf("%s knows %v", addr, h.evacuations)
			}
			h.mu.Unlock()
		}
	})
}

// Guards against hosts of a large fleet that get a table seconds after it was confirmed, because a host that should pass
// on the word of it is dead, or takes seconds to fetch the table itself: of a single table, and of tables that change
// ten times a second.
func TestTablesReachLargeFleetPastDeadAndSlowHosts(t *testing.T) {
	const (
		hosts, interval = 1000, 100 * time.Millisecond
		bound           = 1500 * time.Millisecond
	)
	for _, tables := range []uint64{1, 20} {
		t.Run(fmt.Sprint(tables), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, hosts)
				for i := 1; i < hosts; i++ {
					f.down[address(i)], f.slow[address(i)] = i%20 == 3, i%20 == 7
				}
				leader := f.hosts[address(0)]
				behind := make(map[string]time.Duration)
				for tick := uint64(1); tick <= tables+uint64(bound/interval); tick++ {
					if tick <= tables {
						leader.mu.Lock()
						leader.revision = tick
						leader.mu.Unlock()
						leader.BroadcastTable(tick)
					}
					time.Sleep(interval)
					synctest.Wait()
					for addr := range f.hosts {
						if !f.down[addr] && !f.slow[addr] {
							behind[addr] = max(behind[addr], time.Duration(tick-min(f.hosts[addr].held(tables, tick), tick))*interval)
						}
					}
				}
				late := 0
				for _, d := range behind {
					if d > bound-interval {
						late++
					}
				}
				if late > 0 {
					t.Errorf("%d of %d hosts were behind for %v and more", late, len(behind), bound)
				}
				time.Sleep(10 * slowFetch) // until all fetches have ended
			})
		})
	}
}

// held returns the revision that a host holds; tick if that is the last of a number of tables.
func (h *host) held(tables, tick uint64) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.revision == tables {
		return tick
	}
	return h.revision
}
