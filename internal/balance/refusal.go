package balance

import (
	"fmt"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// noServer refuses w with a Retry-After at which the first server may get requests again. If a
// cooldown or a rate limit sets that time, which is the same for all callers, a random jitter keeps
// them from returning all at once.
func (c *Core) noServer(now time.Time, w *Work) error {
	wait, setByServer := time.Duration(0), false
	var why exclusions
	for _, inst := range c.reg.ServingInShard(w.Service, w.Shard.Index, w.Shard.Of) {
		if !c.inRegion(w, inst.Zone) {
			why.otherRegion++
			continue
		}
		if !ofVersion(w, inst.Version) {
			why.otherVersion++
			continue
		}
		s := c.server(inst.Incarnation())
		backoff, cooldown, noPermit := s.probeWait(now), s.cooldownUntil.Sub(now), c.permitWait(now, inst.Incarnation())
		notAdmitted := c.admissionWait(now, inst.Incarnation())
		why.add(backoff, cooldown, noPermit, notAdmitted)
		byServer := max(cooldown, noPermit, notAdmitted)
		if pause := max(backoff, byServer); pause > 0 && (wait == 0 || pause < wait) {
			wait, setByServer = pause, pause == byServer
		}
	}
	why.evacuated = c.reg.Evacuated(w.Service)
	switch {
	case wait == 0:
		wait = maxBackoff
	case setByServer:
		wait += c.spread(wait)
	}
	return errkind.New(errkind.NoBackendServer, "no backend server of %q may get the request: %s", w.Service, why).After(wait)
}

// exclusions counts the servers that may not get a request now, by reason.
type exclusions struct{ servers, backingOff, coolingDown, atLimit, brittle, evacuated, otherRegion, otherVersion int }

func (o *exclusions) add(backoff, cooldown, noPermit, notAdmitted time.Duration) {
	o.servers++
	if backoff > 0 {
		o.backingOff++
	}
	if cooldown > 0 {
		o.coolingDown++
	}
	if noPermit > 0 {
		o.atLimit++
	}
	if notAdmitted > 0 {
		o.brittle++
	}
}

// String implements fmt.Stringer.
func (o exclusions) String() string {
	text := fmt.Sprintf("of %d servers, %d back off after failures, %d are cooling down for this host, %d are at their rate limits",
		o.servers, o.backingOff, o.coolingDown, o.atLimit)
	if o.brittle > 0 {
		text += fmt.Sprintf(", %d are brittle and admit no more", o.brittle)
	}
	if o.evacuated > 0 {
		text += fmt.Sprintf("; %d more are in evacuated zones", o.evacuated)
	}
	if o.otherRegion > 0 {
		text += fmt.Sprintf("; %d more are in regions that the request must not reach", o.otherRegion)
	}
	if o.otherVersion > 0 {
		text += fmt.Sprintf("; %d more run other software versions than its stream", o.otherVersion)
	}
	return text
}

// spread returns a random jitter for a wait, at most ReturnSpread.
func (c *Core) spread(wait time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(min(wait, ReturnSpread))))
}
