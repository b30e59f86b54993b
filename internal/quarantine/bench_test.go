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
