package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a brittle server that falls over, because hosts that send to it at the same time, that
// stop, start and are partitioned, cause more rejections in a second than it tolerates when its room
// shrinks.
func TestRejectionsStayWithinWhatTheServerTolerates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{1, 2, 3, 7, 20, 60}).Draw(t, "hosts")
		tolerated := rapid.SampledFrom([]int{1, 1, 2, 3, 5, 12}).Draw(t, "tolerated")
		slots := rapid.SampledFrom([]int{1, 4, 16, 64}).Draw(t, "slots")
		f := newModelFleet(rapid.Uint64().Draw(t, "seed"), hosts, tolerated, slots)
		f.took = time.Duration(rapid.IntRange(5, 3000).Draw(t, "took")) * time.Millisecond
		f.firstAnswer = min(f.took, time.Duration(rapid.IntRange(5, 1000).Draw(t, "firstAnswer"))*time.Millisecond)
		rate := 20.0
		for range rapid.IntRange(5, 25).Draw(t, "changes") {
			at := rapid.IntRange(0, hosts-1).Draw(t, "host")
			switch rapid.IntRange(0, 8).Draw(t, "change") {
			case 0:
				f.kill(at)
			case 1:
				f.start(at)
			case 2:
				f.move(at, rapid.IntRange(0, 2).Draw(t, "side"))
			case 3:
				for m := range hosts {
					f.move(m, 0)
				}
			case 4, 5, 6:
				f.room = rapid.IntRange(0, 2*slots).Draw(t, "room")
			case 7:
				rate = rapid.SampledFrom([]float64{0, 3, 30, 300}).Draw(t, "rate")
			case 8:
				f.stop(at)
			}
			f.demand(rate, time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms"))*time.Millisecond)
		}
		if n, at := f.excess(); n > 0 {
			t.Fatalf("the server tolerates %d rejections in a second and had to reject %d more from %v on", tolerated, n, at.Sub(epoch))
		}
	})
}

// Guards against a brittle server that stays idle while callers are refused.
func TestRoomIsUsedWhenDemandExceedsIt(t *testing.T) {
	const span = 20 * time.Second
	for _, c := range []struct {
		name                          string
		hosts, tolerated, slots, room int
		took, firstAnswer             time.Duration
	}{
		{"all slots", 7, 2, 8, 8, 500 * time.Millisecond, 50 * time.Millisecond},
		{"room below the slots", 7, 2, 16, 5, time.Second, 50 * time.Millisecond},
		{"small room", 7, 2, 64, 2, 500 * time.Millisecond, 100 * time.Millisecond},
		{"one rejection tolerated", 7, 1, 16, 4, time.Second, 50 * time.Millisecond},
		{"late first answers", 7, 2, 8, 4, time.Second, 800 * time.Millisecond},
		{"many hosts", 60, 3, 8, 6, 500 * time.Millisecond, 50 * time.Millisecond},
		{"300 hosts", 300, 3, 8, 6, 500 * time.Millisecond, 50 * time.Millisecond},
	} {
		f := newModelFleet(1, c.hosts, c.tolerated, c.slots)
		f.room, f.took, f.firstAnswer = c.room, c.took, c.firstAnswer
		rate := 3 * float64(c.room) / c.took.Seconds()
		f.demand(rate, 5*time.Second)
		f.busy = 0
		f.demand(rate, span)
		used := int(100 * f.busy / (span * time.Duration(c.room)))
		t.Logf("%s: %d%% of the room used, %d rejections, at most %d", c.name, used, len(f.rejections), f.tolerated)
		if used < minUsed {
			t.Errorf("%s: only %d%% of the room used", c.name, used)
		}
		if n, _ := f.excess(); n > 0 {
			t.Errorf("%s: %d rejections in a second more than the %d tolerated", c.name, n, c.tolerated)
		}
	}
}

// Guards against a brittle server that gets nothing for seconds after its owner was restarted, although all hosts
// agree on the owner.
func TestServerOfARestartedOwnerIsSoonUsed(t *testing.T) {
	for name, stop := range map[string]func(*modelFleet){
		"in order": func(f *modelFleet) { f.stop(0) }, "killed": func(f *modelFleet) { f.kill(0) },
	} {
		used, runs := 0, 20
		for seed := range runs {
			f := newModelFleet(uint64(seed), 5, 2, 8)
			f.demand(20, 10*time.Second)
			stop(f)
			f.demand(20, 9*time.Second)
			f.start(0)
			f.demand(20, SettledTime-500*time.Millisecond)
			before := f.hosts[0].admitted
			f.demand(20, 400*time.Millisecond)
			if f.hosts[0].admitted > before {
				used++
			}
		}
		if used < runs/2 {
			t.Errorf("%s: the owner admits requests before %v in %d of %d runs", name, SettledTime, used, runs)
		}
	}
}

// Guards against a window that is too large because a server goes on with requests whose callers have left.
func TestRequestWhoseCallerLeftStaysInFlight(t *testing.T) {
	o, now := NewOwner(), epoch
	admit := func(id uint64) Denial {
		return o.Admit(now, Request{Incarnation: server, Key: Key{"h", id}, Slots: 1, Allowance: 5, Lifetime: time.Minute}).Denial
	}
	if d := admit(1); d != Admitted {
		t.Fatal(d)
	}
	o.Left(now, server, Key{"h", 1})
	if d := admit(2); d != WindowFull {
		t.Errorf("%v just after the caller left", d)
	}
	now = now.Add(lingerTime)
	if d := admit(3); d != Admitted {
		t.Errorf("%v after %v", d, lingerTime)
	}
}
