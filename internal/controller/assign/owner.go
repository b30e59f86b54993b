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

// Key returns the key by which hosts are ranked as owners of a shard.
func Key(service string, s balance.Shard) string {
	return fmt.Sprintf("servers/%s/%d/%d", service, s.Index, s.Of)
}

// attemptKey identifies an attempt of another host.
type attemptKey struct {
	incarnation string
	attempt     uint64
}

// assignment is a server assigned to another host's attempt.
type assignment struct {
	lease relay.Lease
	until time.Time
	// loaded is set once the load that the server reported with the attempt's answer has been recorded.
	loaded bool
}

// HandleAssign assigns a server to another host's attempt. The other host considers this one
// the owner of the shard.
func (a *Assigner) HandleAssign(ctx context.Context, req *pb.AssignRequest) *pb.AssignReply {
	w := &balance.Work{
		Service: req.GetService(), Engine: req.GetEngine(), CacheTokens: req.GetCacheTokens(), PromptTokens: req.GetPromptTokens(),
		Objective: time.Duration(req.GetObjectiveMs()) * time.Millisecond, Exclude: decodeIncarnations(req.GetExclude()),
		Prompt: decodeParts(req.GetPrompt()), Regions: req.GetRegions(), Versions: req.GetVersions(),
		Shard: balance.Shard{Index: req.GetShard(), Of: req.GetShards()}, Lifetime: time.Duration(req.GetLifetimeMs()) * time.Millisecond,
		Account: req.GetAccount(), Weight: req.GetWeight(), Rank: int(req.GetRank()), OutputTokens: req.GetOutputTokens(), OutputCap: req.GetOutputCap(),
		MaxWait: boundedMs(req.GetWaitMs()),
	}
	if !w.Engine {
		w.Remaining = max(w.Lifetime-lifetimeMargin, 0)
	}
	key := attemptKey{req.GetRun(), req.GetAttempt()}
	if hold := boundedMs(req.GetHoldMs()); a.cfg.Queue && hold > 0 {
		a.checkHints(key.incarnation, w)
		return a.handleWaiting(ctx, key, w, hold)
	}
	w.IgnoreRoom = true // a host of an earlier version, or one whose requests do not wait
	l, err := a.cfg.Local.Acquire(ctx, w)
	if err != nil {
		return &pb.AssignReply{Error: wire.EncodeError(err)}
	}
	a.mu.Lock()
	a.assigned[key] = assignment{lease: l, until: time.Now().Add(w.Lifetime)}
	a.mu.Unlock()
	return assignReply(l.Choice())
}

// boundedMs returns a time in milliseconds from another host. One beyond maxRequestWait stays beyond it.
func boundedMs(ms int64) time.Duration {
	return time.Duration(min(max(ms, -1), maxRequestWait.Milliseconds()+1)) * time.Millisecond
}

// assignReply returns the answer with a choice.
func assignReply(c balance.Choice) *pb.AssignReply {
	return &pb.AssignReply{
		Server: c.Instance.ID, Incarnation: c.Instance.Started, Address: c.Instance.Address, WaitUs: c.Wait.Microseconds(), Cached: c.Cached,
		HomeWaitUs: c.PreferredWait.Microseconds(), Running: int64(c.Running), Version: c.Instance.Version,
		WaitedUs: c.Waited.Microseconds(), Ahead: uint32(max(c.Ahead, 0)),
		MemoryPermille: c.MemoryPermille,
	}
}

// HandleReportRuns applies another host's reports about its attempts.
func (a *Assigner) HandleReportRuns(req *pb.ReportRunsRequest) *pb.ReportRunsReply {
	self := a.cfg.Self()
	if req.GetOwner().GetHost() != self.GetHost() || req.GetOwner().GetIncarnation() != self.GetIncarnation() {
		return &pb.ReportRunsReply{} // an earlier incarnation of this host assigned them
	}
	reply := &pb.ReportRunsReply{}
	for _, r := range req.GetReports() {
		if a.applyReport(attemptKey{req.GetRun(), r.GetAttempt()}, r) {
			reply.MemoryFull = append(reply.MemoryFull, r.GetAttempt())
		}
	}
	return reply
}

// applyReport reports whether the attempt has ended at an engine whose memory was over its capacity.
func (a *Assigner) applyReport(k attemptKey, r *pb.RunReport) (full bool) {
	a.mu.Lock()
	as, ok := a.assigned[k]
	switch {
	case r.GetEnd() != pb.RunEnd_RUN_END_NONE:
		delete(a.assigned, k)
	case ok && r.GetLoad() != nil:
		a.assigned[k] = assignment{lease: as.lease, until: as.until, loaded: true}
	}
	a.mu.Unlock()
	if !ok {
		if r.GetEnd() != pb.RunEnd_RUN_END_NONE {
			a.dropWaiting(k, "its caller has left")
		}
		return false
	}
	// The report of the end repeats the load, which may be old by then.
	if l := r.GetLoad(); l != nil && !(as.loaded && a.cfg.Queue) {
		as.lease.Report(balance.Load{
			Slowdown: l.GetSlowdown(), Counted: l.GetCounted(), Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), Slots: int(l.GetSlots()),
			Failed: l.GetFailed(),
		})
	}
	if r.GetFirst() {
		as.lease.FirstByte()
	}
	if cooldown := r.GetCooldownMs(); cooldown > 0 {
		a.cfg.Local.CoolDownForPeer(as.lease.Choice().Instance.Incarnation(), time.Duration(min(cooldown, retryafter.Longest.Milliseconds()))*time.Millisecond)
	}
	if r.GetWrong() {
		as.lease.WrongInstance()
	}
	result, ended := results[r.GetEnd()]
	if !ended {
		return false
	}
	as.lease.Output(r.GetOutputTokens())
	as.lease.Done(result)
	return as.lease.MemoryFull()
}

// expire ends assignments whose end was not reported in time.
func (a *Assigner) expire(now time.Time) {
	a.mu.Lock()
	var expired []relay.Lease
	for k, as := range a.assigned {
		if now.After(as.until) {
			expired = append(expired, as.lease)
			delete(a.assigned, k)
		}
	}
	a.mu.Unlock()
	for _, l := range expired {
		l.Done(balance.Abandoned)
	}
}
