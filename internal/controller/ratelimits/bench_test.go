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

// BenchmarkTake is what a question for permits costs its owner, and its bytes.
func BenchmarkTake(b *testing.B) {
	l := newLimiter(self(), nil)
	run := instance.Incarnation{ID: "i-160861d91e", Started: 1_796_293_518_620}
	l.Heard(run, ratelimit.Observation{Limit: 1, At: time.Now()}, "r")
	req := &pb.TakePermitsRequest{Host: "frontend-scl-quilicura-1", Limit: encode(time.Now(), run, l.table.Observed(run)), Want: 1}
	for b.Loop() {
		l.HandleTake(req)
	}
	b.ReportMetric(float64(proto.Size(req)), "B/request")
	b.ReportMetric(float64(proto.Size(l.HandleTake(req))), "B/reply")
	b.ReportMetric(float64(proto.Size(req.GetLimit())), "B/limit")
}

// BenchmarkCheck is what each server that is compared costs a choice, with limits of others known.
func BenchmarkCheck(b *testing.B) {
	l := newLimiter(self(), nil)
	for i := range 100 {
		l.Heard(instance.Incarnation{ID: fmt.Sprint("i-", i), Started: 1}, ratelimit.Observation{Limit: 1, At: time.Now()}, "r")
	}
	now, run := time.Now(), instance.Incarnation{ID: "i-160861d91e", Started: 1}
	for b.Loop() {
		l.Check(now, run)
	}
}
