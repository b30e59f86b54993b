package budgets

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/grant/book"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// localID returns the ID of another host's request among this host's reservations. It starts with the
// other host's incarnation, unlike the IDs of this host's own requests.
func localID(k book.Key) string { return k.Incarnation + "/" + k.Request }

// HandleReserve reserves tokens for a request of another host.
func (r *Reserver) HandleReserve(ctx context.Context, req *pb.ReserveTokensRequest) *pb.ReserveTokensReply {
	return encodeRefusal(r.reserveFor(ctx, req))
}

func (r *Reserver) reserveFor(ctx context.Context, req *pb.ReserveTokensRequest) error {
	local := r.cfg.Local()
	if local == nil {
		return errkind.New(errkind.BudgetUnreachable, "host %s is not registered with the control group yet", r.cfg.Self().GetHost()).After(time.Second)
	}
	k := book.Key{Incarnation: req.GetRun(), Request: req.GetRequest()}
	if err := local.Reserve(ctx, req.GetBudget(), localID(k), req.GetTokens()); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	lifetime := time.Duration(req.GetLifetimeMs()) * time.Millisecond
	r.signalWork()
	if r.book.Add(time.Now(), k, req.GetTokens(), lifetime) {
		return nil
	}
	local.Release(localID(k))
	return errkind.New(errkind.CallerGone, "request %s has ended", req.GetRequest())
}

// HandleSpend ends reservations of another host's requests. Reservations at an earlier incarnation of
// this host are ignored: the control group has counted their tokens as spent.
func (r *Reserver) HandleSpend(req *pb.SpendTokensRequest) *pb.SpendTokensReply {
	self, local := r.cfg.Self(), r.cfg.Local()
	if local == nil || req.GetOwner().GetHost() != self.GetHost() || req.GetOwner().GetIncarnation() != self.GetIncarnation() {
		return &pb.SpendTokensReply{}
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range req.GetSpent() {
		k := book.Key{Incarnation: req.GetRun(), Request: s.GetRequest()}
		if r.book.End(now, k) {
			local.Spend(localID(k), s.GetTokens())
		}
	}
	return &pb.SpendTokensReply{}
}

// expire bills the full amount of the reservations whose hosts have not ended them in time.
func (r *Reserver) expire(expired []book.Expired) {
	for _, e := range expired {
		r.cfg.Log.Warn().Str("event", "reservation-expired").Str("run", e.Incarnation).Str("request", e.Request).
			Uint64("billed", e.Tokens).Send()
		r.cfg.Local().Spend(localID(e.Key), e.Tokens)
	}
}
