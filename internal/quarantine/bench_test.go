package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// BenchmarkMemory is what a request with three crashes takes in memory, and in the message that
// tells another host of it.
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
					table.RecordCrash(epochStart, request(fmt.Sprintf("account-%d", a), n), run(a*n+c), "host-12", c)
				}
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		entries := float64(accounts * maxPerAccount)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "B/request")
		told := &pb.FetchSuspectsReply{Suspects: table.Suspects(epochStart.Add(time.Second))}
		b.ReportMetric(float64(proto.Size(told))/entries, "told-B/request")
	}
}

// BenchmarkAdmitFree is what a request costs that nothing is held against.
func BenchmarkAdmitFree(b *testing.B) {
	table := NewTable()
	for n := range maxPerAccount {
		table.RecordCrash(epochStart, request("account", n), run(n), "host", 0)
	}
	id := request("account", maxPerAccount)
	for b.Loop() {
		table.Admit(epochStart, id, "pass", time.Second)
	}
}
