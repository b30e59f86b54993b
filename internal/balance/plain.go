package balance

import (
	"math"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
)

const (
	// nearlyEqual is the difference of predicted answer times below which servers are chosen between at
	// random: many hosts have the same reports. It is less than zonePenalty, so that servers of the own
	// zone are preferred as long as they are hardly slower.
	nearlyEqual = 2 * time.Millisecond
	// sentAheadPart divides the objective of a request: the work that an owner sends ahead of free slots
	// takes a server that long. sentAheadPerSlot bounds it, in requests per slot.
	sentAheadPart    = 3
	sentAheadPerSlot = 2
	// reportLag is how late an owner hears of the end of another host's request.
	reportLag = 18 * time.Millisecond
	// maxOwnedRate is the number of requests a second of one plain service that an owner assigns. Each
	// costs it two calls of about 0.1 ms. ownedAgainPart is the part of it below which a service that had
	// more gets an owner again.
	maxOwnedRate   = 500
	ownedAgainPart = 0.8
	// shortestWork is assumed for servers that have not answered yet, by one choice in explorePart. The
	// other choices assume the typical time, so that a new server does not get the requests of all hosts.
	shortestWork = time.Millisecond
	explorePart  = 8
	// workTimeDecay is the time in which the difference of a server's work time from the typical one decays
	// to a third without an answer.
	workTimeDecay = 10 * time.Second
	// defaultObjective is the objective of requests without one.
	defaultObjective = 100 * time.Millisecond
)

// plainService is what this host knows of a plain service's room.
type plainService struct {
	pressure pressure
	// tooMany is set while the servers answer more requests than an owner can assign.
	tooMany  bool
	accounts accountUses
	counts   SlotCounts
}

// SlotCounts counts decisions about the slots of a plain service.
type SlotCounts struct {
	// Pressed counts how often the service became pressed, NoRoom the requests for which no server had
	// room, and TooLate those refused because no server could have answered in time.
	Pressed uint64 `json:"pressed"`
	NoRoom  uint64 `json:"no_room"`
	TooLate uint64 `json:"too_late"`
}

// plainService returns the state of a plain service.
func (c *Core) plainService(name string) *plainService {
	p := c.plain[name]
	if p == nil {
		p = &plainService{accounts: make(accountUses)}
		c.plain[name] = p
	}
	return p
}

// dividesSlots reports whether the slots of w's service are divided by reports.
func (c *Core) dividesSlots(w *Work) bool { return !w.Engine && c.cfg.Overload.Slots }

// typicalWork returns the middle of the known work times of plain servers.
func (c *Core) typicalWork(servers []*instance.Instance) time.Duration {
	var works []time.Duration
	for _, inst := range servers {
		if s := c.server(inst.Incarnation()); s.workTime > 0 {
			works = append(works, s.workTime)
		}
	}
	if len(works) == 0 {
		return shortestWork
	}
	slices.Sort(works)
	return works[(len(works)-1)/2]
}

// expectedWork returns how long a plain server is expected to work on a request: what it took before, or
// the typical time if that is not known or long ago.
func (s *server) expectedWork(now time.Time, typical time.Duration) time.Duration {
	if s.workTime == 0 {
		return s.slowdown.scale(now, typical)
	}
	known := decayed(now.Sub(s.lastServed), workTimeDecay)
	return s.slowdown.scale(now, typical+time.Duration(known*float64(s.workTime-typical)))
}

// plainWait predicts the answer time of a plain server by the requests of all hosts there.
func (s *server) plainWait(now time.Time, inst *instance.Instance, work time.Duration) time.Duration {
	return work + expectedWait(s.reported.requests(now), s.reported.slots(inst.Slots), work)
}

// faultCost returns by how much a plain server ranks behind others for its server errors. A failed answer
// costs as much as one that misses its objective, however fast it is.
func (s *server) faultCost(now time.Time, w *Work) time.Duration {
	objective := w.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	return time.Duration(s.reported.faultPart(now) * float64(objective))
}

// leastLoaded chooses a server of a plain service at random from those with about the least predicted
// answer time. It refuses w if none can answer in time; that little is heard of a server, which ranks it
// behind others, is no reason to refuse.
func (c *Core) leastLoaded(now time.Time, w *Work, servers []*instance.Instance) (*candidate, error) {
	typical := c.typicalWork(servers)
	explores := c.rng.IntN(explorePart) == 0
	candidates := make([]candidate, 0, len(servers))
	least, soonest := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, inst := range servers {
		s := c.server(inst.Incarnation())
		work := s.expectedWork(now, typical)
		if s.workTime == 0 && explores {
			work = shortestWork
		}
		answer := s.plainWait(now, inst, work)
		cand := candidate{inst: inst, server: s, wait: answer + c.detour(now, inst, s) + s.faultCost(now, w)}
		if w.Admission.For(inst.Incarnation()) {
			return &cand, nil
		}
		least, soonest = min(least, cand.wait), min(soonest, answer)
		candidates = append(candidates, cand)
	}
	if w.Remaining > 0 && soonest > w.Remaining {
		c.plainService(w.Service).counts.TooLate++
		return nil, errkind.New(errkind.Overloaded, "no backend server of %q is predicted to answer in time: in %v, with %v left",
			w.Service, soonest.Round(time.Millisecond), w.Remaining.Round(time.Millisecond)).
			After(soonest - w.Remaining + time.Duration(c.rng.Int64N(int64(soonest))))
	}
	near := slices.DeleteFunc(candidates, func(cand candidate) bool { return cand.wait > least+nearlyEqual })
	return &near[c.rng.IntN(len(near))], nil
}

