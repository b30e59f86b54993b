package ratelimit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

const (
	coldTime = 3 * time.Second
	// coldWindow is the time over which the requests to a cold server are counted.
	coldWindow = time.Second
	// leastColdUse is the share of a cold server's rate that must be used while demand exceeds it.
	leastColdUse = 0.6
)

// startCold starts an incarnation of the server that is cold: all hosts hear of it at once, and nobody has
// issued permits for it before.
func (f *modelFleet) startCold(started uint64) (until time.Time) {
	f.server = instance.Incarnation{ID: server.ID, Started: started}
	until = f.now.Add(coldTime)
	for _, h := range f.hosts {
		h.table = NewTable(func(string) (float64, bool) { return f.limit, true })
		h.table.SetWarmup(f.now, f.server, Warmup{Service: "pool", Until: until})
	}
	f.arrivals = nil
	return until
}

// busiestWithin returns the most requests that arrived in one window.
func (f *modelFleet) busiestWithin(window time.Duration) int {
	slices.SortFunc(f.arrivals, time.Time.Compare)
	most, from := 0, 0
	for to, at := range f.arrivals {
		for at.Sub(f.arrivals[from]) > window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// Pattern: a zone's servers come back cold under full load, while hosts die, start and are cut off. Guards
// against more requests than a cold server bears, summed over all hosts.
func TestColdServerBearsTheSumOverHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 7, 20, 74}).Draw(t, "hosts")
		rate := rapid.SampledFrom([]float64{1, 5.2, 12, 40}).Draw(t, "rate")
		f := newModelFleet(rapid.Uint64().Draw(t, "seed"), n, rate)
		rates := slices.Repeat([]float64{max(rate, 2)}, n)
		idle := make([]float64, n)
		for round := range rapid.IntRange(1, 4).Draw(t, "rounds") {
			for range rapid.IntRange(0, 6).Draw(t, "changes") {
				at := rapid.IntRange(0, n-1).Draw(t, "host")
				switch rapid.IntRange(0, 3).Draw(t, "change") {
				case 0:
					f.kill(at)
				case 1:
					f.startHost(at)
				case 2:
					f.move(at, rapid.IntRange(0, 1).Draw(t, "side"))
				case 3:
					for m := range n {
						f.move(m, 0)
					}
				}
				for range rapid.IntRange(0, 150).Draw(t, "steps") {
					f.tick(idle)
				}
			}
			for until := f.startCold(uint64(round + 10)); f.now.Before(until); {
				f.tick(rates)
			}
			if most, allowed := f.busiestWithin(coldWindow), 1.5*rate+5; float64(most) > allowed {
				t.Fatalf("%d requests in %v at a server that bears %v a second; %v are allowed", most, coldWindow, rate, allowed)
			}
		}
	})
}

// Guards against a cold server that stays idle while work waits: its owner may issue all of the rate at once
// if it has been the owner for long enough.
func TestColdServerIsUsed(t *testing.T) {
	for _, n := range []int{1, 7, 74} {
		const rate = 5.2
		f := newModelFleet(1, n, rate)
		for f.now.Before(epoch.Add(2 * OwnerChangeTime)) {
			f.tick(make([]float64, n))
		}
		for until := f.startCold(10); f.now.Before(until); {
			f.tick(slices.Repeat([]float64{40.0 / float64(n)}, n))
		}
		used := float64(len(f.arrivals)) / coldTime.Seconds()
		t.Logf("%d hosts: %.1f a second of %v, %d in the busiest second", n, used, rate, f.busiestWithin(coldWindow))
		if used < leastColdUse*rate {
			t.Errorf("%d hosts used %.1f a second of %v", n, used, rate)
		}
	}
}

func TestWarmupLimitsUntilItsEnd(t *testing.T) {
	rates := map[string]float64{"pool": 5}
	table := NewTable(func(service string) (float64, bool) { r, ok := rates[service]; return r, ok })
	limit := func(at time.Time) float64 {
		if l, ok := table.Limit(at, server); ok {
			return l
		}
		return None
	}
	if !table.SetWarmup(epoch, server, Warmup{"pool", epoch.Add(coldTime)}) || table.SetWarmup(epoch, server, Warmup{"pool", epoch.Add(coldTime)}) {
		t.Error("a server becomes cold once")
	}
	if limit(epoch) != 5 || limit(epoch.Add(coldTime)) != None {
		t.Errorf("limit %v when cold, %v when warm", limit(epoch), limit(epoch.Add(coldTime)))
	}
	table.Observe(server, Observation{Limit: 2, At: epoch})
	if limit(epoch) != 2 || limit(epoch.Add(coldTime)) != 2 {
		t.Error("the lower limit does not count")
	}
	table.Observe(server, Observation{Limit: 9, At: epoch.Add(1)})
	if limit(epoch) != 5 || limit(epoch.Add(coldTime)) != 9 {
		t.Error("an advertised limit lifts that of the warm-up")
	}
	if table.ExtendWarmup(epoch, server, Warmup{"pool", epoch.Add(time.Second)}); limit(epoch.Add(2*time.Second)) != 5 {
		t.Error("an older warm-up of another host shortens the known one")
	}
	if table.SetWarmup(epoch.Add(time.Second), server, Warmup{"pool", epoch.Add(time.Second)}); limit(epoch.Add(time.Second)) != 9 {
		t.Error("a server that announces that it is warm counts as cold")
	}
	delete(rates, "pool")
	table.SetWarmup(epoch, server, Warmup{"pool", epoch.Add(coldTime)})
	if limit(epoch) != 9 {
		t.Error("a service without a rate for cold servers limits them")
	}
	table.Expire(epoch.Add(time.Hour))
	if len(table.warmups) != 0 {
		t.Error("an ended warm-up is kept")
	}
}
