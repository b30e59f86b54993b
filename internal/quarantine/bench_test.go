package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// BenchmarkMemory measures the size of a request with three crashes in memory, and in the message
// that sends it to another host.
func BenchmarkMemory(b *testing.B) {
	const accounts = 400
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := NewTable()
		for a := range accounts {
			for n := range maxPerAccount {
				for c := range MaxCrashes {
					table.RecordCrash(epochStart, request(fmt.Sprintf("account-%d", a), n), incarnation(a*n+c), "host-12", c)
				}
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		entries := float64(accounts * maxPerAccount)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "B/request")
		reply := &pb.FetchSuspectsReply{Suspects: table.Suspects(epochStart.Add(time.Second))}
		b.ReportMetric(float64(proto.Size(reply))/entries, "told-B/request")
	}
}

// BenchmarkAdmitFree measures the cost of admitting a request that has no recorded crashes.
func BenchmarkAdmitFree(b *testing.B) {
	table := NewTable()
	for n := range maxPerAccount {
		table.RecordCrash(epochStart, request("account", n), incarnation(n), "host", 0)
	}
	id := request("account", maxPerAccount)
	for b.Loop() {
		table.Admit(epochStart, Query{ID: id, Name: "pass", Lifetime: time.Second})
	}
}

// BenchmarkPartMemory measures the size of a part with three crashes in memory, and in the message that sends
// it to another host.
func BenchmarkPartMemory(b *testing.B) {
	const accounts = 400
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := NewTable()
		for a := range accounts {
			var parts []uint64
			for n := range maxPartsPerAccount {
				parts = append(parts, uint64(a*maxPartsPerAccount+n))
			}
			r := NewRequest(request(fmt.Sprintf("account-%d", a), 0), parts)
			for c := range MaxCrashes {
				table.RecordPartCrashes(epochStart, r, Crash{Incarnation: incarnation(a + c), Host: "host-12", Software: "pool/v1/m"})
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		entries := float64(accounts * maxPartsPerAccount)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "B/part")
		reply := &pb.FetchSuspectsReply{Suspects: table.Suspects(epochStart.Add(time.Second))}
		b.ReportMetric(float64(proto.Size(reply))/entries, "told-B/part")
	}
}

// BenchmarkAnsweredMemory measures the size of a full memory of answered parts.
func BenchmarkAnsweredMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var a answeredParts
		for n := range uint64(2 * maxGeneration) {
			a.add(epochStart, PartFingerprint(n), "pool/v1/m")
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B")
		runtime.KeepAlive(a)
	}
}

// BenchmarkRestrictions measures the cost of looking up a request with three shared parts beside a full
// account's parts, and of recording its answer.
func BenchmarkRestrictions(b *testing.B) {
	table := NewTable()
	for n := range uint64(maxPartsPerAccount) {
		r := NewRequest(request("account", 0), []uint64{n})
		for c := range MaxCrashes {
			table.RecordPartCrashes(epochStart, r, Crash{Incarnation: incarnation(c), Host: "host-12", Software: "pool/v1/m"})
		}
	}
	r := NewRequest(request("account", 1), []uint64{1001, 1002, 1003})
	b.Run("look-up", func(b *testing.B) {
		for b.Loop() {
			table.Restrictions(epochStart, r)
		}
	})
	b.Run("answer", func(b *testing.B) {
		for b.Loop() {
			table.RecordAnswer(epochStart, r, "pool/v1/m")
		}
	})
	crashing := NewRequest(request("account", 2), []uint64{1, 2, 3})
	b.Run("quarantined", func(b *testing.B) {
		for b.Loop() {
			table.Restrictions(epochStart, crashing)
		}
	})
}
