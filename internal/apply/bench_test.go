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

// newFeeder makes a driver that keeps no log.
func newFeeder(b *testing.B) *driver {
	return &driver{t: b, state: New(Options{}), now: 1_700_000_000_000, forget: true}
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
	s := &pb.Settle{Holder: h, Seq: seq}
	for i := first; i < first+n; i++ {
		s.Bills = append(s.Bills, &pb.Bill{Budget: "b", Identity: identityOf(i), Tokens: 1, RequestId: fmt.Sprintf("r-%026d", i), TimeMs: f.now})
	}
	f.must("", func(c *pb.Command) { c.Body = &pb.Command_Settle{Settle: s} })
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// perThing reports the heap and snapshot bytes that each of n things adds.
func perThing(b *testing.B, n int, setUp func(f *driver), add func(f *driver, i int)) {
	for b.Loop() {
		f := newFeeder(b)
		setUp(f)
		before, snapshot := heapBytes(), snapshotBytes(f)
		for i := range n {
			add(f, i)
		}
		b.ReportMetric((float64(heapBytes())-float64(before))/float64(n), "heap-B/thing")
		b.ReportMetric(float64(snapshotBytes(f)-snapshot)/float64(n), "snapshot-B/thing")
		runtime.KeepAlive(f)
	}
}

func snapshotBytes(f *driver) int {
	data, err := f.state.Snapshot()
	testutil.NoError(f.t, err)
	return len(data)
}

// BenchmarkMemory gives the slopes of docs/CAPACITY.md. Budgets, accounts and teams
// are counted with the operation that made each.
func BenchmarkMemory(b *testing.B) {
	budget := func(f *driver) { f.must("make-b", create("b", 1<<60)) }
	var hosts []*pb.Holder
	b.Run("budget", func(b *testing.B) {
		perThing(b, 11_000, func(*driver) {}, func(f *driver, i int) {
			f.must(fmt.Sprint("op-", i), create(fmt.Sprintf("budget-%05d", i), 1<<40))
		})
	})
	b.Run("host", func(b *testing.B) {
		perThing(b, 1400, func(*driver) {}, func(f *driver, i int) {
			f.must("", register(fmt.Sprintf("entry-%05d", i), fmt.Sprint("boot", i)))
		})
	})
	b.Run("grant", func(b *testing.B) {
		perThing(b, 1400, func(f *driver) { budget(f); hosts = f.holders(1400) }, func(f *driver, i int) {
			f.must("", acquire(hosts[i], 1, 100, 1000))
		})
	})
	b.Run("identity", func(b *testing.B) {
		perThing(b, 200_000, func(f *driver) {
			budget(f)
			hosts = f.holders(1)
			f.must("", acquire(hosts[0], 1, 1<<40, 1<<40))
			f.settleBatch(hosts[0], 1, 0, 1000) // fills the statement
		}, func(f *driver, i int) {
			if i%100 == 0 {
				f.settleBatch(hosts[0], uint64(i/100+2), 1000+i, 100)
			}
		})
	})
	b.Run("statement-line", func(b *testing.B) {
		perThing(b, 1000, func(f *driver) { budget(f); hosts = f.holders(1); f.must("", acquire(hosts[0], 1, 1<<40, 1<<40)) },
			func(f *driver, i int) { f.settleBatch(hosts[0], uint64(i+1), i, 1) })
	})
	b.Run("claim", func(b *testing.B) {
		perThing(b, 100_000, func(f *driver) { hosts = f.holders(1) }, func(f *driver, i int) {
			f.must("", claim(hosts[0], identityOf(i), fmt.Sprintf("r-%026d", i)))
		})
	})
	b.Run("team", func(b *testing.B) {
		perThing(b, 930, func(*driver) {}, func(f *driver, i int) {
			f.must(fmt.Sprint("op-", i), setConfig(fmt.Sprintf("/teams/team-%03d", i), `{"priority":"urgent","retry":{"share":0.2},"grant":{"horizon":"5s"}}`, 0))
		})
	})
	b.Run("account", func(b *testing.B) {
		perThing(b, 930, func(f *driver) { f.must("op-t", setConfig("/teams/t", `{}`, 0)) }, func(f *driver, i int) {
			value := fmt.Sprintf(`{"team":"t","budget":"budget-%05d","key_hashes":["%s"]}`, i, settings.HashKey(fmt.Sprint(i)))
			f.must(fmt.Sprint("op-", i), setConfig(fmt.Sprintf("/accounts/account-%03d", i), value, 0))
		})
	})
	b.Run("operation", func(b *testing.B) {
		perThing(b, defaultOperations, budget, func(f *driver, i int) { f.must(fmt.Sprintf("%036d", i), topUp("b", 1)) })
	})
}

// BenchmarkSettle gives the time to apply one bill, by bills per batch.
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

// BenchmarkAcquire gives the time to apply one Acquire of a budget that 1,400 hosts hold.
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

// BenchmarkSetConfig gives the time of one change in a tree of 930 accounts and teams.
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

// BenchmarkSnapshot gives the time of a snapshot of 11,000 budgets, each held by 20
// of 1,400 hosts, with a million identities; capture is the part that holds up the log.
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
			d.must("", func(c *pb.Command) { c.Body = &pb.Command_Acquire{Acquire: a} })
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
