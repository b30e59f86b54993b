package daemon

import (
	quarantinectl "github.com/bluebellsail/bluebellsail/internal/controller/quarantine"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wal"
)

// newSuspects makes what keeps requests from servers that crash under them.
func (g *gateway) newSuspects() *quarantinectl.Guard {
	guard := quarantinectl.New(quarantinectl.Config{
		Host: g.d.cfg.Host, Run: g.run, Owners: g.owners, Client: g.d.pool.Client, Peers: g.sourceAddresses,
		Tell:    func(s *pb.Suspect) { g.news.Suspect(s) },
		Answers: g.client.Answers, Store: g.d.suspectStore(), Log: g.d.tel.Log,
	})
	g.d.tel.Metrics.Set("quarantine", guard.Metrics())
	return guard
}

// suspectStore is in this host's data folder; nil without one.
func (d *Daemon) suspectStore() quarantinectl.Store {
	if d.cfg.DataDir == "" {
		return nil
	}
	fs := d.env.Files
	if fs == nil {
		fs = wal.OS{}
	}
	return quarantinectl.File{FS: fs, Dir: d.cfg.DataDir}
}
