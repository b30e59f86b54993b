package forward

import "time"

// waitShare determines how long a request may wait for room: 1/waitShare of the time that its caller wants it
// to take. A caller who is refused then has nearly all of that time left to try again.
const waitShare = 8

// maxWait returns how long the next attempt may wait for room at a backend server. The first one waits for a
// share of the objective, counted from the request's arrival; a later one for the same share of what is left.
// If the objective can't be met, or there is none, the deadline counts.
func (t *task) maxWait(now time.Time) time.Duration {
	if !t.f.Queue {
		return 0
	}
	x := t.x
	sent, least := x.Arrived.Add(-x.LinkDelay), t.work.MinTime()
	aim := sent.Add(x.Route.Objective.Std())
	if x.Begun || !aim.After(now.Add(least)) {
		aim = x.Deadline
	}
	from := now
	if len(x.Attempts) == 0 {
		from = sent
	}
	latest := from.Add(aim.Sub(from) / waitShare)
	if begin := aim.Add(-least); begin.Before(latest) {
		latest = begin
	}
	return max(latest.Sub(now), 0)
}
