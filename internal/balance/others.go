package balance

import (
	"math"
	"time"
)

const (
	// takeoverTime is how long after this host's start, or after another host assigned requests to a server,
	// that host's requests may still run there.
	takeoverTime = 10 * time.Second
	// startShare determines how many requests a server gets at once before it has reported its load to a host
	// that does not know what else runs there: 1/startShare of its slots, and one more for each answer.
	startShare = 8
	// reportRetention is the time over which a report that differs from this host's own count loses its
	// effect, as requests end.
	reportRetention = 2 * time.Second
	// reportSlack determines the difference between a report and this host's own count that is not taken for
	// such requests, 1/reportSlack of the slots and at least one: both change while the report is on its way.
	reportSlack = 8
)

// others is what this host knows of requests at a server that it did not assign: those of a former owner of
// the shard, or of another host during a network partition.
type others struct {
	// seenAt is when another host was last known to assign requests to the server.
	seenAt time.Time
	// count is how many more requests the server has than this host knows of, by the report of the time
	// reportedAt. It is negative if the ends of requests were not reported, as after the loss of hosts.
	count      int
	reportedAt time.Time
	// answered counts the requests of this host that the server has begun to answer.
	answered int
}

// Plausible reports whether the figures can be true.
func (l Load) Plausible() bool {
	return !l.Counted || l.Slots > 0 && l.Slots <= maxReportedSlots && l.Running >= 0 && l.Waiting >= 0 &&
		l.Running <= maxReportedPerSlot*l.Slots && l.Waiting <= maxReportedPerSlot*l.Slots
}

// record adds a server's report at a time when own requests of this host run there. Of these the server has
// not begun to answer pending ones, which may still be on their way.
func (o *others) record(now time.Time, l Load, own, pending int) {
	if !l.Counted || !l.Plausible() {
		return
	}
	o.count, o.reportedAt = max(l.Running+l.Waiting-own, pending-own), now
	if slack := max(l.Slots/reportSlack, 1); o.count <= slack && o.count >= -slack {
		o.count = 0
	}
}

// seen records that another host has assigned requests to the server.
func (o *others) seen(now time.Time) {
	if now.Sub(o.seenAt) >= takeoverTime {
		o.answered = 0
	}
	o.seenAt = now
}

// beyond returns how many more requests the server has than this host knows of.
func (o *others) beyond(now time.Time) int {
	left := 1 - float64(now.Sub(o.reportedAt))/float64(reportRetention)
	if o.reportedAt.IsZero() || left <= 0 {
		return 0
	}
	return int(math.Round(float64(o.count) * left))
}

// hasSlot reports whether a server with own requests of this host has a free slot. began is when this host
// began to assign requests.
func (o *others) hasSlot(now, began time.Time, own, slots int) bool {
	if own+o.beyond(now) >= slots {
		return false
	}
	since := began
	if o.seenAt.After(since) {
		since = o.seenAt
	}
	if now.Sub(since) >= takeoverTime || !o.reportedAt.Before(since) {
		return true
	}
	return own < max(slots/startShare, 1)+o.answered
}
