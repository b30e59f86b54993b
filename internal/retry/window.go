package retry

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
)

// Bounds limit the retries of a whole fleet for a service: in any span of Window, at most Share of
// the requests plus Extra. Zero fields get the defaults.
//
// The requests are those of the span or of the one before it, whichever had more.
type Bounds struct {
	// Window is the length of the span; default 10 s.
	Window time.Duration
	// Share is the share of the span's requests that may be retried; default 0.1.
	Share float64
	// Extra is the number of additional retries per span, which all hosts share; default 10.
	Extra int
}

// Default values of Bounds.
const (
	DefaultWindow = 10 * time.Second
	DefaultShare  = 0.1
	DefaultExtra  = 10
)

// Window enforces one host's part of the bounds: Share of its own requests and an equal part of
// Extra. The fleet thus stays within the bounds without communication between hosts, also during
// a partition and while hosts start and end:
//
//   - Half of Share is taken from the requests of the span itself, half from those of the span before it. Each half is
//     measured in the same way by all hosts, so that the sum holds also when callers move from host to host.
//   - A process uses nothing of Extra before it has been part of the fleet for a span: its predecessor may have used its part
//     just before it ended, and the other hosts may not yet divide by one more.
//   - Extra is divided by the greatest number of hosts of the last span.
//   - A retry counts from when it is allowed until a span after it was sent.
//
// It is not safe for concurrent use.
type Window struct {
	bounds   Bounds
	slot     time.Duration
	epoch    time.Time
	fleet    fleetSize
	services map[string]*service
}

const (
	// slotsPerWindow is the number of time slots per span, in which attempts are counted.
	slotsPerWindow = 50
	// transitSlots is how many slots may pass between the sending of a retry and its arrival at the server.
	transitSlots = 3
	// joinSlots is how many slots may pass until all hosts know of one that has joined.
	joinSlots = 7
	// currentShare is the part of Share that is taken from the requests of the present span.
	currentShare = 0.5
	// currentExtra is the part of a host's part of Extra that is for the retries charged to the present span; at least one
	// retry. A part below minDivided isn't divided: all of Share is then taken from the span before.
	currentExtra = 0.25
	minDivided   = 2.0
)

// service holds what is counted for a service. Retries are charged to the requests of the present span or to those of the
// span before it.
type service struct {
	requests          counts
	current, previous charged
}

// charged counts retries that have been sent, and those that are allowed and not sent yet.
type charged struct {
	sent    counts
	pending int
}

// NewWindow returns a window without requests for a process that starts now.
func NewWindow(b Bounds, now time.Time) *Window {
	defaults.Set(&b.Window, DefaultWindow)
	defaults.Set(&b.Share, DefaultShare)
	defaults.Set(&b.Extra, DefaultExtra)
	return &Window{bounds: b, slot: max(b.Window/slotsPerWindow, 1), epoch: now, services: make(map[string]*service)}
}

func (w *Window) slotAt(now time.Time) int64 { return int64(max(now.Sub(w.epoch), 0) / w.slot) }

func (w *Window) service(name string) *service {
	s := w.services[name]
	if s == nil {
		s = &service{}
		w.services[name] = s
	}
	return s
}

// Fleet is what a host knows of the fleet whose bounds it shares.
type Fleet struct {
	// Hosts is the number of hosts that share Extra; 0 while this one is not part of the fleet.
	Hosts int
	// Joined is when this process became part of the fleet.
	Joined time.Time
}

// CountFirst counts a request for a service, which is its first attempt.
func (w *Window) CountFirst(now time.Time, service string, f Fleet) {
	w.fleet.observe(w.slotAt(now), f.Hosts)
	w.service(service).requests.add(w.slotAt(now))
}

// Decision is whether a retry is allowed, with what that was decided by.
type Decision struct {
	Allowed bool
	// Requests is how many requests, and Retries how many retries, were counted in the span up to now.
	Requests, Retries int
	// Extra is this host's part of the additional retries.
	Extra float64

	from *charged
}

// Allow takes one retry of a service, unless none is allowed. For each retry that is allowed, either Sent or Return must be
// called.
func (w *Window) Allow(now time.Time, name string, f Fleet) Decision {
	slot := w.slotAt(now)
	w.fleet.observe(slot, f.Hosts)
	s := w.service(name)
	d := Decision{
		Requests: s.requests.sum(slot-slotsPerWindow, slot),
		Retries:  s.current.recent(slot) + s.previous.recent(slot),
	}
	current, previous := w.allowances(slot)
	if f.Hosts <= 0 || !w.settled(now, f) {
		current.extra, previous.extra = 0, 0
	}
	d.Extra = current.extra + previous.extra
	switch {
	case s.allowedByCurrent(slot, current):
		d.from = &s.current
	case s.allowedByPrevious(slot, previous):
		d.from = &s.previous
	default:
		return d
	}
	d.Allowed = true
	d.from.pending++
	return d
}

// settled reports whether this process has been part of the fleet for so long that its part of Extra is neither in use by its
// predecessor nor by the other hosts.
func (w *Window) settled(now time.Time, f Fleet) bool {
	return now.Sub(f.Joined) > (slotsPerWindow+transitSlots+joinSlots)*w.slot
}

// allowance is a share of requests and a number of additional retries.
type allowance struct{ share, extra float64 }

// allowances divides Share and this host's part of Extra among the retries that are charged to the present span and to the
// one before it.
func (w *Window) allowances(slot int64) (current, previous allowance) {
	extra := w.fleet.part(slot, w.bounds.Extra)
	if extra < minDivided {
		return allowance{}, allowance{w.bounds.Share, extra}
	}
	current = allowance{currentShare * w.bounds.Share, max(currentExtra*extra, 1)}
	return current, allowance{w.bounds.Share - current.share, extra - current.extra}
}

// Sent records that an allowed retry is sent now.
func (w *Window) Sent(now time.Time, d Decision) {
	d.from.pending--
	d.from.sent.add(w.slotAt(now))
}

// Return gives back an allowed retry that is not sent.
func (w *Window) Return(d Decision) { d.from.pending-- }

// recent returns how many retries may arrive in a span that contains the slot.
func (c *charged) recent(slot int64) int {
	return c.pending + c.sent.sum(slot-slotsPerWindow-transitSlots, slot)
}

// allowedByCurrent reports whether one more retry keeps each span that contains the slot within the share of the span's own
// requests so far plus the additional retries.
func (s *service) allowedByCurrent(slot int64, a allowance) bool {
	retries, requests := s.current.pending+1, 0
	for from := slot; from >= slot-slotsPerWindow-transitSlots; from-- {
		retries += s.current.sent.at(from)
		// Retries that are sent from this slot on arrive in a span that begins up to transitSlots later.
		if first := from + transitSlots + 1; first <= slot {
			requests += s.requests.at(first)
		}
		if float64(retries) > a.share*float64(requests)+a.extra {
			return false
		}
	}
	return true
}

// allowedByPrevious reports whether one more retry keeps each span that contains the slot within the share of the requests
// of the span before it plus the additional retries.
func (s *service) allowedByPrevious(slot int64, a allowance) bool {
	// The span before begins inside the slot before first, so that only whole slots are counted.
	first := slot - 2*slotsPerWindow
	requests := s.requests.sum(first, first+slotsPerWindow-2)
	least := requests
	for ; first <= slot-slotsPerWindow+transitSlots; first++ {
		requests += s.requests.at(first+slotsPerWindow-1) - s.requests.at(first)
		least = min(least, requests)
	}
	return float64(s.previous.recent(slot)+1) <= a.share*float64(least)+a.extra
}
