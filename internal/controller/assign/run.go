package assign

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/outbox"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// expireEvery is how often assignments whose end was not reported are removed.
const expireEvery = time.Second

// Run sends reports and shares cache contents until ctx ends.
func (a *Assigner) Run(ctx context.Context) {
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	share := time.NewTicker(shareEvery)
	defer share.Stop()
	defer a.sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-expire.C:
			a.expire(now)
			a.send(ctx)
		case <-share.C:
			a.resetUnacknowledged()
			a.share(ctx)
		case <-a.reportDue:
			time.Sleep(reportDelay)
			a.send(ctx)
		}
	}
}

func (a *Assigner) send(ctx context.Context) {
	for _, m := range a.dueReports() {
		a.sends.Go(func() {
			defer panics.Log(a.cfg.Log, "sending reports of attempts")
			a.sendOne(ctx, m)
		})
	}
}

func (a *Assigner) dueReports() []outbox.Message[*pb.RunReport] {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reports.Due(time.Now())
}

func (a *Assigner) sendOne(ctx context.Context, m outbox.Message[*pb.RunReport]) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := a.cfg.Client(m.To.Address).ReportRuns(ctx, &pb.ReportRunsRequest{
		Owner: &pb.Holder{Host: m.To.Host, Incarnation: m.To.Incarnation}, Run: a.cfg.Incarnation, Reports: m.Items,
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.reports.MarkAcknowledged(m.To)
		a.full.add(reply.GetMemoryFull())
		return
	}
	a.reports.MarkFailed(time.Now(), m.To)
	a.cfg.Log.Debug().Str("event", "reports-unanswered").Str("owner", m.To.Host).Int("reports", len(m.Items)).Err(err).Send()
}
