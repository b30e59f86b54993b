package inflight

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// BenchmarkRecordLifecycle measures a record's begin, end and settlement at its owner, with
// the updates of one copy.
func BenchmarkRecordLifecycle(b *testing.B) {
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
				recordLifecycle(b, s, now, benchRecord(i, 0))
				if i%50 == 0 { // once a second
					s.Tick(now)
				}
			}
		})
	}
}

func recordLifecycle(b *testing.B, s *Store, now time.Time, rec *pb.InflightRecord) {
	if _, err := s.Begin(now, rec, 1); err != nil {
		b.Fatal(err)
	}
	s.ConfirmBegin(rec.RequestId)
	sendCopies(s, now, rec.RequestId)
	s.Lookup(rec.Identity, 1)
	rec.State, rec.PromptTokens, rec.OutputTokens = pb.InflightState_INFLIGHT_STATE_DONE, 500, 300
	s.Update(now, rec)
	sendCopies(s, now, rec.RequestId)
	s.MarkSettled(now, rec.RequestId)
	sendCopies(s, now, rec.RequestId)
	s.Plan(now, 512)
}

func sendCopies(s *Store, now time.Time, request string) {
	rec, _ := s.Record(now, request)
	for _, h := range s.Targets(now, request, nil) {
		s.MarkSending(request, h)
		s.MarkAcked(request, h.Name, h.Incarnation, rec.GetVersion())
	}
}
