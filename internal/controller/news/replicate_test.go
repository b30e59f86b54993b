package news

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// controlHosts is the number of control hosts of a fleet: the first ones.
const controlHosts = 3

// zones is the number of availability zones.
const zones = 3

// confirmLimit is the longest time in which a host confirms a change: servers wait a second for it.
const confirmLimit = time.Second

// holders returns the hosts that can hold a change for the host at an address, down ones included.
func (f *fleet) holders(self string) Holders {
	h := Holders{Others: make([][]string, zones), Alone: len(f.hosts) == 1}
	for i := range len(f.hosts) {
		switch addr := address(i); {
		case addr == self:
		case i < controlHosts:
			h.Control = append(h.Control, addr)
		default:
			h.Others[i%zones] = append(h.Others[i%zones], addr)
		}
	}
	return h
}

// setDown sets whether hosts are down or partitioned from all others.
func (f *fleet) setDown(down bool, hosts ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range hosts {
		f.down[address(i)] = down
	}
}

// callCount returns the number of messages that were answered.
func (f *fleet) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// checkCount returns the number of messages that only asked whether a host still runs.
func (f *fleet) checkCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checks
}

// confirm replicates the end of a server at a host and returns how long that took.
func (f *fleet) confirm(t *testing.T, host int, server string) (time.Duration, error) {
	begin := time.Now()
	err := f.hosts[address(host)].ReplicateServer(t.Context(), &pb.ServerState{Id: server, Gone: true})
	return time.Since(begin), err
}

// lastReceipt returns the time from begin until the last host that is up, except one, received the state of a server;
// false if one of them did not.
func (f *fleet) lastReceipt(begin time.Time, server string, except int) (time.Duration, bool) {
	worst := time.Duration(0)
	for addr, h := range f.hosts {
		if f.down[addr] || addr == address(except) {
			continue
		}
		h.mu.Lock()
		received := h.received[server]
		h.mu.Unlock()
		if received.IsZero() {
			return 0, false
		}
		worst = max(worst, received.Sub(begin))
	}
	return worst, true
}

// Guards against a confirmed end of a server that is lost with the host that confirmed it, alone or together with
// half of the gateways or with all control hosts: every other host gets the change within two seconds.
func TestConfirmedChangeOutlivesItsHost(t *testing.T) {
	for _, n := range []int{8, 75, 1000} {
		for name, killed := range map[string]func(i int) bool{
			"alone":                func(int) bool { return false },
			"half of the gateways": func(i int) bool { return i >= controlHosts && i%2 == 0 },
			"control hosts":        func(i int) bool { return i < controlHosts },
		} {
			t.Run(fmt.Sprint(n, " hosts, ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, n)
					confirmer := n - 1
					if _, err := f.confirm(t, confirmer, "s1"); err != nil {
						t.Fatal(err)
					}
					confirmed := time.Now()
					f.hosts[address(confirmer)].kill()
					for i := range n {
						if killed(i) {
							f.hosts[address(i)].kill()
						}
					}
					time.Sleep(5 * time.Second)
					synctest.Wait()
					if took, all := f.lastReceipt(confirmed, "s1", confirmer); !all || took > 2*time.Second {
						t.Errorf("all hosts %v, the last one %v after the confirmation", all, took)
					}
				})
			})
		}
	}
}

// Guards against an evacuation, or a release from the quarantine, that is lost or spreads late as the host that confirmed it
// to an operator is killed.
func TestConfirmedOrderOutlivesItsHost(t *testing.T) {
	const n = 75
	for name, confirm := range map[string]func(context.Context, *host) error{
		"evacuation": func(ctx context.Context, h *host) error {
			return h.ReplicateEvacuations(ctx, &pb.Evacuations{Revision: 9, Zones: []*pb.Evacuation{{Zone: "z"}}})
		},
		"release": func(ctx context.Context, h *host) error {
			return h.ReplicateSuspect(ctx, &pb.Suspect{Account: "a", Fingerprint: []byte("f"), Epoch: 2})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, n)
				if err := confirm(t.Context(), f.hosts[address(0)]); err != nil {
					t.Fatal(err)
				}
				f.hosts[address(0)].kill()
				time.Sleep(2 * time.Second)
				synctest.Wait()
				for addr, h := range f.hosts {
					h.mu.Lock()
					if addr != address(0) && h.evacuations.GetRevision() != 9 && !h.receivedSuspects["f"] {
						t.Errorf("%s does not have the order", addr)
					}
					h.mu.Unlock()
				}
			})
		})
	}
}

