package balancer

import (
	"expvar"
	"fmt"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/instance"
)

// Owned reports whether requests for a plain service go through the owner of its servers, since it has less
// room than its callers want, as far as this host hears.
func (b *Balancer) Owned(service string) bool {
	owned, changed := b.owned(service)
	if changed != nil {
		b.logPressure(changed)
	}
	return owned
}

func (b *Balancer) logPressure(view *balance.ServiceSlots) {
	event := "service-relieved"
	if view.Pressed {
		event = "service-pressed"
	}
	line := b.cfg.Log.Info().Str("event", event).Str("service", view.Service).Float64("reports", view.Reports).Float64("full_part", view.FullPart).
		Float64("rate", view.Rate).Bool("owned", view.Owned).Uint64("no_room", view.Counts.NoRoom).Uint64("too_late", view.Counts.TooLate)
	var servers []string
	for _, s := range view.Servers[:min(len(view.Servers), maxLoggedServers)] {
		servers = append(servers, fmt.Sprintf("%s:%d+%d/%d@%dms", s.Server, s.Running, s.Waiting, s.Slots, s.AgeMS))
	}
	line.Strs("servers", servers).Send()
}

// maxLoggedServers bounds the servers whose reports are logged with a change of a service.
const maxLoggedServers = 8

// owned also returns the view of the service if it has become pressed or was relieved.
func (b *Balancer) owned(service string) (owned bool, changed *balance.ServiceSlots) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	_, news := b.core.Pressed(now, service)
	owned = b.core.Owned(now, service)
	if !news {
		return owned, nil
	}
	v := b.core.ServiceSlots(now, service)
	return owned, &v
}

// ReportRefusal records that the owner of a plain service's servers had no room for a request.
func (b *Balancer) ReportRefusal(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.ReportRefusal(time.Now(), service)
}

// ReportLoad records the load that a server has reported. Loads that can't be true are ignored and
// logged once per incarnation.
func (b *Balancer) ReportLoad(inc instance.Incarnation, load balance.Load) {
	if b.reportLoad(inc, load) {
		return
	}
	b.metrics.badReports.Add(1)
	if b.implausible.First(inc) {
		b.cfg.Log.Warn().Str("event", "server-load-implausible").Str("server", inc.ID).Uint64("incarnation", inc.Started).
			Int("running", load.Running).Int("waiting", load.Waiting).Int("slots", load.Slots).Send()
	}
}

func (b *Balancer) reportLoad(inc instance.Incarnation, load balance.Load) (plausible bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	plausible = b.core.ReportLoad(now, inc, load)
	b.step(now)
	return plausible
}

// SlotsView returns what this host knows of the slots of plain services; see balance.Core.
func (b *Balancer) SlotsView() []balance.ServiceSlots {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.SlotsView(time.Now())
}

// SlotMetrics returns the slots of plain services as metrics.
func (b *Balancer) SlotMetrics() expvar.Var {
	return expvar.Func(func() any {
		return struct {
			ImplausibleLoads uint64                 `json:"implausible_loads"`
			Services         []balance.ServiceSlots `json:"services"`
		}{b.implausibleLoads(), b.SlotsView()}
	})
}

func (b *Balancer) implausibleLoads() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ImplausibleLoads()
}
