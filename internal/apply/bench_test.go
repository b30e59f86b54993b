package apply

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// newFeeder returns a driver that keeps no log.
func newFeeder(b *testing.B) *driver {
	return &driver{t: b, state: New(Options{}), now: 1_700_000_000_000, discardLog: true}
}

func (f *driver) holders(n int) []*pb.Holder {
	var out []*pb.Holder
	for i := range n {
		out = append(out, f.must("", register(fmt.Sprintf("entry-%05d", i), fmt.Sprint("boot", i))).GetRegisterHost().Holder)
	}
	return out
}

func identityOf(i int) string {
	return fmt.Sprintf("school-%03d/0192f3c4-5d6e-7f80-9a1b-%012d", i%930, i)
}

func (f *driver) settleBatch(h *pb.Holder, seq uint64, first, n int) {
	var bills []*pb.Bill
	for i := first; i < first+n; i++ {
		bills = append(bills, &pb.Bill{Budget: "b", Identity: identityOf(i), Tokens: 1, RequestId: fmt.Sprintf("r-%026d", i)})
	}
	f.must("", settle(h, seq, bills...))
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measurePerItem reports the heap and snapshot bytes that each of n items adds.
func measurePerItem(b *testing.B, n int, setUp func(f *driver), add func(f *driver, i int)) {
	for b.Loop() {
		f := newFeeder(b)
		setUp(f)
		before, snapshot := heapBytes(), len(snapshotOf(b, f.state))
		for i := range n {
			add(f, i)
		}
		b.ReportMetric((float64(heapBytes())-float64(before))/float64(n), "heap-B/thing")
		b.ReportMetric(float64(len(snapshotOf(b, f.state))-snapshot)/float64(n), "snapshot-B/thing")
		runtime.KeepAlive(f)
	}
}

// BenchmarkMemory measures the memory per item that docs/CAPACITY.md lists. Budgets,
// accounts and teams are counted together with the operation that created each.
func BenchmarkMemory(b *testing.B) {
	var hosts []*pb.Holder
	nothing := func(*driver) {}
	budget := func(f *driver) { f.must("make-b", create("b", 1<<60)) }
	oneHost := func(f *driver) { hosts = f.holders(1) }
	granted := func(f *driver) { budget(f); oneHost(f); f.must("", acquire(hosts[0], 1, 1<<40, 1<<40)) }
	const teamValue = `{"priority":"urgent","retry":{"share":0.2},"grant":{"horizon":"5s"}}`
	for _, thing := range []struct {
		name  string
		n     int
		setUp func(f *driver)
		add   func(f *driver, i int)
	}{
		{"budget", 11_000, nothing, func(f *driver, i int) {
			f.must(fmt.Sprint("op-", i), create(fmt.Sprintf("budget-%05d", i), 1<<40))
		}},
		{"host", 1400, nothing, func(f *driver, i int) {
			f.must("", register(fmt.Sprintf("entry-%05d", i), fmt.Sprint("boot", i)))
		}},
		{"grant", 1400, func(f *driver) { budget(f); hosts = f.holders(1400) }, func(f *driver, i int) {
			f.must("", acquire(hosts[i], 1, 100, 1000))
		}},
		// The first thousand bills fill the statement.
		{"identity", 200_000, func(f *driver) { granted(f); f.settleBatch(hosts[0], 1, 0, 1000) }, func(f *driver, i int) {
			if i%100 == 0 {
				f.settleBatch(hosts[0], uint64(i/100+2), 1000+i, 100)
			}
		}},
		{"statement-line", 1000, granted, func(f *driver, i int) { f.settleBatch(hosts[0], uint64(i+1), i, 1) }},
		{"claim", 100_000, oneHost, func(f *driver, i int) {
			f.must("", claim(hosts[0], identityOf(i), fmt.Sprintf("r-%026d", i)))
		}},
		{"team", 930, nothing, func(f *driver, i int) {
			f.must(fmt.Sprint("op-", i), setConfig(fmt.Sprintf("/teams/team-%03d", i), teamValue, 0))
		}},
		{"account", 930, func(f *driver) { f.must("op-t", setConfig("/teams/t", `{}`, 0)) }, func(f *driver, i int) {
			value := fmt.Sprintf(`{"team":"t","budget":"budget-%05d","key_hashes":["%s"]}`, i, settings.HashKey(fmt.Sprint(i)))
			f.must(fmt.Sprint("op-", i), setConfig(fmt.Sprintf("/accounts/account-%03d", i), value, 0))
		}},
		{"operation", defaultOperations, budget, func(f *driver, i int) { f.must(fmt.Sprintf("%036d", i), topUp("b", 1)) }},
	} {
		b.Run(thing.name, func(b *testing.B) { measurePerItem(b, thing.n, thing.setUp, thing.add) })
	}
}

// BenchmarkSettle measures the time to apply one bill, by bills per batch.
func BenchmarkSettle(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFeeder(b)
			f.must("make-b", create("b", 1<<60))
			h := f.holders(1)[0]
			f.must("", acquire(h, 1, 1<<50, 1<<50))
			seq := 0
			for b.Loop() {
				f.settleBatch(h, uint64(seq+1), seq*n, n)
				f.now++
				seq++
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(seq*n), "ns/bill")
		})
	}
}

