package daemon

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/controller/loadviews"
	"github.com/bluebellsail/bluebellsail/internal/loadview"
	"github.com/bluebellsail/bluebellsail/internal/loadview/sources"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/procstat"
)

// loadParts returns what describes this host's load. A part that is switched off has no source.
func (g *gateway) loadParts() *loadview.Collector {
	c := loadview.NewCollector(g.d.cfg.Host, g.d.cfg.Zone)
	c.Register("machine", g.describeMachine)
	if g.link != nil && g.servesCallers() {
		c.Register("link", g.link.describe)
	}
	c.Register("capacity", func(_ string, _ time.Time, into *loadview.Host) { sources.Capacity(g.members.Capacities(), into) })
	if g.servesCallers() {
		c.Register("requests", g.usage.Describe)
	}
	if g.overload().Waits() {
		c.Register("queue", func(service string, _ time.Time, into *loadview.Host) {
			sources.Queue(g.balancer.View(service), g.isEngine, into)
		})
	}
	if g.d.cfg.Routed.Overload.EngineMemory {
		c.Register("engine_memory", func(service string, _ time.Time, into *loadview.Host) {
			sources.EngineMemory(g.balancer.EngineMemory(service), into)
		})
	}
	if g.d.cfg.Routed.Overload.Slots {
		c.Register("slots", func(service string, _ time.Time, into *loadview.Host) {
			sources.Slots(service, g.balancer.SlotsView(), into)
		})
	}
	c.Register("slow_readers", func(_ string, _ time.Time, into *loadview.Host) { sources.SlowReaders(g.slow.View(), into) })
	return c
}

// isEngine reports whether the servers of a service are engines by the routing table in force.
func (g *gateway) isEngine(service string) bool {
	x, err := g.routes.Current()
	if err != nil {
		return false
	}
	s, known := x.Service(service)
	return known && s.Engine != nil
}

// newLoadViews returns what asks all hosts for their load.
func (g *gateway) newLoadViews() *loadviews.Asker {
	return loadviews.New(loadviews.Config{
		Self: g.d.cfg.Host, View: g.loadParts().View, Peers: g.loadPeers, Log: g.d.tel.Log,
		Call: func(ctx context.Context, address string, r *pb.LoadViewRequest) (*pb.LoadViewReply, error) {
			return g.d.pool.Client(address).LoadView(ctx, r)
		},
	})
}

// loadPeers returns the other hosts but those that have left in order.
func (g *gateway) loadPeers() []loadviews.Peer {
	var out []loadviews.Peer
	for _, p := range g.members.Peers() {
		dead := p.Health == pb.HostHealth_HOST_HEALTH_DEAD
		if !dead || !p.Leaving {
			out = append(out, loadviews.Peer{Host: p.Host, Address: p.PeerAddress, Dead: dead})
		}
	}
	return out
}

// loads returns what answers operators' questions about load; nil if this host serves no routed requests.
func (d *Daemon) loads() adminapi.Loads {
	if d.gateway == nil {
		return nil
	}
	return d.gateway.loadViews
}

const (
	bytesPerMegabyte = 1_000_000
	bitsPerKiB       = 8 * 1024
	bitsPerKilobit   = 1000
)

func (g *gateway) describeMachine(_ string, now time.Time, into *loadview.Host) {
	limits := capacityOf(g.d.cfg.Limits)
	m := &into.Machine
	m.Memory = &loadview.Use{Used: int64(procstat.ResidentBytes() / bytesPerMegabyte), Of: int64(limits.MemoryMB)}
	m.Link = &loadview.Use{Used: int64(g.traffic.rate(now)) * bitsPerKiB / bitsPerKilobit, Of: int64(limits.LinkKbps)}
	m.LinkDelayMS = g.d.linkDelay.Delay(now).Milliseconds()
	if used, ok := g.processor.Permille(); ok {
		m.Processor = &loadview.Use{Used: used, Of: int64(limits.ProcessorPermille)}
	}
}
