package members

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
)

// BenchmarkFleetSize prints, for docs/CAPACITY.md, what heartbeats cost a host in fleets with ten servers a
// host: from a start of all hosts at once until each knows all servers, without changes, and while a
// twentieth of the servers move to other hosts. It asserts nothing.
func BenchmarkFleetSize(b *testing.B) {
	for _, hosts := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for range b.N {
				synctest.Test(&testing.T{}, func(*testing.T) { benchmarkFleet(b, hosts) })
			}
		})
	}
}

func benchmarkFleet(b *testing.B, hosts int) {
	f := startServerFleet(b, hosts, 10)
	defer f.stop()
	const start = 12 * time.Second
	time.Sleep(time.Second)
	f.announce()
	known := 0
	began := time.Now()
	for ; time.Since(began) < start && known < hosts*f.servers; known = f.totalKnown() {
		time.Sleep(simInterval)
	}
	b.ReportMetric(time.Since(began).Seconds(), "s-to-know-all")
	b.ReportMetric(float64(known)/float64(hosts*f.servers), "known")
	_, all := f.takeBytes()
	b.ReportMetric(float64(all)/float64(hosts), "startB/host")
	f.run(start)
	f.reportRate(b, "quiet", 10*time.Second, hosts)
	for s := 0; s < f.servers; s += 20 {
		f.receiver[s] = (f.receiver[s] + 1) % hosts
	}
	f.reportRate(b, "moves", 10*time.Second, hosts)
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/float64(hosts), "heapB/host")
}

// reportRate reports the bytes that a host sends and receives with heartbeats for a time.
func (f *serverFleet) reportRate(b *testing.B, name string, d time.Duration, hosts int) {
	f.takeBytes()
	f.run(d)
	servers, all := f.takeBytes()
	b.ReportMetric(float64(all)/float64(hosts)/d.Seconds(), name+"B/s")
	b.ReportMetric(float64(servers)/float64(hosts)/d.Seconds(), name+"ServerB/s")
}

// totalKnown returns the number of servers known, summed over all hosts.
func (f *serverFleet) totalKnown() int {
	n := 0
	for _, r := range f.registries {
		r.mu.Lock()
		for s := range f.servers {
			if _, ok := r.reg.Get(serverID(s)); ok {
				n++
			}
		}
		r.mu.Unlock()
	}
	return n
}
