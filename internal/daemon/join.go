package daemon

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// joinEvery is the time between two looks whether this host's replica is outside the
// group.
const joinEvery = time.Second

// keepInGroup has this host's replica take its place in the control group whenever it
// is outside: after a lost disk, under the new id that it drew, or as a new replica.
// Until it holds everything committed it has no vote, and the leader does not report
// it as repaired.
func (d *Daemon) keepInGroup(ctx context.Context) {
	every(ctx, joinEvery, func() {
		if d.replica.Joining() {
			d.joinGroup(ctx)
		}
	})
}

func (d *Daemon) joinGroup(ctx context.Context) {
	self := &pb.Member{Id: d.replica.ID(), Address: d.cfg.Listen.Peers, Host: d.cfg.Host}
	d.tel.Log.Info().Str("event", "replica-joins").Uint64("replica", self.Id).Send()
	if err := d.client.Join(ctx, self); err != nil {
		d.tel.Log.Warn().Str("event", "replica-not-joined").Uint64("replica", self.Id).Err(err).Send()
		return
	}
	d.tel.Log.Info().Str("event", "replica-repaired").Uint64("replica", self.Id).Send()
}
