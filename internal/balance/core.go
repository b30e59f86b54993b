// Package balance chooses the backend server for each request of a routed service. For every
// candidate server it predicts the time to the first part of the answer, and it picks the
// server with the least cost. The package is pure: time and randomness are passed in, and the
// caller serializes the calls.
//
// The prediction uses the work that this host has dispatched to a server, the parts of the
// prompt that the server is likely to have cached, and how recent requests ended there. It is
// complete for the servers for which this host assigns all requests.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/admission"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
)

// PermitNeeded is the error for a request whose best server requires a permit that this host does
// not hold.
type PermitNeeded struct{ Incarnation instance.Incarnation }

// Error implements error.
func (e *PermitNeeded) Error() string {
	return "a permit for server " + e.Incarnation.ID + " must be requested first"
}

// Config configures a Core.
type Config struct {
	// Zone is the availability zone of this host.
	Zone string
	// Regions has the region of each availability zone.
	Regions map[string]string
	// Permits grants the permits for rate-limited servers; nil: no server is rate limited.
	Permits ratelimit.Permits
	// Admissions provides the admissions to brittle servers; nil: no server is brittle.
	Admissions Admissions
	// Overload switches on decisions for load beyond the servers' room.
	Overload Overload
}

// Overload lists the decisions for load beyond the servers' room. The zero value has none of them.
type Overload struct {
	// Queue keeps engines from getting more requests than they have slots. Choose then fails with
	// *NoRoom if no server has room.
	Queue bool
	// Memory counts the memory of requests at each engine against its capacity.
	Memory bool
	// Slots divides the slots of plain services between client accounts.
	Slots bool
}

// Waits reports whether requests may find no room, so that they wait for it or are refused.
func (o Overload) Waits() bool { return o != Overload{} }

const (
	// zonePenalty is the round trip to another availability zone.
	zonePenalty = 3 * time.Millisecond
	// runningPenalty is the delay of the first event per request that the engine decodes at the
	// same time: each one lengthens a decoding step by about 0.15 ms.
	runningPenalty = 150 * time.Microsecond
	// stalePenalty ranks servers with a stale announcement, and those that cool down for another
	// host, behind the others.
	stalePenalty = 5 * time.Second
	// servedRecently is how long an answer counts as a sign of life from a server whose
	// announcement is stale.
	servedRecently = 5 * time.Second
	// minAllFailing is the number of servers from which a failure of all of them at once is
	// considered unlikely.
	minAllFailing = 3
	// firstBackoff and maxBackoff bound the backoff after a failure of a server.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 4 * time.Second
	// probeInterval is how long after its last failure one request at a time is sent to a server although its backoff
	// goes on, while all of fewer than minAllFailing servers fail.
	probeInterval = time.Second
	// ReturnSpread is the range of the jitter in the Retry-After of refused callers.
	ReturnSpread = 500 * time.Millisecond
)

// Core is the state of one host's balancer. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	reg      *instance.Registry
	rng      *rand.Rand
	servers  map[instance.Incarnation]*server
	attempts map[uint64]*attempt
	ticket   uint64
	// cooling holds the incarnations whose cooldown for this host has not been seen to have ended.
	cooling map[instance.Incarnation]bool
	// dispatched lists the parts sent to each server since the last call of TakeDispatched.
	dispatched map[instance.Incarnation][]Part
	// plain holds the plain services whose slots are divided.
	plain map[string]*plainService
	// implausible counts the reported loads that were ignored.
	implausible uint64
	// began is when the first server was chosen; drains has how fast each service has done its work.
	began  time.Time
	drains map[string]*drain
	// outputs and memoryCounts belong to the account of the engines' memory.
	outputs      outputs
	memoryCounts MemoryCounts
}

// attempt is a request of this host at a server.
type attempt struct {
	server      *server
	incarnation instance.Incarnation
	// uncached is the number of prompt tokens to prefill before the first event.
	uncached  uint64
	started   time.Time
	predicted time.Duration
	engine    bool
	firstSeen bool
	admission admission.Admission
	// use is the account's use of a plain service whose slots are divided; nil otherwise.
	use     *accountUse
	service string
	effort  time.Duration
	// claim is what the request holds of an engine's memory; nil if that is not counted.
	claim *claim
}

