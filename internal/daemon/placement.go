package daemon

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/controller/placement"
	"github.com/bluebellsail/bluebellsail/internal/controller/scheduler"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// usableServers are the backend servers that may get orders: announced, not lapsed.
type usableServers struct{ s *scheduler.Scheduler }

// Servers implements placement.Servers.
func (u usableServers) Servers() []*pb.ServerState {
	var out []*pb.ServerState
	for _, server := range u.s.Servers() {
		if server.Leaving || u.s.Usable(server.Address) {
			out = append(out, server)
		}
	}
	return out
}

// noLeadership is that of a host without a replica: it never orders by itself.
type noLeadership struct{}

// Leading implements placement.Leadership.
func (noLeadership) Leading() (uint64, time.Time, bool) { return 0, time.Time{}, false }

// newPlacement makes the controller of model placement. It plans only where the
// control group's leader runs beside an entry host, which hears the announcements.
func (e *entry) newPlacement() *placement.Controller {
	cfg := placement.Config{
		Leadership: noLeadership{}, Proposer: group{e.d.client}, Servers: usableServers{e.sched},
		Settings: e.d.settings, Actor: e.d.cfg.Host, Log: e.d.tel.Log, Metrics: e.d.tel.Metrics,
	}
	if e.d.replica != nil {
		cfg.Leadership = e.d.replica
	}
	return placement.New(cfg)
}

// orders sends operators' orders to backend servers.
func (d *Daemon) orders() adminapi.Orders {
	if d.entry == nil {
		return nil
	}
	return placement.NewOperatorOrders(d.entry.placement, group{d.client})
}
