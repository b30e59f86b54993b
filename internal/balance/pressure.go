package balance

import "time"

const (
	// evidenceWindow is the time in which reports lose all but a third of their weight as evidence.
	evidenceWindow = 2 * time.Second
	// minEvidence is the weight of reports below which a service with one server is not found to be pressed,
	// and maxServerEvidence the most that the reports of one server weigh. With minEvidenceOfSeveral the
	// reports of one server are not enough where there are more.
	minEvidence, maxServerEvidence, minEvidenceOfSeveral = 2, 2, 3
	// staleEvidence is the weight of reports below which a pressed service is relieved for want of them.
	staleEvidence = 0.5
	// pressedFrom and relievedBelow are the parts of the reports that come from full servers at which a
	// service becomes pressed, and below which it is relieved.
	pressedFrom, relievedBelow = 0.75, 0.25
	// minPressed is how long a service stays pressed at least.
	minPressed = 2 * time.Second
)

// evidence counts reports of servers with a weight that decays by age.
type evidence struct {
	// reports is the weight of all reports, full that of reports of full servers.
	reports, full float64
}

// after returns the evidence after the time d.
func (e evidence) after(d time.Duration) evidence { return e.within(d, evidenceWindow) }

// within returns the evidence after the time d if it decays within a time of its own.
func (e evidence) within(d, window time.Duration) evidence {
	rest := decayed(d, window)
	return evidence{e.reports * rest, e.full * rest}
}

// plus returns the evidence with one more report.
func (e evidence) plus(full bool) evidence {
	e.reports++
	if full {
		e.full++
	}
	return e
}

// capped returns the evidence of one server among several: hosts hear most from the server of their zone,
// which can be full while others have room.
func (e evidence) capped() evidence {
	if e.reports <= maxServerEvidence {
		return e
	}
	return evidence{maxServerEvidence, e.full * maxServerEvidence / e.reports}
}

func (e evidence) add(o evidence) evidence { return evidence{e.reports + o.reports, e.full + o.full} }

// pressure is whether a service has less room than its callers want, as far as this host hears.
type pressure struct {
	pressed bool
	// since is the time of the last change.
	since time.Time
	// refused is the evidence of refusals for want of room, as of refusedAt.
	refused   evidence
	refusedAt time.Time
}

// refuse records that a request was refused for want of room. Hosts whose requests are refused hear
// nothing more from the servers.
func (p *pressure) refuse(now time.Time) {
	p.refused, p.refusedAt = p.refused.after(now.Sub(p.refusedAt)).plus(true), now
}

// update decides by the evidence of all servers, of which there is the given number, and returns whether the decision has changed. The two
// thresholds and minPressed keep it from changing with every report.
func (p *pressure) update(now time.Time, e evidence, servers int) (changed bool) {
	e = e.add(p.refused.after(now.Sub(p.refusedAt)))
	switch {
	case !p.pressed:
		enough := float64(minEvidence)
		if servers > 1 {
			enough = minEvidenceOfSeveral
		}
		changed = e.reports >= enough && e.full/e.reports >= pressedFrom
	case now.Sub(p.since) >= minPressed:
		changed = e.reports < staleEvidence || e.full/e.reports < relievedBelow
	}
	if changed {
		p.pressed, p.since = !p.pressed, now
	}
	return changed
}