// Guards against a confirmation whose cost grows with the fleet.
func TestConfirmationCostsTheSameInLargeFleets(t *testing.T) {
	for _, n := range []int{8, 1000} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			took, err := f.confirm(t, n-1, "s1")
			calls := f.callCount()
			if err != nil || took > 2*roundTrip || calls != Copies {
				t.Errorf("%d hosts: %v, %d messages, took %v", n, err, calls, took)
			}
			time.Sleep(5 * time.Second)
			synctest.Wait()
			if got, want := f.callCount(), Copies+n-1+Copies; got != want {
				t.Errorf("%d hosts: %d messages in all, want %d: each host is told once", n, got, want)
			}
		})
	}
}

// Guards against confirmations that fail, or take longer than a server waits, while hosts are down that nobody knows
// to be dead: half of the gateways, or all control hosts.
func TestDeadHostsDoNotStopConfirmations(t *testing.T) {
	const n = 75
	for name, down := range map[string]func(i int) bool{
		"half of the gateways": func(i int) bool { return i >= controlHosts && i%2 == 0 },
		"control hosts":        func(i int) bool { return i < controlHosts },
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n)
			for i := range n - 1 {
				f.setDown(down(i), i)
			}
			for server := range 20 {
				if took, err := f.confirm(t, n-1, fmt.Sprint("s", server)); err != nil || took > confirmLimit {
					t.Errorf("%s down: %v after %v", name, err, took)
				}
			}
			time.Sleep(5 * time.Second) // until all messages have ended
		})
	}
}

// Guards against a host that confirms a change although it reaches nobody, and against one that is alone in its fleet
// and confirms nothing.
func TestHostWithoutReachablePeersConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		for i := range 7 {
			f.setDown(true, i)
		}
		took, err := f.confirm(t, 7, "s1")
		if !errkind.Is(err, errkind.NotReplicated) || took > confirmLimit {
			t.Errorf("cut off: %v after %v", err, took)
		}
		if ran := errkind.From(err).Ran(); ran != errkind.RanUnknown {
			t.Errorf("the refusal says %q of whether the change took effect", ran)
		}
		for i := range 7 {
			f.setDown(false, i)
		}
		if _, err := f.confirm(t, 7, "s1"); err != nil {
			t.Errorf("again after the partition: %v", err)
		}
		time.Sleep(5 * time.Second)
	})
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		if took, err := f.confirm(t, 0, "s1"); err != nil || took > 0 {
			t.Errorf("alone: %v after %v", err, took)
		}
		time.Sleep(time.Second)
	})
}

// Guards against many servers that leave at once and wait for each other's confirmations, or cost a message each.
func TestManyServersLeaveAtOnce(t *testing.T) {
	const n, servers = 1000, 2*maxRoundChanges + 1
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n)
		begin := time.Now()
		var wait sync.WaitGroup
		for i := range servers {
			wait.Go(func() {
				if _, err := f.confirm(t, n-1, fmt.Sprint("s", i)); err != nil {
					t.Error(err)
				}
			})
		}
		wait.Wait()
		if took := time.Since(begin); took > 200*time.Millisecond {
			t.Errorf("%d servers were confirmed after %v", servers, took)
		}
		if calls := f.callCount(); calls > 4*Copies+n-1 {
			t.Errorf("%d messages for %d servers until the last confirmation", calls, servers)
		}
		time.Sleep(5 * time.Second)
	})
}

// Guards against a message for each repeated announcement of a server that leaves.
func TestRepeatedAnnouncementIsReplicatedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		leaving := &pb.ServerState{Id: "s1", Incarnation: 100, Leaving: true}
		for range 10 {
			if err := f.hosts[address(7)].ReplicateServer(t.Context(), leaving); err != nil {
				t.Fatal(err)
			}
			time.Sleep(replicatedRetention / 20)
		}
		before := f.callCount()
		if want := Copies + 7 + Copies; before != want {
			t.Errorf("%d messages, want %d", before, want)
		}
		if _, err := f.confirm(t, 7, "s1"); err != nil || f.callCount() == before {
			t.Errorf("the end after that: %v, %d messages", err, f.callCount())
		}
		time.Sleep(5 * time.Second)
	})
}

// Guards against confirmations by a host that does not run yet or any more, and against callers that wait longer than
// they said.
func TestConfirmationEndsWithItsHostOrCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		if err := s.ReplicateServer(t.Context(), &pb.ServerState{Id: "s1", Gone: true}); !errkind.Is(err, errkind.NotReplicated) {
			t.Errorf("before the start: %v", err)
		}
		f := newFleet(t, 8)
		for i := range 7 {
			f.setDown(true, i)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		begin := time.Now()
		err := f.hosts[address(7)].ReplicateServer(ctx, &pb.ServerState{Id: "s1", Gone: true})
		if took := time.Since(begin); !errkind.Is(err, errkind.NotReplicated) || took > 10*time.Millisecond {
			t.Errorf("%v after %v", err, took)
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			f.hosts[address(7)].kill()
		}()
		if took, err := f.confirm(t, 7, "s2"); !errkind.Is(err, errkind.NotReplicated) || took > confirmLimit {
			t.Errorf("host stopped meanwhile: %v after %v", err, took)
		}
		time.Sleep(5 * time.Second)
	})
}

