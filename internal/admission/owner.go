package admission

import (
	"math"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

const (
	// SettleTime is the time after its admission in which a request may still turn out to be
	// rejected. Later it counts as accepted.
	SettleTime = 200 * time.Millisecond
	// rejectionWindow is the time over which a server counts its rejections.
	rejectionWindow = time.Second
	// growInterval is the time without a rejection after which a window that is used up grows, by one
	// growthDivisor-th and at least one request. At the number of requests that were in flight at the
	// last rejection it is probeInterval.
	growInterval  = time.Second
	probeInterval = 5 * time.Second
	growthDivisor = 8
	// lingerTime is how long a request counts as in flight after its caller has left: the server may
	// not notice at once.
	lingerTime = 500 * time.Millisecond
	// keptShare is the share of the requests in flight that a window keeps at a rejection.
	keptShare = 0.75
	// maxLifetime bounds the time for which an admitted request counts as in flight.
	maxLifetime = time.Minute
	// gateRetention is the time without a request after which a server's state is dropped.
	gateRetention = 2 * time.Minute
	// windowRetry is when a host may ask again while the window is used up.
	windowRetry = 20 * time.Millisecond
	// requesterWindow is how long a host counts as a requester after it has asked, and
	// requestSpacing the wait of a host that is denied per requester.
	requesterWindow = time.Second
	requestSpacing  = 5 * time.Millisecond
)

// Denial is the reason for which a request was not admitted.
type Denial int

// Reasons for a denial.
const (
	// Admitted: it was admitted.
	Admitted Denial = iota
	// NotOwner: this host may not admit requests to the server.
	NotOwner
	// AtRisk: as many requests as the server tolerates may still be rejected or have just been.
	AtRisk
	// WindowFull: the server's window is used up.
	WindowFull
)

// String implements fmt.Stringer.
func (d Denial) String() string {
	return [...]string{"admitted", "not_owner", "at_risk", "window_full"}[d]
}

// Key identifies an admission. The host that requests it chooses the ID; no two of its admissions, nor
// those of its former incarnations, have the same.
type Key struct {
	Host string
	ID   uint64
}

// Request is a host's request to send one request to a server.
type Request struct {
	Incarnation instance.Incarnation
	Key         Key
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Allowance is the number of rejections in a second that this owner may cause.
	Allowance int
	// Lifetime is when the request has ended at the latest.
	Lifetime time.Duration
}

// Decision is an owner's answer to a Request.
type Decision struct {
	Denial Denial
	// After is when the host may ask again after a denial.
	After time.Duration
}

// Owner admits the requests to the servers that this host owns.
type Owner struct {
	gates map[instance.Incarnation]*gate
}

// NewOwner returns an owner without servers.
func NewOwner() *Owner { return &Owner{gates: make(map[instance.Incarnation]*gate)} }

// gate is the state of one server.
type gate struct {
	// window is the number of requests that may be in flight; 0: none was admitted yet.
	window int
	// ceiling is the number of requests that were in flight at the last rejection, without the
	// rejected one; 0: there was none.
	ceiling   int
	changedAt time.Time // when the window last changed
	reducedAt time.Time // when it was last reduced by keptShare
	// used is set if a request was denied because of the window since changedAt.
	used bool
	// open holds the requests in flight.
	open map[Key]*request
	// rejections are the times at which this host learned of the rejections in the last
	// rejectionWindow.
	rejections []time.Time
	requesters map[string]time.Time
	lastAsked  time.Time
}

// request is an admitted request.
type request struct {
	admitted, until time.Time
	accepted        bool
}

// Admit decides on a request.
func (o *Owner) Admit(now time.Time, req Request) Decision {
	if req.Allowance < 1 {
		return Decision{Denial: NotOwner, After: SettleTime}
	}
	g := o.gate(now, req.Incarnation)
	if g.window == 0 {
		g.window = max(req.Slots, 1)
	}
	g.requesters[req.Key.Host], g.lastAsked = now, now
	g.expire(now)
	g.grow(now, req.Slots)
	if at, risked := g.atRisk(now); risked >= req.Allowance {
		return Decision{Denial: AtRisk, After: max(at.Sub(now), g.spacing(now))}
	}
	if len(g.open) >= g.window {
		g.used = true
		return Decision{Denial: WindowFull, After: max(windowRetry, g.spacing(now))}
	}
	g.open[req.Key] = &request{admitted: now, until: now.Add(min(req.Lifetime, maxLifetime))}
	return Decision{}
}

func (o *Owner) gate(now time.Time, inc instance.Incarnation) *gate {
	g := o.gates[inc]
	if g == nil {
		g = &gate{changedAt: now, open: make(map[Key]*request), requesters: make(map[string]time.Time)}
		o.gates[inc] = g
	}
	return g
}

// Accepted records that the server has accepted a request.
func (o *Owner) Accepted(inc instance.Incarnation, k Key) {
	if g := o.gates[inc]; g != nil && g.open[k] != nil {
		g.open[k].accepted = true
	}
}

// Finished records that a request has ended without a rejection.
func (o *Owner) Finished(inc instance.Incarnation, k Key) {
	if g := o.gates[inc]; g != nil {
		delete(g.open, k)
	}
}

// Left records that the caller of a request has left: the server may go on with it for lingerTime.
func (o *Owner) Left(now time.Time, inc instance.Incarnation, k Key) {
	if g := o.gates[inc]; g != nil && g.open[k] != nil {
		r := g.open[k]
		if end := now.Add(lingerTime); end.Before(r.until) {
			r.until = end
		}
	}
}

// Reduction is the change of a server's window by a rejection.
type Reduction struct {
	// Window is the new window; InFlight counts the requests that the server still has.
	Window, InFlight int
	// Rejections counts those of the last second.
	Rejections int
}

// Rejected records that the server has rejected a request, and reduces its window. It also counts a
// request that was sent without an admission, or whose admission this host does not know.
func (o *Owner) Rejected(now time.Time, inc instance.Incarnation, k Key) Reduction {
	g := o.gate(now, inc)
	g.expire(now)
	delete(g.open, k)
	g.rejections = append(g.rejections, now)
	if g.window == 0 {
		return Reduction{Rejections: len(g.rejections)}
	}
	window := min(g.window, len(g.open))
	g.ceiling = max(window, 1)
	if now.Sub(g.reducedAt) >= SettleTime { // else it follows from the same shrinking of the room
		window = int(math.Ceil(keptShare * float64(window)))
		g.reducedAt = now
	}
	g.window, g.changedAt, g.used = max(window, 1), now, false
	return Reduction{Window: g.window, InFlight: len(g.open), Rejections: len(g.rejections)}
}

// Expire drops the state of servers without recent requests.
func (o *Owner) Expire(now time.Time) {
	for inc, g := range o.gates {
		if now.Sub(g.lastAsked) >= gateRetention && now.Sub(g.changedAt) >= gateRetention {
			delete(o.gates, inc)
		}
	}
}

// expire drops what has ended by now.
func (g *gate) expire(now time.Time) {
	for k, r := range g.open {
		if !now.Before(r.until) {
			delete(g.open, k)
		}
	}
	n := 0
	for n < len(g.rejections) && now.Sub(g.rejections[n]) >= rejectionWindow {
		n++
	}
	g.rejections = g.rejections[n:]
}

// grow enlarges a window that was used up, up to the server's slots.
func (g *gate) grow(now time.Time, slots int) {
	interval := growInterval
	if g.window == g.ceiling {
		interval = probeInterval
	}
	if g.used && now.Sub(g.changedAt) >= interval {
		grown := g.window + max(g.window/growthDivisor, 1)
		if g.window < g.ceiling {
			grown = min(grown, g.ceiling)
		}
		g.window = grown
		g.changedAt, g.used = now, false
	}
	g.window = min(g.window, max(slots, 1))
}

// atRisk counts the requests that may still be rejected and those that were rejected in the last
// rejectionWindow. at is when one of them ceases to count, at the latest.
func (g *gate) atRisk(now time.Time) (at time.Time, n int) {
	n = len(g.rejections)
	if n > 0 {
		at = g.rejections[0].Add(rejectionWindow)
	}
	for _, r := range g.open {
		settled := r.admitted.Add(SettleTime)
		if r.accepted || !now.Before(settled) {
			continue
		}
		if n++; at.IsZero() || settled.Before(at) {
			at = settled
		}
	}
	return at, n
}

// spacing returns the least time after which a host that is denied may ask again.
func (g *gate) spacing(now time.Time) time.Duration {
	for host, at := range g.requesters {
		if now.Sub(at) >= requesterWindow {
			delete(g.requesters, host)
		}
	}
	return time.Duration(len(g.requesters)) * requestSpacing
}
