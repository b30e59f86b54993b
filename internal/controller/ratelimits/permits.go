package ratelimits

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
)

const (
	// requestTimeout bounds a call for permits, which takes a few milliseconds. It is short
	// because a request that waits for the call can go to other servers.
	requestTimeout = 60 * time.Millisecond
	// unansweredBackoff is how long a host requests no permits after a call that was not answered.
	unansweredBackoff = 250 * time.Millisecond
)

// RequestPermits requests permits for a server from the owner of its limit. Concurrent callers share
// one call.
func (l *Limiter) RequestPermits(ctx context.Context, inc instance.Incarnation) {
	done, first := l.startRequest(inc)
	if !first {
		select {
		case <-done:
		case <-ctx.Done():
		}
		return
	}
	defer l.finishRequest(inc, done)
	l.fetchPermits(context.WithoutCancel(ctx), inc)
}

// startRequest returns the channel of the pending call about a server. If first is true, there was none
// and the caller has to make the call.
func (l *Limiter) startRequest(inc instance.Incarnation) (done chan struct{}, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if done = l.pending[inc]; done != nil {
		return done, false
	}
	done = make(chan struct{})
	l.pending[inc] = done
	return done, true
}

func (l *Limiter) finishRequest(inc instance.Incarnation, done chan struct{}) {
	l.mu.Lock()
	delete(l.pending, inc)
	l.mu.Unlock()
	close(done)
}

func (l *Limiter) fetchPermits(ctx context.Context, inc instance.Incarnation) {
	sent := time.Now()
	req := l.request(sent, inc)
	reply, err := l.takePermits(ctx, inc, req)
	if err != nil {
		l.metrics.asks.Add("unanswered", 1)
		l.cfg.Log.Debug().Str("event", "permits-unanswered").Str("server", inc.ID).Err(err).Send()
		l.markRefused(inc, sent.Add(unansweredBackoff))
		return
	}
	l.Merge([]*pb.ServerLimit{reply.GetLimit()})
	if reply.GetGranted() == 0 {
		l.metrics.asks.Add("refused", 1)
		l.markRefused(inc, time.Now().Add(time.Duration(reply.GetAfterUs())*time.Microsecond))
		return
	}
	l.metrics.asks.Add("granted", 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Granted(sent, inc, int(reply.GetGranted()))
}

func (l *Limiter) markRefused(inc instance.Incarnation, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Refused(until, inc)
}

func (l *Limiter) request(now time.Time, inc instance.Incarnation) *pb.TakePermitsRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &pb.TakePermitsRequest{
		Host: l.cfg.Host, Limit: addWarmup(encode(now, inc, l.table.Observed(inc)), now, l.table.Warmup(now, inc)), Want: uint32(l.table.Want(now, inc)),
	}
}

// takePermits calls the owner, which may be this host.
func (l *Limiter) takePermits(ctx context.Context, inc instance.Incarnation, req *pb.TakePermitsRequest) (*pb.TakePermitsReply, error) {
	hosts := l.cfg.Owners.FirstRanked(Key(inc), 1)
	if len(hosts) == 0 || hosts[0].Self() {
		return l.HandleTake(req), nil
	}
	return l.call(ctx, hosts[0], req)
}

func (l *Limiter) call(ctx context.Context, h owners.Host, req *pb.TakePermitsRequest) (*pb.TakePermitsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := l.cfg.Client(h.Address).TakePermits(ctx, req)
	if err != nil {
		l.cfg.Owners.MarkUnanswered(h.Name)
		return nil, err
	}
	l.cfg.Owners.MarkAnswered(h.Name)
	return reply, nil
}

// settledShare returns the least share of a server's limit that this host might have issued at any time
// while hosts may still disagree on the owner; 0 if it does not know.
func (l *Limiter) settledShare(inc instance.Incarnation) float64 {
	least := 1.0
	complete := l.cfg.Owners.EachRecent(Key(inc), ratelimit.OwnerChangeTime, func(rank int, alive float64) {
		least = min(least, ratelimit.OwnerShare(rank, alive))
	})
	if !complete {
		return 0
	}
	return least
}

// HandleTake issues permits for a server if this host is the owner or the backup owner of its limit.
func (l *Limiter) HandleTake(req *pb.TakePermitsRequest) *pb.TakePermitsReply {
	l.Merge([]*pb.ServerLimit{req.GetLimit()})
	inc := incarnationOf(req.GetLimit())
	rank, owns := l.cfg.Owners.Rank(Key(inc))
	part := 0.0
	if owns {
		part = ratelimit.OwnerShare(rank, l.cfg.Owners.AliveFraction())
	}
	settled := l.settledShare(inc)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	reply := &pb.TakePermitsReply{Limit: encode(now, inc, l.table.Observed(inc))}
	limit, limited := l.table.Limit(now, inc)
	if part == 0 || !limited {
		reply.AfterUs = unansweredBackoff.Microseconds()
		return reply
	}
	granted, after := l.issuer.Issue(now, ratelimit.PermitRequest{
		Incarnation: inc, Host: req.GetHost(), Want: int(req.GetWant()), Limit: limit, Share: part, SettledShare: settled,
	})
	l.metrics.issued.Add(int64(granted))
	reply.Granted, reply.AfterUs = uint32(granted), after.Microseconds()
	return reply
}
