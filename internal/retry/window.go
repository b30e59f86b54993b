package retry

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
)

// Bounds hold the attempts beyond the first that a whole fleet makes for a service: in
// any span of Window at most Share of the requests plus Extra. Zero fields take the
// defaults.
type Bounds struct {
	// Window is the span; default 10 s.
	Window time.Duration
	// Share of the requests of the span; default 0.1.
	Share float64
	// Extra attempts of the span that all hosts share; default 10.
	Extra int
}

// Defaults of Bounds.
const (
	DefaultWindow = 10 * time.Second
	DefaultShare  = 0.1
	DefaultExtra  = 10
)

// Window keeps one host's part of the bounds: its share of its own requests and an
// equal part of Extra. So the fleet keeps them without a word between hosts, also while
// they are cut off from each other. It is not safe for concurrent use.
type Window struct {
	bounds   Bounds
	services map[string]*attempts
}

// attempts are the times of a service's requests and further attempts in the window,
// oldest first.
type attempts struct {
	first, again []time.Time
}

// NewWindow makes a window without requests.
func NewWindow(b Bounds) *Window {
	defaults.Set(&b.Window, DefaultWindow)
	defaults.Set(&b.Share, DefaultShare)
	defaults.Set(&b.Extra, DefaultExtra)
	return &Window{bounds: b, services: make(map[string]*attempts)}
}

func (w *Window) service(now time.Time, name string) *attempts {
	a := w.services[name]
	if a == nil {
		a = &attempts{}
		w.services[name] = a
	}
	since := now.Add(-w.bounds.Window)
	a.first = after(a.first, since)
	a.again = after(a.again, since)
	return a
}

// after drops the times before since.
func after(times []time.Time, since time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(since) {
		n++
	}
	return times[n:]
}

// First counts a request for a service.
func (w *Window) First(now time.Time, service string) {
	a := w.service(now, service)
	a.first = append(a.first, now)
}

// Allow takes one further attempt of a service, or says no. hosts is the number of hosts
// that share Extra.
func (w *Window) Allow(now time.Time, service string, hosts int) bool {
	a := w.service(now, service)
	limit := w.bounds.Share*float64(len(a.first)) + float64(w.bounds.Extra)/float64(max(hosts, 1))
	if float64(len(a.again)+1) > limit {
		return false
	}
	a.again = append(a.again, now)
	return true
}