// New returns a Core that chooses among the instances of reg.
func New(cfg Config, reg *instance.Registry, rng *rand.Rand) *Core {
	return &Core{
		cfg: cfg, reg: reg, rng: rng,
		servers: make(map[instance.Incarnation]*server), attempts: make(map[uint64]*attempt),
		cooling: make(map[instance.Incarnation]bool), dispatched: make(map[instance.Incarnation][]Part),
		plain:   make(map[string]*plainService),
		drains:  make(map[string]*drain),
		outputs: newOutputs(),
	}
}

// Choose picks the server for w, or returns an error if no server may get it. After a
// *PermitNeeded or *AdmissionNeeded the caller requests the permit or the admission and calls Choose again.
func (c *Core) Choose(now time.Time, w *Work) (Choice, error) {
	if c.began.IsZero() {
		c.began = now
	}
	if err := c.checkMemory(w); err != nil {
		return Choice{}, err
	}
	eligible := c.eligible(now, w)
	if len(eligible) == 0 {
		return Choice{}, c.noServer(now, w)
	}
	eligible, err := c.withRoom(now, w, eligible)
	if err != nil {
		return Choice{}, err
	}
	best, preferredWait, err := c.best(now, w, eligible)
	if err != nil {
		return Choice{}, err
	}
	inc := best.inst.Incarnation()
	if c.needsAdmission(now, w, inc) {
		return Choice{}, &AdmissionNeeded{Incarnation: inc, Slots: best.inst.Slots}
	}
	if err := c.usePermit(now, inc); err != nil {
		return Choice{}, err
	}
	c.ticket++
	r := &attempt{
		server: best.server, incarnation: inc, uncached: w.PromptTokens - min(best.cached, w.PromptTokens), started: now, predicted: best.wait,
		engine: w.Engine, service: w.Service,
	}
	r.effort = effort(w, r.uncached)
	if w.Admission.For(inc) {
		r.admission = w.Admission
	}
	c.attempts[c.ticket] = r
	best.server.begin(now, r)
	c.beginUse(now, w, r)
	if w.Engine {
		best.server.cache.touch(w.Prompt, w.CacheTokens)
		c.dispatched[inc] = append(c.dispatched[inc], reversed(w.Prompt)...)
	}
	permille := c.beginMemory(now, w, r)
	return Choice{
		Ticket: c.ticket, Instance: best.inst.Announcement, Wait: best.wait, Cached: best.cached,
		Shared: SharedTokens(w.Prompt), PreferredWait: preferredWait,
		Running: best.server.running - 1, Considered: len(eligible), CooldownLeft: max(best.server.cooldownUntil.Sub(now), 0),
		Admission: r.admission, MemoryPermille: permille,
	}, nil
}

// eligible returns the servers that may get w: those without a running backoff or, if all of
// minAllFailing or more servers have failed, all of these; if all of fewer have, those that are due
// for a probe.
//
// All servers can seem to fail at once because this host's own link is saturated for a moment and
// no connection opens in time. The host would then refuse requests while all other hosts serve
// theirs. That is more likely than a failure of all servers, and in the other case an attempt
// costs no more than a refusal.
func (c *Core) eligible(now time.Time, w *Work) []*instance.Instance {
	var healthy, failing []*instance.Instance
	shed := false
	for _, inst := range c.reg.ServingInShard(w.Service, w.Shard.Index, w.Shard.Of) {
		if slices.Contains(w.Exclude, inst.Incarnation()) || !c.mayServe(w, inst) ||
			!c.permitted(now, w, inst.Incarnation()) || !c.admissible(now, w, inst.Incarnation()) {
			continue
		}
		switch s := c.server(inst.Incarnation()); {
		case now.Before(s.cooldownUntil):
			// A cooldown was requested by the server; it holds even if all others fail.
		case !now.Before(s.backoffUntil):
			healthy = append(healthy, inst)
		case s.failures > 0:
			failing = append(failing, inst)
		default:
			shed = true
		}
	}
	if len(healthy) > 0 || shed {
		return healthy
	}
	if len(failing) < minAllFailing {
		failing = slices.DeleteFunc(failing, func(inst *instance.Instance) bool { return c.server(inst.Incarnation()).probeWait(now) > 0 })
	}
	return failing
}

// candidate is a server with its prediction.
type candidate struct {
	inst   *instance.Instance
	server *server
	wait   time.Duration
	cached uint64
	// delayToOthers is the expected delay of later requests by the prefill of this prompt.
	delayToOthers time.Duration
	// cost is the figure by which candidates are compared.
	cost time.Duration
}

