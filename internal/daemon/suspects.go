package daemon

import (
	"context"

	"github.com/bluebellsail/bluebellsail/internal/controller/news"
	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	quarantinectl "github.com/bluebellsail/bluebellsail/internal/controller/quarantine"
	"github.com/bluebellsail/bluebellsail/internal/controller/ratelimits"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// newGuard creates the guard that quarantines requests that crash servers. It sets the fields of
// cfg that are the same for all kinds of hosts.
func (d *Daemon) newGuard(cfg quarantinectl.Config) *quarantinectl.Guard {
	cfg.Host, cfg.Client, cfg.Store, cfg.Log = d.cfg.Host, d.pool.Client, d.suspectStore(), d.tel.Log
	guard := quarantinectl.New(cfg)
	d.tel.Metrics.Set("quarantine", guard.Metrics())
	return guard
}

// newLimiter creates the limiter that enforces the servers' rate limits. warmupRate returns the rate of
// a service's cold servers and may be nil; broadcast sends a changed limit to all hosts.
func (d *Daemon) newLimiter(o *owners.Table, warmupRate func(string) (float64, bool), broadcast func(*pb.ServerLimit)) *ratelimits.Limiter {
	l := ratelimits.New(ratelimits.Config{
		Host: d.cfg.Host, Owners: o.Unweighted(), Client: d.pool.Client, WarmupRate: warmupRate, Broadcast: broadcast, Log: d.tel.Log,
	})
	d.tel.Metrics.Set("server_limits", l.Metrics())
	d.tel.Metrics.Set("brittle_servers", l.BrittleMetrics())
	return l
}

// suspectStore returns the store of suspects in this host's data folder; nil without a folder.
func (d *Daemon) suspectStore() quarantinectl.Store {
	if d.cfg.DataDir == "" {
		return nil
	}
	return quarantinectl.File{FS: d.files(), Dir: d.cfg.DataDir}
}

// newQuarantine creates the quarantine guard of a gateway.
func (g *gateway) newQuarantine() *quarantinectl.Guard {
	return g.d.newGuard(quarantinectl.Config{
		Incarnation: g.run, Owners: g.owners, Peers: g.syncAddresses, Probe: g.client.Probe,
		Broadcast: func(s *pb.Suspect) { g.news.BroadcastSuspect(s) },
		Replicate: func(ctx context.Context, s *pb.Suspect) error { return g.news.ReplicateSuspect(ctx, s) },
	})
}

// makeQuarantine creates the quarantine guard of an entry host and the broadcaster of its updates.
func (e *entry) makeQuarantine() {
	e.suspects = e.d.newGuard(quarantinectl.Config{
		Incarnation: newRun(e.d.cfg.Host), Owners: e.owners, Peers: e.relayAddresses, Probe: e.client.Probe,
		Broadcast: func(s *pb.Suspect) { e.news.BroadcastSuspect(s) },
		Replicate: func(ctx context.Context, s *pb.Suspect) error { return e.news.ReplicateSuspect(ctx, s) },
	})
	e.news = news.New(news.Config{
		Self: e.d.cfg.PeerAddress(), Peers: e.livePeers, Client: e.d.pool.Client, OnSuspects: e.suspects.HandleUpdates, OnLimits: e.limits.Merge,
		OnServers: func([]*pb.ServerState) {}, OnEvacuations: e.d.mergeEvacuations, FetchTable: func(context.Context, string, uint64) bool { return true }, Log: e.d.tel.Log,
		Holders: func() news.Holders { return newHolders(e.members.Peers()) },
	})
	e.d.tel.Metrics.Set("replication", e.news.Metrics())
}

// asOwner returns this host as an owner of keys; ok is false until it is registered.
func (e *entry) asOwner() (owners.Host, bool) {
	self := e.holder()
	return owners.Host{Name: self.GetHost(), Incarnation: self.GetIncarnation()}, self.GetIncarnation() > 0 && !e.leaving.Load()
}

// livePeers returns the peer addresses of all hosts that are not known to be dead.
func (e *entry) livePeers() []string { return peerAddresses(e.members.Peers(), anyPeer) }