// sentAhead returns how many requests beyond its slots a server may get from an owner: those that are on
// their way, whose end is not reported yet, or that wait at the server for a part of their objective. work
// is the work time as the owner observes it.
func sentAhead(objective, work time.Duration, slots int) int {
	if objective <= 0 || work <= 0 {
		return slots
	}
	work = max(work-reportLag, work/4)
	return int(float64(slots) * min(float64(objective)/sentAheadPart/float64(work), sentAheadPerSlot))
}

// withPlainRoom returns the servers of a plain service that have room for w, or a *NoRoom. Only the owner
// of a shard, which gets the requests of all hosts, counts them against the slots; elsewhere w has no shard.
func (c *Core) withPlainRoom(now time.Time, w *Work, servers []*instance.Instance) ([]*instance.Instance, error) {
	if w.Shard.Of == 0 {
		return servers, nil
	}
	p := c.plainService(w.Service)
	use := p.accounts.ask(now, w.Account, w.Weight)
	taken, limit := 0, 0
	servers = slices.DeleteFunc(servers, func(inst *instance.Instance) bool {
		s := c.server(inst.Incarnation())
		slots := max(s.reported.slots(inst.Slots), 1)
		room := slots + sentAhead(w.Objective, s.workTime, slots)
		held := max(s.running, int(s.reported.requests(now)))
		taken, limit = taken+min(held, room), limit+room
		return held >= room
	})
	if len(servers) == 0 || !p.accounts.mayBegin(now, use, taken, limit) {
		p.counts.NoRoom++
		return nil, &NoRoom{Service: w.Service, Account: len(servers) > 0}
	}
	return servers, nil
}

// ReportRefusal records that a request for a plain service was refused for want of room.
func (c *Core) ReportRefusal(now time.Time, service string) {
	if c.cfg.Overload.Slots {
		c.plainService(service).pressure.refuse(now)
	}
}

// Pressed returns whether a plain service has less room than its callers want, as far as this host hears,
// and whether that has changed.
func (c *Core) Pressed(now time.Time, service string) (pressed, changed bool) {
	if !c.cfg.Overload.Slots {
		return false, false
	}
	p := c.plainService(service)
	if changed = p.pressure.update(now, c.evidence(now, service), c.reg.ServingCount(service)); changed && p.pressure.pressed {
		p.counts.Pressed++
	}
	return p.pressure.pressed, changed
}

// Owned reports whether requests for a plain service go through the owner of its servers: the service is
// pressed, and an owner can assign that many requests.
func (c *Core) Owned(now time.Time, service string) bool {
	p := c.plain[service]
	if p == nil || !p.pressure.pressed {
		return false
	}
	limit := float64(maxOwnedRate)
	if p.tooMany {
		limit *= ownedAgainPart
	}
	p.tooMany = c.answerRate(now, service) > limit
	return !p.tooMany
}

// answerRate estimates how many requests a second the servers of a service answer for all hosts: by
// Little's law, the requests that run divided by the time that each takes.
func (c *Core) answerRate(now time.Time, service string) float64 {
	sum := 0.0
	for _, inst := range c.reg.Serving(service) {
		s := c.servers[inst.Incarnation()]
		if s == nil || s.reported.at.IsZero() {
			continue
		}
		work := s.slowdown.scale(now, max(s.workTime, shortestWork))
		sum += min(s.reported.requests(now), float64(s.reported.last.Slots)) / work.Seconds()
	}
	return sum
}

// evidence returns the evidence of all servers of a service.
func (c *Core) evidence(now time.Time, service string) evidence {
	var sum evidence
	for _, inst := range c.reg.Serving(service) {
		if s := c.servers[inst.Incarnation()]; s != nil {
			sum = sum.add(s.reported.evidence.after(now.Sub(s.reported.at)).capped())
		}
	}
	return sum
}

// beginUse counts an attempt for its account.
func (c *Core) beginUse(now time.Time, w *Work, r *attempt) {
	if c.dividesSlots(w) {
		r.use = c.plainService(w.Service).accounts.ask(now, w.Account, w.Weight)
		r.use.begin(now)
	}
}

// ExpirePlain drops what is known of accounts and plain services that are no longer used. Call it periodically.
func (c *Core) ExpirePlain(now time.Time) {
	for name, p := range c.plain {
		p.accounts.expire(now)
		if len(p.accounts) == 0 && c.reg.ServingCount(name) == 0 {
			delete(c.plain, name)
		}
	}
}
