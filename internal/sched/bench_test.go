package sched

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/backend"
)

func fleet(servers, hosts int) (*Core, *backend.Registry) {
	c, reg := newCore(Config{Host: "host-0"}, servers, 64)
	names := make([]string, hosts)
	for i := range names {
		names[i] = fmt.Sprintf("host-%d", i)
	}
	c.SetHosts(names)
	return c, reg
}

// BenchmarkDecision measures one Submit with its Release.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ servers, hosts int }{{18, 7}, {180, 70}, {3700, 1400}} {
		b.Run(fmt.Sprint(size.servers), func(b *testing.B) {
			c, _ := fleet(size.servers, size.hosts)
			rng := rand.New(rand.NewSource(1))
			w := Work{Account: "a", Class: Normal, Target: model, PromptTokens: 1500, OutputCap: 200, Deadline: t0.Add(time.Minute)}
			w.PromptHashes = make([]uint64, 12)
			c.pool(model)
			b.ReportAllocs()
			for b.Loop() {
				w.Ticket++
				w.PromptHashes[0] = uint64(rng.Intn(1000))
				if _, decided := c.Submit(t0, w); !decided {
					b.Fatal("queued")
				}
				c.Release(t0, w.Ticket, End{})
			}
		})
	}
}

// BenchmarkSubset measures the work after a change of the hosts or of the models of servers.
func BenchmarkSubset(b *testing.B) {
	c, _ := fleet(3700, 1400)
	for b.Loop() {
		c.pools = map[backend.Target]*pool{}
		c.pool(model)
	}
}

func BenchmarkAnnounce(b *testing.B) {
	_, reg := fleet(3700, 1400)
	st := announcement("10.20.30.40:8080", 1000, 64)
	st.Zone, st.Pool, st.Models = "imbiribeira", "language", []string{"model-a@v1", "model-b@v3"}
	st.Incarnation, st.Running, st.Waiting, st.LoadAgeMs, st.CacheSeq = 1_700_000_000, 60, 3, 20, 1_000_000
	b.ReportAllocs()
	for b.Loop() {
		st = proto.CloneOf(st)
		st.Seq++
		reg.Announce(t0, st)
	}
	b.ReportMetric(float64(proto.Size(st)), "wire-B")
}

// BenchmarkServerMemory reports the bytes held per announced backend server, without and with
// 1024 known prefix blocks.
func BenchmarkServerMemory(b *testing.B) {
	for _, blocks := range []int{0, 1024} {
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			const n = 1000
			for b.Loop() {
				before := heapBytes()
				_, reg := newCore(Config{Host: "h"}, n, 64)
				for _, s := range reg.Serving(model) {
					for h := range uint64(blocks) {
						s.AssumeCached([]uint64{h})
					}
				}
				b.ReportMetric(float64(heapBytes()-before)/n, "B/server")
				runtime.KeepAlive(reg)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