func (c *Core) predict(now time.Time, w *Work, inst *instance.Instance, s *server, preferred bool) candidate {
	cand := candidate{inst: inst, server: s}
	if w.Engine {
		cand.cached = s.cache.cached(w.Prompt)
		uncached := w.PromptTokens - min(cand.cached, w.PromptTokens)
		cand.wait = s.slowdown.scale(now, prefillTime(s.backlog(now)+float64(uncached))+time.Duration(s.running)*runningPenalty) + s.residualLateness(now)
		cand.delayToOthers = time.Duration(float64(prefillTime(float64(uncached))) * queuedPerUtilization * s.utilization(now))
	} else {
		cand.wait = s.serviceTime(inst.Slots)
	}
	cand.wait += c.detour(now, inst, s)
	cand.cost = w.cost(&cand) + c.evictionCost(now, w, &cand)
	if preferred {
		cand.cost -= preferredBonus
	}
	return cand
}

// cost weighs the predicted wait against the prefill work for the engine. A wait well below the
// objective costs little; above half of the objective it costs lateWeight times as much. The
// prefill costs its duration times the number of requests expected to wait behind it, which
// grows with the engine's utilization.
//
// If the shortest wait alone decided, another engine would prefill a part anew whenever the
// engine that has it cached is slightly busier, and evict its own parts for it. Under load that
// amplifies itself: repeated prefills lengthen all waits and cause more repeated prefills.
//
// Beyond the objective a longer wait costs little more, since the answer is late either way.
func (w *Work) cost(cand *candidate) time.Duration {
	cost := cand.wait / earlyPart
	if late := min(cand.wait, w.Objective) - w.Objective/2; late > 0 {
		cost += lateWeight * late
	}
	return cost + cand.delayToOthers
}

const (
	// earlyPart divides a wait below half of the objective, lateWeight multiplies one above.
	earlyPart  = 5
	lateWeight = 3
	// preferredBonus is the advantage of the preferred server of a shared part over equal servers.
	preferredBonus = 50 * time.Millisecond
	// queuedPerUtilization is the number of requests expected to wait behind a prefill for each
	// unit of utilization/(1-utilization).
	queuedPerUtilization = 1.0
)

// server returns the state of a server's incarnation. Each incarnation starts empty: queue, cache,
// answer times and failures belong to the former process.
func (c *Core) server(inc instance.Incarnation) *server {
	s := c.servers[inc]
	if s == nil {
		s = newServer()
		c.servers[inc] = s
	}
	return s
}

// Expire drops the state of incarnations that the registry no longer holds. Call it periodically.
func (c *Core) Expire() {
	for inc := range c.servers {
		if !c.reg.IsCurrent(inc) {
			delete(c.servers, inc)
			delete(c.dispatched, inc)
		}
	}
}

// FirstPart records that the first part of the answer has arrived.
func (c *Core) FirstPart(now time.Time, ticket uint64) {
	if r := c.attempts[ticket]; r != nil {
		c.accepted(r)
		r.server.firstPart(now, r)
		r.server.others.answered++
		if r.claim != nil && r.claim.firstAt.IsZero() {
			r.claim.firstAt = now
		}
	}
}

// HealthChange is the change of a server's health by the end of a request.
type HealthChange struct {
	// Lost reports that the server has begun to fail; it gets no request for Pause. Regained
	// reports that it answers again, after the given number of Failures.
	Lost, Regained bool
	Pause          time.Duration
	Failures       int
	// MemoryFull is set if the requests at the engine were known to hold more than its memory until then.
	MemoryFull bool
}

// Done ends a request and updates the server's health and answer time by the outcome.
func (c *Core) Done(now time.Time, ticket uint64, result Result) HealthChange {
	r := c.attempts[ticket]
	if r == nil {
		return HealthChange{}
	}
	delete(c.attempts, ticket)
	full := c.endMemory(now, r, result)
	before := r.server.failures
	r.server.end(now, r, result)
	if r.use != nil {
		r.use.running--
	}
	c.ended(now, r, result)
	c.recordDrain(now, r, result)
	after := r.server.failures
	return HealthChange{
		Lost: before == 0 && after > 0, Regained: before > 0 && after == 0,
		Pause: max(r.server.backoffUntil.Sub(now), 0), Failures: max(before, after),
		MemoryFull: full,
	}
}

// Running returns the number of requests not yet done.
func (c *Core) Running() int { return len(c.attempts) }
