package assign

import (
	"context"
	"fmt"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/retryafter"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// Key is a shard's name among the keys that hosts own.
func Key(service string, s balance.Shard) string {
	return fmt.Sprintf("servers/%s/%d/%d", service, s.Index, s.Of)
}

// attemptKey names an attempt of another host.
type attemptKey struct {
	run     string
	attempt uint64
}

// assignment is a place that was given to another host's attempt.
type assignment struct {
	lease relay.Lease
	until time.Time
}

// HandleAssign finds a place for another host's attempt at a server of a shard that this
// host owns in the other one's eyes.
func (a *Assigner) HandleAssign(ctx context.Context, req *pb.AssignRequest) *pb.AssignReply {
	w := &balance.Work{
		Service: req.GetService(), Engine: req.GetEngine(), CacheTokens: req.GetCacheTokens(), PromptTokens: req.GetPromptTokens(),
		Objective: time.Duration(req.GetObjectiveMs()) * time.Millisecond, Exclude: decodeRuns(req.GetExclude()),
		Prompt: decodeParts(req.GetPrompt()),
		Shard:  balance.Shard{Index: req.GetShard(), Of: req.GetShards()},
	}
	l, err := a.cfg.Local.Acquire(ctx, w)
	if err != nil {
		return &pb.AssignReply{Error: wire.EncodeError(err)}
	}
	lifetime := time.Duration(req.GetLifetimeMs()) * time.Millisecond
	a.mu.Lock()
	a.assigned[attemptKey{req.GetRun(), req.GetAttempt()}] = assignment{lease: l, until: time.Now().Add(lifetime)}
	a.mu.Unlock()
	c := l.Choice()
	return &pb.AssignReply{
		Server: c.Instance.ID, Incarnation: c.Instance.Started, Address: c.Instance.Address, WaitUs: c.Wait.Microseconds(), Cached: c.Cached,
		HomeWaitUs: c.HomeWait.Microseconds(), Running: int64(c.Running),
	}
}

// HandleReportRuns takes how another host's attempts went.
func (a *Assigner) HandleReportRuns(req *pb.ReportRunsRequest) *pb.ReportRunsReply {
	self := a.cfg.Self()
	if req.GetOwner().GetHost() != self.GetHost() || req.GetOwner().GetIncarnation() != self.GetIncarnation() {
		return &pb.ReportRunsReply{} // a former run of this host assigned them
	}
	for _, r := range req.GetReports() {
		a.reported(attemptKey{req.GetRun(), r.GetAttempt()}, r)
	}
	return &pb.ReportRunsReply{}
}

func (a *Assigner) reported(k attemptKey, r *pb.RunReport) {
	a.mu.Lock()
	as, ok := a.assigned[k]
	if r.GetEnd() != pb.RunEnd_RUN_END_NONE {
		delete(a.assigned, k)
	}
	a.mu.Unlock()
	if !ok {
		return
	}
	if l := r.GetLoad(); l != nil {
		as.lease.Report(balance.Load{Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), Slots: int(l.GetSlots())})
	}
	if r.GetFirst() {
		as.lease.FirstByte()
	}
	if cooldown := r.GetCooldownMs(); cooldown > 0 {
		a.cfg.Local.CoolDownElsewhere(as.lease.Choice().Instance.Incarnation(), time.Duration(min(cooldown, retryafter.Longest.Milliseconds()))*time.Millisecond)
	}
	if r.GetWrong() {
		as.lease.WrongInstance()
	}
	if result, ended := results[r.GetEnd()]; ended {
		as.lease.Done(result)
	}
}

// expire ends assignments whose hosts have not reported their end in time.
func (a *Assigner) expire(now time.Time) {
	a.mu.Lock()
	var over []relay.Lease
	for k, as := range a.assigned {
		if now.After(as.until) {
			over = append(over, as.lease)
			delete(a.assigned, k)
		}
	}
	a.mu.Unlock()
	for _, l := range over {
		l.Done(balance.Abandoned)
	}
}
