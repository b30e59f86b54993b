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
	// askTimeout bounds a question for permits, which takes some milliseconds. A request that
	// waits for it has other servers to go to.
	askTimeout = 60 * time.Millisecond
	// unansweredPause is how long a host does without permits whose question got no answer.
	unansweredPause = 250 * time.Millisecond
)

// Ask asks for permits for a server. Those who ask at the same time wait for the same answer.
func (l *Limiter) Ask(ctx context.Context, run instance.Incarnation) {
	answered, first := l.question(run)
	if !first {
		select {
		case <-answered:
		case <-ctx.Done():
		}
		return
	}
	defer l.answer(run, answered)
	l.ask(context.WithoutCancel(ctx), run)
}

// question is the one about a server under way; first: the caller has to ask it.
func (l *Limiter) question(run instance.Incarnation) (answered chan struct{}, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered = l.asking[run]; answered != nil {
		return answered, false
	}
	answered = make(chan struct{})
	l.asking[run] = answered
	return answered, true
}

func (l *Limiter) answer(run instance.Incarnation, answered chan struct{}) {
	l.mu.Lock()
	delete(l.asking, run)
	l.mu.Unlock()
	close(answered)
}

func (l *Limiter) ask(ctx context.Context, run instance.Incarnation) {
	asked := time.Now()
	req := l.request(asked, run)
	reply, err := l.take(ctx, run, req)
	if err != nil {
		l.metrics.asks.Add("unanswered", 1)
		l.cfg.Log.Debug().Str("event", "permits-unanswered").Str("server", run.ID).Err(err).Send()
		l.refused(run, asked.Add(unansweredPause))
		return
	}
	l.Merge([]*pb.ServerLimit{reply.GetLimit()})
	if reply.GetGranted() == 0 {
		l.metrics.asks.Add("refused", 1)
		l.refused(run, time.Now().Add(time.Duration(reply.GetAfterUs())*time.Microsecond))
		return
	}
	l.metrics.asks.Add("granted", 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Granted(asked, run, int(reply.GetGranted()))
}

func (l *Limiter) refused(run instance.Incarnation, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Refused(until, run)
}

func (l *Limiter) request(now time.Time, run instance.Incarnation) *pb.TakePermitsRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &pb.TakePermitsRequest{
		Host: l.cfg.Host, Limit: encode(now, run, l.table.Observed(run)), Want: uint32(l.table.Want(now, run)),
	}
}

// take asks the owner, which may be this host.
func (l *Limiter) take(ctx context.Context, run instance.Incarnation, req *pb.TakePermitsRequest) (*pb.TakePermitsReply, error) {
	hosts := l.cfg.Owners.Of(Key(run), 1)
	if len(hosts) == 0 || hosts[0].Self() {
		return l.HandleTake(req), nil
	}
	return l.call(ctx, hosts[0], req)
}

func (l *Limiter) call(ctx context.Context, h owners.Host, req *pb.TakePermitsRequest) (*pb.TakePermitsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := l.cfg.Client(h.Address).TakePermits(ctx, req)
	if err != nil {
		l.cfg.Owners.Unanswered(h.Name)
		return nil, err
	}
	l.cfg.Owners.Answered(h.Name)
	return reply, nil
}

// HandleTake issues permits for a server whose limit this host owns, or stands in for the owner of.
func (l *Limiter) HandleTake(req *pb.TakePermitsRequest) *pb.TakePermitsReply {
	l.Merge([]*pb.ServerLimit{req.GetLimit()})
	run := runOf(req.GetLimit())
	rank, owns := l.cfg.Owners.Rank(Key(run))
	part := 0.0
	if owns {
		part = ratelimit.OwnerShare(rank, l.cfg.Owners.Reach())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	w := l.table.Observed(run)
	reply := &pb.TakePermitsReply{Limit: encode(now, run, w)}
	if part == 0 || !w.Limited() {
		reply.AfterUs = unansweredPause.Microseconds()
		return reply
	}
	granted, after := l.issuer.Issue(now, ratelimit.PermitRequest{
		Incarnation: run, Host: req.GetHost(), Want: int(req.GetWant()), Limit: w.Limit, Share: part,
	})
	l.metrics.issued.Add(int64(granted))
	reply.Granted, reply.AfterUs = uint32(granted), after.Microseconds()
	return reply
}
