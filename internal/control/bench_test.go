package control

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
	"github.com/bluebellsail/bluebellsail/internal/wal"
)

// countingTransport is a Transport that delivers messages at once and counts them.
type countingTransport struct {
	to    map[string]*atomic.Pointer[Replica]
	from  string
	bytes *atomic.Int64
	count *atomic.Int64
}

func (c countingTransport) Send(m *pb.RaftMessage, address string) {
	c.bytes.Add(int64(proto.Size(m)))
	c.count.Add(1)
	if r := c.to[address].Load(); r != nil {
		r.receive(m, c.from)
	}
}
func (countingTransport) Reset(string) {}

func (countingTransport) FailedSnapshots() []uint64 { return nil }

func (countingTransport) Close() {}

// benchGroup starts three replicas on the machine's disk.
func benchGroup(b *testing.B) (replicas []*Replica, leader *Replica, c countingTransport) {
	b.Helper()
	c = countingTransport{to: map[string]*atomic.Pointer[Replica]{}, bytes: &atomic.Int64{}, count: &atomic.Int64{}}
	members := members("host0", "host1", "host2")
	for _, m := range members {
		c.to[m.Address] = &atomic.Pointer[Replica]{}
	}
	for i, m := range members {
		own := c
		own.from = m.Address
		r, err := Open(Config{
			Fleet: "bench", Host: m.Host, ReplicaAddress: m.Address, DataDir: b.TempDir(), Members: members,
			StateMachine: newRegisters(), Transport: own, FS: wal.OS{}, Seed: int64(i + 1),
		})
		testutil.NoError(b, err)
		b.Cleanup(func() { _ = r.Close() })
		c.to[m.Address].Store(r)
		replicas = append(replicas, r)
	}
	for leader == nil {
		time.Sleep(10 * time.Millisecond)
		for _, r := range replicas {
			if _, err := r.Read(b.Context(), get("/")); err == nil {
				leader = r
			}
		}
	}
	return replicas, leader, c
}

// BenchmarkPropose measures committed proposals with a number of concurrent proposers.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(proposers), func(b *testing.B) {
			_, l, c := benchGroup(b)
			syncs, bytes := l.wal.Syncs(), c.bytes.Load()
			var next atomic.Int64
			var wg sync.WaitGroup
			b.ResetTimer()
			for range proposers {
				wg.Go(func() {
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						if _, err := l.Propose(b.Context(), set(fmt.Sprint("operation", n), "/a", "value")); err != nil {
							b.Error(err)
						}
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
			b.ReportMetric(float64(c.bytes.Load()-bytes)/float64(b.N), "wire-bytes/proposal")
			_ = l.Close()
			b.ReportMetric(float64(l.wal.Syncs()-syncs)/float64(b.N), "syncs/proposal")
			b.ReportMetric(float64(l.wal.Bytes())/float64(b.N), "log-bytes/proposal")
		})
	}
}

// BenchmarkIdle measures the traffic of an idle group.
func BenchmarkIdle(b *testing.B) {
	_, _, c := benchGroup(b)
	bytes, count := c.bytes.Load(), c.count.Load()
	const span = 2 * time.Second
	time.Sleep(span)
	b.ReportMetric(float64(c.bytes.Load()-bytes)/3/span.Seconds(), "bytes/s/replica")
	b.ReportMetric(float64(c.count.Load()-count)/3/span.Seconds(), "messages/s/replica")
}