// Guards against a fleet in which control hosts or zones that come first hold all changes.
func TestHoldersAreOfBothKindsAndOfSeveralZones(t *testing.T) {
	h := (&fleet{hosts: make(map[string]*host)}).withHosts(75).holders(address(74))
	seen := make(map[string]bool)
	for range 1000 {
		got := h.candidates()
		if len(got) != maxCandidates {
			t.Fatalf("%d candidates", len(got))
		}
		control, zone := 0, make(map[int]bool)
		for _, addr := range got[:Copies] {
			seen[addr] = true
			if i := indexOf(addr); i < controlHosts {
				control++
			} else {
				zone[i%zones] = true
			}
		}
		if control != 2 || len(zone) != 2 {
			t.Fatalf("%d control hosts, %d zones of others in %v", control, len(zone), got[:Copies])
		}
	}
	if len(seen) != 74 {
		t.Errorf("%d of 74 hosts ever hold a change", len(seen))
	}
	if got := (Holders{}).candidates(); len(got) != 0 {
		t.Errorf("candidates of nobody: %v", got)
	}
}

func (f *fleet) withHosts(n int) *fleet {
	for i := range n {
		f.hosts[address(i)] = nil
	}
	return f
}

func indexOf(addr string) (i int) {
	_, _ = fmt.Sscanf(addr, "10.0.0.%d:7000", &i)
	return i
}

// Guards against held changes without a bound, should a host send holds and no releases.
func TestHeldChangesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		for i := range 2 * maxHeld {
			f.hosts[address(1)].Handle(&pb.TellRequest{Hold: fmt.Sprint(i), Servers: []*pb.ServerState{{Id: "s1", Gone: true}}})
		}
		time.Sleep(time.Millisecond)
		if held := f.hosts[address(1)].heldRounds(); held > maxHeld {
			t.Errorf("%d rounds are held", held)
		}
		time.Sleep(5 * time.Second)
		if held := f.hosts[address(1)].heldRounds(); held != 0 {
			t.Errorf("%d rounds are held for ever", held)
		}
	})
}

// Guards against a change that hosts miss because a host that should have passed it on to them was killed just after it
// had got it, while the host that confirmed it goes on.
func TestHostsKilledDuringABroadcastHideItFromNobody(t *testing.T) {
	for _, n := range []int{75, 1000} {
		for _, after := range []time.Duration{1, 2, 3, 4, 5, 6} {
			after := batchDelay + after*roundTrip/2
			t.Run(fmt.Sprint(n, " hosts, killed after ", after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, n)
					begin := time.Now()
					f.hosts[address(0)].BroadcastServer(&pb.ServerState{Id: "s1", Gone: true})
					time.Sleep(after - time.Millisecond)
					for i := controlHosts; i < n; i += 2 {
						f.hosts[address(i)].kill()
					}
					time.Sleep(5 * time.Second)
					synctest.Wait()
					if took, all := f.lastReceipt(begin, "s1", 0); !all || took > 2*time.Second {
						t.Errorf("all hosts %v, the last one after %v", all, took)
					}
				})
			})
		}
	}
}

// Guards against a confirmed table that most hosts don't hear of because the control group's leader, which would broadcast
// it, was lost just after the commit; and against a second broadcast while it isn't.
func TestConfirmedTableSpreadsWithoutTheLeader(t *testing.T) {
	for name, leads := range map[string]bool{"leader lost": false, "leader broadcasts": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const n = 75
				f := newFleet(t, n)
				leader, confirmer := f.hosts[address(0)], f.hosts[address(n-1)]
				leader.revision, confirmer.revision = 9, 9
				confirmer.HoldTable(9)
				if leads {
					leader.BroadcastTable(9)
				} else {
					leader.kill()
				}
				time.Sleep(2 * time.Second)
				synctest.Wait()
				for addr, h := range f.hosts {
					if !f.down[addr] && h.held(9, 1) != 1 {
						t.Errorf("%s does not have the table", addr)
					}
				}
				if calls := f.callCount(); calls > n-1 {
					t.Errorf("%d messages for a table", calls)
				}
			})
		})
	}
}
