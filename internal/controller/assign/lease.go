package assign

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// remoteLease is a lease on a server that another host has assigned.
type remoteLease struct {
	a             *Assigner
	owner         owners.Host
	attempt       uint64
	choice        balance.Choice
	firstReported bool
	load          *pb.ServerLoad
	cooldown      time.Duration
	wrongInstance bool
	plain         bool
	output        uint64
}

var _ relay.Lease = (*remoteLease)(nil)

// Choice implements relay.Lease.
func (l *remoteLease) Choice() balance.Choice { return l.choice }

// Version implements relay.Lease.
func (l *remoteLease) Version() (version string, known bool) {
	return l.a.cfg.Local.Version(l.choice.Instance)
}

// FirstByte implements relay.Lease; only the first call counts.
func (l *remoteLease) FirstByte() {
	if l.firstReported {
		return
	}
	l.firstReported = true
	l.report(&pb.RunReport{First: true, Load: l.load})
}

// Report implements relay.Lease. The load is sent with the next report to the owner.
func (l *remoteLease) Report(load balance.Load) {
	l.load = &pb.ServerLoad{
		Slowdown: load.Slowdown, Counted: load.Counted, Running: uint32(load.Running), Waiting: uint32(load.Waiting), Slots: uint32(load.Slots),
		Failed: load.Failed,
	}
	if l.plain {
		l.a.cfg.Local.ReportLoad(l.choice.Instance.Incarnation(), load)
	}
}

// CoolDown implements relay.Lease.
func (l *remoteLease) CoolDown(d time.Duration, requestID string) {
	l.cooldown = d
	l.a.cfg.Local.CoolDown(l.choice.Instance.Incarnation(), d, requestID)
}

// Leaving implements relay.Lease.
func (l *remoteLease) Leaving() { l.a.cfg.Local.Drain(l.choice.Instance.Incarnation()) }

// CooldownUnreadable implements relay.Lease.
func (l *remoteLease) CooldownUnreadable(requestID string) {
	l.a.cfg.Local.CooldownUnreadable(l.choice.Instance.Incarnation(), requestID)
}

// WrongInstance implements relay.Lease.
func (l *remoteLease) WrongInstance() {
	l.wrongInstance = true
	_ = l.a.cfg.Local.End(l.choice.Instance.Incarnation())
}

// Output implements relay.Lease. The size is sent with the end to the owner.
func (l *remoteLease) Output(tokens uint64) {
	if l.a.cfg.Queue { // else nothing counts it
		l.output = tokens
	}
}

// Done implements relay.Lease.
func (l *remoteLease) Done(r balance.Result) {
	l.report(&pb.RunReport{
		Wrong: l.wrongInstance, Load: l.load, End: endOf(r), CooldownMs: l.cooldown.Milliseconds(), OutputTokens: l.output,
	})
}

// MemoryFull implements relay.Lease. It is known once the owner has answered the report of the end.
func (l *remoteLease) MemoryFull() bool {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	return l.a.full.contains(l.attempt)
}

func (l *remoteLease) report(r *pb.RunReport) {
	r.Attempt = l.attempt
	a := l.a
	a.mu.Lock()
	a.reports.Add(l.owner.Receiver(), r, time.Now().Add(reportLifetime))
	a.mu.Unlock()
	select {
	case a.reportDue <- struct{}{}:
	default: // Run has been woken already
	}
}

// results maps the ends in reports to results.
var results = map[pb.RunEnd]balance.Result{
	pb.RunEnd_RUN_END_SERVED: balance.Served, pb.RunEnd_RUN_END_SHED: balance.Shed,
	pb.RunEnd_RUN_END_UNREACHABLE: balance.Unreachable, pb.RunEnd_RUN_END_BROKEN: balance.Broken,
	pb.RunEnd_RUN_END_ABANDONED: balance.Abandoned,
}

func endOf(r balance.Result) pb.RunEnd {
	for end, result := range results {
		if result == r {
			return end
		}
	}
	return pb.RunEnd_RUN_END_ABANDONED
}
