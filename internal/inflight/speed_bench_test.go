package inflight

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

func copiedRecord(i int, holder *pb.Holder) *pb.InflightRecord {
	return &pb.InflightRecord{
		Identity: "account-name/8d1f6a9c-0000-4000-8000-" + strconv.Itoa(i), RequestId: "01J9ZK3M4N5P6Q7R8S9T-" + strconv.Itoa(i),
		Holder: holder, Budget: "budget-name", Reserved: 2048, Team: "team-name", Account: "account-name",
		Server: "10.1.2.3:8000", EngineRequestId: "cmpl-8d1f6a9c-" + strconv.Itoa(i), Idempotent: true,
		Version: 1, BodyHash: 0x1234567812345678, Stream: true, Path: "/v1/chat/completions",
		State: pb.InflightState_INFLIGHT_STATE_RUNNING,
	}
}

// BenchmarkCopiedRecord reports the bytes of one copied record on the wire and in memory.
func BenchmarkCopiedRecord(b *testing.B) {
	const n = 20_000
	holder := &pb.Holder{Host: "host-1", Incarnation: 12}
	for b.Loop() {
		var before, after runtime.MemStats
		s := New(Config{Self: self, Zone: "x", MaxRecords: n + 1})
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range n {
			if err := s.PutCopy(time.Unix(1, 0), copiedRecord(i, holder), holder); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "heap-B/record")
		b.ReportMetric(float64(s.Bytes())/n, "estimated-B/record")
		b.ReportMetric(float64(proto.Size(copiedRecord(1, holder))), "wire-B/record")
		runtime.KeepAlive(s)
	}
}

// BenchmarkLifeOfRecord is begin, one copy, done, settled and its copy's updates at the owner.
func BenchmarkLifeOfRecord(b *testing.B) {
	for _, hosts := range []int{7, 1400} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			s := New(Config{Self: self, Zone: "z0"})
			list := []Host{{Name: "self", Zone: "z0", Incarnation: 1}}
			for i := range hosts - 1 {
				list = append(list, Host{Name: fmt.Sprintf("host-%d", i), Zone: fmt.Sprintf("z%d", i%22), Incarnation: 1})
			}
			s.SetHosts(list)
			b.ReportAllocs()
			now := time.Unix(1, 0)
			for i := 0; b.Loop(); i++ {
				now = now.Add(20 * time.Millisecond)
				life(b, s, now, copiedRecord(i, self))
				if i%50 == 0 { // once a second
					s.Tick(now)
				}
			}
		})
	}
}

func life(b *testing.B, s *Store, now time.Time, rec *pb.InflightRecord) {
	if _, err := s.Begin(now, rec, 1); err != nil {
		b.Fatal(err)
	}
	s.Begun(rec.RequestId)
	copyOut(s, now, rec.RequestId)
	s.Lookup(rec.Identity, 1)
	rec.State, rec.PromptTokens, rec.OutputTokens = pb.InflightState_INFLIGHT_STATE_DONE, 500, 300
	s.Update(now, rec)
	copyOut(s, now, rec.RequestId)
	s.MarkSettled(now, rec.RequestId)
	copyOut(s, now, rec.RequestId)
	s.Plan(now, 512)
}

func copyOut(s *Store, now time.Time, request string) {
	rec, _ := s.Record(now, request)
	for _, h := range s.Targets(now, request, nil) {
		s.Sending(request, h)
		s.Acked(request, h.Name, h.Incarnation, rec.GetVersion())
	}
}
