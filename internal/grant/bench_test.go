package grant

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/grant/fakeledger"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

func benchBill(i int, budget string) *pb.Bill {
	return &pb.Bill{
		Budget: budget, Identity: fmt.Sprintf("school-%03d/bbs-m1k2j3h4-%024d", i%930, i), Tokens: 1310,
		RequestId: fmt.Sprintf("%032d", i), Team: "ledger-drafts", PromptTokens: 1000, OutputTokens: 310, TimeMs: 1_800_000_000_000,
	}
}

// command wraps msg, an Acquire or a Settle, as it is sent and written to the log.
func command(msg proto.Message) *pb.Command {
	c := &pb.Command{Actor: benchSelf.Host, TimeMs: 1_800_000_000_000}
	switch m := msg.(type) {
	case *pb.Acquire:
		c.Body = &pb.Command_Acquire{Acquire: m}
	case *pb.Settle:
		c.Body = &pb.Command_Settle{Settle: m}
	}
	return c
}

var benchSelf = &pb.Holder{Host: "entry-00001", Incarnation: 100_000}

// BenchmarkCommandSize reports the encoded sizes of the commands that hosts send to the ledger.
func BenchmarkCommandSize(b *testing.B) {
	for b.Loop() {
		a := &pb.Acquire{Holder: benchSelf, Budget: "budget-00001", Seq: 10_000, Need: 2000, Want: 100_000}
		b.ReportMetric(float64(proto.Size(command(a))), "B/acquire")
		s := &pb.Settle{Holder: benchSelf, Seq: 10_000}
		empty := proto.Size(command(s))
		for i := range 100 {
			s.Bills = append(s.Bills, benchBill(i, "budget-00001"))
		}
		b.ReportMetric(float64(empty), "B/batch")
		b.ReportMetric(float64(proto.Size(command(s))-empty)/100, "B/bill")
	}
}

// benchHost is a host under a constant load, in virtual time, whose ledger answers after a delay.
type benchHost struct {
	now       time.Time
	holder    *Holder
	ledger    *fakeledger.Ledger
	scheduled map[time.Time][]func()
	sent      struct{ acquires, batches, bytes int }
}

// benchDelay is the time of a round trip between regions and a commit.
const benchDelay = 150 * time.Millisecond

func (h *benchHost) schedule(d time.Duration, do func()) {
	h.scheduled[h.now.Add(d)] = append(h.scheduled[h.now.Add(d)], do)
}

func (h *benchHost) process(out Output) {
	for _, a := range out.Acquires {
		h.sent.acquires++
		h.sent.bytes += proto.Size(command(a))
		h.schedule(benchDelay, func() {
			h.process(h.holder.AcquireAnswered(h.now, a.GetBudget(), a.GetSeq(), h.ledger.Apply(command(a)).GetAcquire()))
		})
	}
	if s := out.Batch; s != nil {
		h.sent.batches++
		h.sent.bytes += proto.Size(command(s))
		h.schedule(benchDelay, func() {
			next, _ := h.holder.SettleAnswered(h.now, s.GetSeq(), h.ledger.Apply(command(s)).GetSettle())
			h.process(next)
		})
	}
}

func (h *benchHost) step() {
	h.now = h.now.Add(10 * time.Millisecond)
	for _, do := range h.scheduled[h.now] {
		do()
	}
	delete(h.scheduled, h.now)
	h.process(h.holder.Tick(h.now))
}

func (h *benchHost) request(i int, budget string) {
	bill := benchBill(i, budget)
	h.process(h.holder.Reserve(h.now, bill.GetRequestId(), budget, 2024, PolicyFrom(nil)))
	h.schedule(5*time.Second, func() {
		out, _ := h.holder.Settle(h.now, bill)
		h.process(out)
	})
}

// BenchmarkLedgerTraffic reports the commands per second, and their bytes, that one host
// sends to the ledger at a constant rate of requests spread over a number of budgets. A
// budget without funds shows the cost of refusals.
func BenchmarkLedgerTraffic(b *testing.B) {
	for _, load := range []struct{ rate, budgets, funded int }{
		{1, 1, 1 << 50}, {10, 1, 1 << 50}, {41, 1, 1 << 50}, {41, 30, 1 << 50}, {41, 300, 1 << 50}, {41, 1, 0},
	} {
		b.Run(fmt.Sprintf("requests=%d/budgets=%d/funded=%t", load.rate, load.budgets, load.funded > 0), func(b *testing.B) {
			for b.Loop() {
				h := &benchHost{now: time.Unix(1000, 0), ledger: fakeledger.New(), scheduled: map[time.Time][]func(){}}
				h.holder = New(benchSelf, Config{}, rand.New(rand.NewSource(1)))
				for i := range load.budgets {
					h.ledger.Fund(fmt.Sprint("budget-", i), uint64(load.funded))
				}
				requests := 0
				for step := range 120 * 100 {
					for requests*100 < step*load.rate {
						h.request(requests, fmt.Sprint("budget-", requests*7919%load.budgets))
						requests++
					}
					h.step()
				}
				b.ReportMetric(float64(h.sent.acquires)/120, "acquires/s")
				b.ReportMetric(float64(h.sent.batches)/120, "batches/s")
				b.ReportMetric(float64(h.sent.bytes)/120, "B/s")
			}
		})
	}
}

// BenchmarkHolderMemory reports the heap bytes per budget known to a holder.
func BenchmarkHolderMemory(b *testing.B) {
	const budgets = 1000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		h := New(benchSelf, Config{}, rand.New(rand.NewSource(1)))
		for i := range budgets {
			h.Reserve(time.Unix(1000, 0), fmt.Sprint("r", i), fmt.Sprintf("budget-%05d", i), 1, PolicyFrom(nil))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/budgets, "B/budget")
		runtime.KeepAlive(h)
	}
}
