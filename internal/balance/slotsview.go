package balance

import (
	"maps"
	"slices"
	"time"
)

// ServiceSlots is what this host knows of the slots of a plain service.
type ServiceSlots struct {
	Service string `json:"service"`
	Pressed bool   `json:"pressed"`
	// SinceMS is how long ago Pressed changed, in milliseconds; 0: never.
	SinceMS int64 `json:"since_ms,omitempty"`
	// Reports is the weight of the recent reports, and FullPart the part of them from full servers.
	Reports float64 `json:"reports"`
	// Rate is the estimated number of requests a second that its servers answer for all hosts; Owned is set
	// while they go through the owner of its servers.
	Rate     float64        `json:"rate"`
	Owned    bool           `json:"owned"`
	FullPart float64        `json:"full_part"`
	Counts   SlotCounts     `json:"counts"`
	Servers  []ServerSlots  `json:"servers"`
	Accounts []AccountSlots `json:"accounts"`
}

// ServerSlots is the last report of a plain server.
type ServerSlots struct {
	Server  string `json:"server"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Slots   int    `json:"slots"`
	// AgeMS is the age of the report in milliseconds; -1: the server has not reported its load.
	AgeMS int64 `json:"age_ms"`
	// Estimate is the estimated number of requests of all hosts there now, Own the number of those that
	// this host knows of.
	Estimate float64 `json:"estimate"`
	Own      int     `json:"own"`
	// FaultPart is the part of its recent answers that were server errors.
	FaultPart float64 `json:"fault_part"`
}

// AccountSlots is the use that an account makes of a plain service through this host.
type AccountSlots struct {
	Account string `json:"account"`
	Running int    `json:"running"`
	// Started is the weight of its recent requests that got a server, Due the part of scarce room that is
	// due to the account among the active ones, and Used the part of the recent requests.
	Started float64 `json:"started"`
	Due     float64 `json:"due"`
	Used    float64 `json:"used"`
}

// SlotsView returns what this host knows of the plain services whose slots it divides, ordered by name.
func (c *Core) SlotsView(now time.Time) []ServiceSlots {
	views := make([]ServiceSlots, 0, len(c.plain))
	for _, name := range slices.Sorted(maps.Keys(c.plain)) {
		views = append(views, c.ServiceSlots(now, name))
	}
	return views
}

// ServiceSlots returns what this host knows of the slots of a plain service.
func (c *Core) ServiceSlots(now time.Time, name string) ServiceSlots {
	p := c.plainService(name)
	e := c.evidence(now, name)
	v := ServiceSlots{Service: name, Pressed: p.pressure.pressed, Reports: e.reports, Counts: p.counts, Rate: c.answerRate(now, name), Owned: p.pressure.pressed && !p.tooMany}
	if e.reports > 0 {
		v.FullPart = e.full / e.reports
	}
	if !p.pressure.since.IsZero() {
		v.SinceMS = now.Sub(p.pressure.since).Milliseconds()
	}
	for _, inst := range c.reg.Serving(name) {
		v.Servers = append(v.Servers, c.server(inst.Incarnation()).slotsView(now, inst.ID))
	}
	for _, account := range slices.Sorted(maps.Keys(p.accounts)) {
		u := p.accounts[account]
		due, used := p.accounts.share(now, u)
		v.Accounts = append(v.Accounts, AccountSlots{Account: account, Running: u.running, Started: u.recent(now), Due: due, Used: used})
	}
	return v
}

func (s *server) slotsView(now time.Time, id string) ServerSlots {
	r := &s.reported
	v := ServerSlots{
		Server: id, Running: r.last.Running, Waiting: r.last.Waiting, Slots: r.last.Slots, AgeMS: -1, Estimate: r.requests(now), Own: s.running,
		FaultPart: r.faultPart(now),
	}
	if !r.at.IsZero() {
		v.AgeMS = now.Sub(r.at).Milliseconds()
	}
	return v
}

// ImplausibleLoads returns the number of reported loads that were ignored.
func (c *Core) ImplausibleLoads() uint64 { return c.implausible }