// BenchmarkAcquire measures the time to apply one Acquire of a budget that 1,400 hosts
// hold.
func BenchmarkAcquire(b *testing.B) {
	f := newFeeder(b)
	f.must("make-b", create("b", 1<<62))
	hosts := f.holders(1400)
	i := 0
	for b.Loop() {
		f.must("", acquire(hosts[i%len(hosts)], uint64(i/len(hosts)+1), 1, 1))
		i++
	}
}

// BenchmarkSetConfig measures the time of one change in a tree of 930 accounts and
// teams.
func BenchmarkSetConfig(b *testing.B) {
	f := newFeeder(b)
	for i := range 930 {
		f.must(fmt.Sprint("t", i), setConfig(fmt.Sprintf("/teams/team-%03d", i), `{}`, 0))
		account := fmt.Sprintf(`{"team":"team-%03d","budget":"b","key_hashes":["%064x"]}`, i, i)
		f.must(fmt.Sprint("a", i), setConfig(fmt.Sprintf("/accounts/account-%03d", i), account, 0))
	}
	i := uint64(0)
	for b.Loop() {
		i++
		f.must(fmt.Sprint("op", i), setConfig("/teams/team-007/max_in_flight", strings.Repeat("1", int(i%5)+1), i))
	}
}

// BenchmarkSnapshot measures a snapshot of 11,000 budgets, each held by 20 of 1,400
// hosts, with a million identities; capture-ms is the part that blocks the log.
func BenchmarkSnapshot(b *testing.B) {
	d := newFeeder(b)
	hosts := d.holders(1400)
	d.must("make-b", create("b", 1<<60))
	d.must("", acquire(hosts[0], 1, 1<<50, 1<<50))
	for i := range 10_000 {
		d.settleBatch(hosts[0], uint64(i+1), i*100, 100)
	}
	for i := range 11_000 {
		name := fmt.Sprint("budget-", i)
		d.must(fmt.Sprint("op", i), create(name, 1<<40))
		for j := range 20 {
			a := &pb.Acquire{Holder: hosts[(i*20+j)%len(hosts)], Budget: name, Seq: 1, Need: 1000}
			d.must("", &pb.Command{Body: &pb.Command_Acquire{Acquire: a}})
		}
	}
	var capturing time.Duration
	for b.Loop() {
		start := time.Now()
		encode, err := d.state.Capture()
		capturing += time.Since(start)
		testutil.NoError(b, err)
		if data, err := encode(); err == nil {
			b.ReportMetric(float64(len(data)), "bytes")
		}
	}
	b.ReportMetric(float64(capturing.Milliseconds())/float64(b.N), "capture-ms")
}
