package ratelimits

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
)

// BenchmarkHandleTake measures the cost of a call for permits at the owner, and its size.
func BenchmarkHandleTake(b *testing.B) {
	l := newLimiter(self(), nil)
	inc := instance.Incarnation{ID: "i-160861d91e", Started: 1_796_293_518_620}
	l.Observe(inc, ratelimit.Observation{Limit: 1, At: time.Now()}, "r")
	req := &pb.TakePermitsRequest{Host: "frontend-scl-quilicura-1", Limit: encode(time.Now(), inc, l.table.Observed(inc)), Want: 1}
	for b.Loop() {
		l.HandleTake(req)
	}
	b.ReportMetric(float64(proto.Size(req)), "B/request")
	b.ReportMetric(float64(proto.Size(l.HandleTake(req))), "B/reply")
	b.ReportMetric(float64(proto.Size(req.GetLimit())), "B/limit")
}

// BenchmarkCheck measures the cost of one server in a choice while limits of other servers are known.
func BenchmarkCheck(b *testing.B) {
	l := newLimiter(self(), nil)
	for i := range 100 {
		l.Observe(instance.Incarnation{ID: fmt.Sprint("i-", i), Started: 1}, ratelimit.Observation{Limit: 1, At: time.Now()}, "r")
	}
	now, inc := time.Now(), instance.Incarnation{ID: "i-160861d91e", Started: 1}
	for b.Loop() {
		l.Check(now, inc)
	}
}
