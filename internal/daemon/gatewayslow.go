package daemon

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controller/slowreaders"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
)

const (
	// serverStallTimeout is how long a server may read nothing of a request.
	serverStallTimeout = 8 * time.Second
	// unlimitedSlowBytes bounds what is held for slow callers and servers by a process without a
	// memory limit.
	unlimitedSlowBytes = 256 << 20
)

// boundSlowReaders bounds what is held for slow callers and servers.
func (g *gateway) boundSlowReaders(client *engineclient.Config) {
	bound := maxBodiesBytes(g.d.cfg.Limits)
	if bound == 0 {
		bound = unlimitedSlowBytes
	}
	g.slow = slowreaders.New(slowreaders.Config{Bound: bound, Log: g.d.tel.Log})
	client.WriteStall, client.ObserveStall = serverStallTimeout, g.slow.ServerStalled
	g.d.tel.Metrics.Set("slow_readers", g.slow.Vars())
}
