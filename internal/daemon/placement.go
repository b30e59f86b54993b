package daemon

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/controller/placement"
	"github.com/bluebellsail/bluebellsail/internal/controller/scheduler"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// usableServers lists the backend servers that may get placement orders: the usable ones and
// those that are leaving.
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

// noLeadership is the leadership of a host without a replica, which never plans placements.
type noLeadership struct{}

// Leading implements placement.Leadership.
func (noLeadership) Leading() (uint64, time.Time, bool) { return 0, time.Time{}, false }

// newPlacement creates the controller of model placement. It plans only on a host that has
// both the control group's leader and the role entry, which receives the announcements.
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

// orders returns the sender of operators' orders to backend servers; nil on a host without
// the role entry.
func (d *Daemon) orders() adminapi.Orders {
	if d.entry == nil {
		return nil
	}
	return placement.NewOperatorOrders(d.entry.placement, group{d.client})
}
