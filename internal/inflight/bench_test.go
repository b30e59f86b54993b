package inflight

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

func benchRecord(i, answer int) *pb.InflightRecord {
	return &pb.InflightRecord{
		Identity: fmt.Sprintf("school-%03d/bbs-m1k2j3h4-%024d", i%930, i), RequestId: fmt.Sprintf("%032d", i),
		Holder: &pb.Holder{Host: "entry-00002", Incarnation: 100_000}, Budget: "budget-00001", Reserved: 2024,
		Team: "ledger-drafts", Account: fmt.Sprintf("school-%03d", i%930), Server: "10.200.13.17:8000",
		EngineRequestId: fmt.Sprintf("cmpl-%032d", i), Idempotent: true, State: pb.InflightState_INFLIGHT_STATE_RUNNING,
		Version: 1, BodyHash: 1 << 63, Stream: true, Path: "/v1/chat/completions", Answer: make([]byte, answer),
	}
}

// BenchmarkRecordMemory reports the heap bytes of a record at its owner and of a copy, running
// or finished with an answer of a given size, and a record's encoded size.
func BenchmarkRecordMemory(b *testing.B) {
	now := time.Unix(1000, 0)
	for _, answer := range []int{0, 1300} {
		b.Run(fmt.Sprintf("own/answer=%d", answer), func(b *testing.B) {
			perRecord(b, answer, func(s *Store, rec *pb.InflightRecord) {
				_, _ = s.Begin(now, rec, 1)
				s.MarkSending(rec.GetRequestId(), Host{Name: "entry-00003", Incarnation: 1})
				s.MarkAcked(rec.GetRequestId(), "entry-00003", 1, 1)
			})
		})
		b.Run(fmt.Sprintf("copy/answer=%d", answer), func(b *testing.B) {
			perRecord(b, answer, func(s *Store, rec *pb.InflightRecord) { _ = s.PutCopy(now, rec, rec.GetHolder()) })
		})
	}
}

func perRecord(b *testing.B, answer int, add func(*Store, *pb.InflightRecord)) {
	const records = 20_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := New(Config{Self: self, MaxBytes: 1 << 30})
		for i := range records {
			add(s, benchRecord(i, answer))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(s.Len()), "heap-B/record")
		b.ReportMetric(float64(s.Bytes())/float64(s.Len()), "estimated-B/record")
		b.ReportMetric(float64(proto.Size(benchRecord(1, answer))), "wire-B/record")
	}
}
