package budgets

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/grant/book"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// localID names another host's request among this host's reservations. Requests of this
// host have ids without a run.
func localID(k book.Key) string { return k.Incarnation + "/" + k.Request }

// HandleReserve sets tokens aside for a request of another host.
func (d *Desk) HandleReserve(ctx context.Context, req *pb.ReserveTokensRequest) *pb.ReserveTokensReply {
	return encodeRefusal(d.reserveFor(ctx, req))
}

func (d *Desk) reserveFor(ctx context.Context, req *pb.ReserveTokensRequest) error {
	local := d.cfg.Local()
	if local == nil {
		return errkind.New(errkind.BudgetUnreachable, "host %s is not registered with the control group yet", d.cfg.Self().GetHost()).After(time.Second)
	}
	k := book.Key{Incarnation: req.GetRun(), Request: req.GetRequest()}
	if err := local.Reserve(ctx, req.GetBudget(), localID(k), req.GetTokens()); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	lifetime := time.Duration(req.GetLifetimeMs()) * time.Millisecond
	if d.book.Add(time.Now(), k, req.GetTokens(), lifetime) {
		return nil
	}
	local.Release(localID(k))
	return errkind.New(errkind.CallerGone, "request %s has ended", req.GetRequest())
}

// HandleSpend ends reservations of another host's requests. Those of a former run of this
// host are gone: the control group has counted them as spent.
func (d *Desk) HandleSpend(req *pb.SpendTokensRequest) *pb.SpendTokensReply {
	self, local := d.cfg.Self(), d.cfg.Local()
	if local == nil || req.GetOwner().GetHost() != self.GetHost() || req.GetOwner().GetIncarnation() != self.GetIncarnation() {
		return &pb.SpendTokensReply{}
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range req.GetSpent() {
		k := book.Key{Incarnation: req.GetRun(), Request: s.GetRequest()}
		if d.book.End(now, k) {
			local.Spend(localID(k), s.GetTokens())
		}
	}
	return &pb.SpendTokensReply{}
}

// expire bills the reservations whose hosts have not ended them in time.
func (d *Desk) expire(expired []book.Expired) {
	for _, e := range expired {
		d.cfg.Log.Warn().Str("event", "reservation-expired").Str("run", e.Incarnation).Str("request", e.Request).
			Uint64("billed", e.Tokens).Send()
		d.cfg.Local().Spend(localID(e.Key), e.Tokens)
	}
}
