package grant

import (
	"math/rand"
	"strconv"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// BenchmarkReserveSettle measures one request on a host that holds enough tokens: reserve,
// settle, and its part of a batch of 256.
func BenchmarkReserveSettle(b *testing.B) {
	now := time.Unix(1, 0)
	h := New(&pb.Holder{Host: "a", Incarnation: 1}, Config{}, rand.New(rand.NewSource(1)))
	h.Reserve(now, "first", "x", 1, testPolicy)
	h.AcquireAnswered(now, "x", 1, &pb.AcquireResult{Amount: 1 << 60})
	ids := make([]string, 1024)
	for i := range ids {
		ids[i] = "request-" + strconv.Itoa(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := ids[i%len(ids)]
		h.Reserve(now, id, "x", 1000, testPolicy)
		out, _ := h.Settle(now, &pb.Bill{Identity: id, RequestId: id, Tokens: 300})
		if out.Batch != nil {
			h.SettleAnswered(now, out.Batch.GetSeq(), &pb.SettleResult{})
		}
	}
}

// BenchmarkTickIdleBudgets measures one tick of a host with 1000 idle budgets.
func BenchmarkTickIdleBudgets(b *testing.B) {
	now := time.Unix(1, 0)
	h := New(&pb.Holder{Host: "a", Incarnation: 1}, Config{}, rand.New(rand.NewSource(1)))
	for i := range 1000 {
		name := "budget-" + strconv.Itoa(i)
		h.Reserve(now, name, name, 1, PolicyFrom(nil))
		h.AcquireAnswered(now, name, 1, &pb.AcquireResult{Amount: 1 << 40})
		h.Release(now, name)
	}
	b.ReportAllocs()
	for b.Loop() {
		h.Tick(now)
	}
}
