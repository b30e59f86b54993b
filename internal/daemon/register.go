package daemon

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/controller/grants"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
	"github.com/bluebellsail/bluebellsail/internal/procstat"
)

// registerTimeout bounds one attempt; attempts go on until the process is stopped.
const registerTimeout = 5 * time.Second

// registerPause bounds the pause between attempts. A host that serves nobody must not
// wait out a long backoff after the control group is back.
const registerPause = 500 * time.Millisecond

// register gets this run's incarnation from the control group. A host that reaches
// no quorum waits here and serves nobody: without an incarnation of its own it could
// spend what its former run held.
func (d *Daemon) register(ctx context.Context) (*pb.RegisterHostResult, error) {
	started, startedWall := procstat.Started, d.wall().Add(-time.Since(procstat.Started)).UnixMilli()
	// bootID makes a resend after a lost answer give the same incarnation.
	bootID := rand.Text()
	attempt := func() (*pb.RegisterHostResult, error) {
		tryCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		defer cancel()
		// The age is that of the moment of sending. What goes wrong when it is that of the first
		// try: a control group that elects its leader meanwhile takes the time for one in which
		// the former run may have lived on without contact, and counts more as spent.
		res, err := d.client.ProposeFunc(tryCtx, func() *pb.Command {
			return &pb.Command{Actor: d.cfg.Host, Body: &pb.Command_RegisterHost{RegisterHost: &pb.RegisterHost{
				Host: d.cfg.Host, Zone: d.cfg.Zone, CallerAddress: d.callerAddress(),
				PeerAddress: d.cfg.PeerAddress(), BootId: bootID, Control: d.cfg.Has(procconfig.RoleControl),
				AgeMs: time.Since(started).Milliseconds(), WallMs: startedWall,
			}}}
		})
		if err != nil {
			d.tel.Log.Warn().Str("event", "not-registered").Err(err).Send()
			return nil, err
		}
		return res.GetRegisterHost(), nil
	}
	pause := backoff.NewExponentialBackOff()
	pause.MaxInterval = registerPause
	res, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return nil, errors.Wrap(err, "register this host")
	}
	d.tel.Log.Info().Str("event", "registered").Uint64("incarnation", res.GetHolder().GetIncarnation()).Send()
	d.tellFormerRun(res.GetFormer())
	return res, nil
}

// tellFormerRun logs what this host's former run still held, budget by budget. What was not
// freed counts as spent from now on: refusals of a budget with tokens left trace back to it.
func (d *Daemon) tellFormerRun(former *pb.FormerRun) {
	for _, g := range former.GetGrants() {
		stranded := g.GetOpen() + g.GetReserve() - g.GetFreed()
		d.tel.Log.Info().Str("event", "former-run").Str("budget", g.GetBudget()).Uint64("incarnation", former.GetIncarnation()).
			Int64("without_contact", former.GetWithoutContactMs()).Uint64("open", g.GetOpen()).
			Uint64("reserve", g.GetReserve()).Uint64("freed", g.GetFreed()).Uint64("stranded", stranded).Send()
		grants.CountStranded(stranded)
	}
}

// callerAddress is where callers reach this host; empty if they don't.
func (d *Daemon) callerAddress() string {
	if d.cfg.Routed != nil {
		return d.cfg.Routed.CallerAddress()
	}
	return d.cfg.Listen.Callers
}
