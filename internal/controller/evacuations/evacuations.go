// Package evacuations holds what a host knows of the evacuated availability zones. The set of zones
// comes from the control group; it spreads by broadcasts, heartbeats, replies about the routing
// table and registrations. Each carries the whole set, and the highest revision wins, so a host never
// goes back to an older set while its process runs.
package evacuations

import (
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// View is a host's newest known set of evacuated zones. It is safe for concurrent use.
type View struct {
	log     zerolog.Logger
	started time.Time
	metrics metrics

	mu       sync.Mutex
	current  *pb.Evacuations
	onChange []func(zones map[string]bool)
}

// metrics are the view's counters: the revision in force, the number of evacuated zones, and the
// number of changes.
type metrics struct {
	vars                     expvar.Map
	revision, zones, changes expvar.Int
}

// New returns a View without evacuated zones.
func New(log zerolog.Logger) *View {
	v := &View{log: log, started: time.Now(), current: &pb.Evacuations{}}
	v.metrics.vars.Set("revision", &v.metrics.revision)
	v.metrics.vars.Set("zones", &v.metrics.zones)
	v.metrics.vars.Set("changes", &v.metrics.changes)
	return v
}

// Metrics returns the view's counters.
func (v *View) Metrics() *expvar.Map { return &v.metrics.vars }

// Current returns the newest known set; it must not be modified.
func (v *View) Current() *pb.Evacuations {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

// OnChange has f called with the evacuated zones now and after each change, in the order of the
// revisions. f must not call the View, nor change the zones.
func (v *View) OnChange(f func(zones map[string]bool)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onChange = append(v.onChange, f)
	f(names(v.current))
}

// names returns the zones of a set.
func names(e *pb.Evacuations) map[string]bool {
	zones := make(map[string]bool, len(e.GetZones()))
	for _, z := range e.GetZones() {
		zones[z.GetZone()] = true
	}
	return zones
}

// Merge puts a set in force if it is newer, and returns whether it is. from is its source, for the
// log. A nil set, from a host of an earlier version, changes nothing.
func (v *View) Merge(offered *pb.Evacuations, from string) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if offered.GetRevision() <= v.current.GetRevision() {
		return false
	}
	before, zones := v.current, names(offered)
	v.current = offered
	v.metrics.revision.Set(int64(offered.GetRevision()))
	v.metrics.zones.Set(int64(len(zones)))
	v.metrics.changes.Add(1)
	v.logChange(before, offered, from)
	for _, f := range v.onChange {
		f(zones)
	}
	return true
}

// logChange logs each zone whose evacuation began or ended.
func (v *View) logChange(before, now *pb.Evacuations, from string) {
	was, zones := names(before), names(now)
	for _, e := range before.GetZones() {
		if !zones[e.GetZone()] {
			v.event(e.GetZone(), false, before, now, from).Send()
		}
	}
	for _, e := range now.GetZones() {
		if !was[e.GetZone()] {
			v.event(e.GetZone(), true, before, now, from).Str("actor", e.GetActor()).Int64("since_ms", e.GetSinceMs()).Send()
		}
	}
}

func (v *View) event(zone string, evacuated bool, before, now *pb.Evacuations, from string) *zerolog.Event {
	return v.log.Info().Str("event", "evacuation-in-force").Str("zone", zone).Bool("evacuated", evacuated).
		Uint64("revision", now.GetRevision()).Uint64("revision_before", before.GetRevision()).Str("from", from).
		Dur("after_start", time.Since(v.started))
}
