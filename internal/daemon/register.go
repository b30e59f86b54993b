package daemon

import (
	"context"
	cryptorand "crypto/rand"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/controller/grants"
	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
	"github.com/bluebellsail/bluebellsail/internal/procstat"
)

// registerTimeout bounds one attempt. Attempts are repeated until the process is stopped.
const registerTimeout = 5 * time.Second

// registerPause bounds the backoff between attempts. A host that can't serve yet must not
// wait for a long backoff to end after the control group is back.
const registerPause = 500 * time.Millisecond

// register gets this host's incarnation from the control group. A host that reaches no
// quorum waits here and serves no callers: without an incarnation of its own it could spend
// what its former incarnation held.
func (d *Daemon) register(ctx context.Context) (*pb.RegisterHostResult, error) {
	started, startedWall := procstat.Started, d.wall().Add(-time.Since(procstat.Started)).UnixMilli()
	// bootID makes the registration idempotent: a resend after a lost answer gets the same
	// incarnation.
	bootID := cryptorand.Text()
	attempt := func() (*pb.RegisterHostResult, error) {
		tryCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		defer cancel()
		// The age is computed when the command is sent, not at the first attempt. Otherwise, if
		// the control group elects a leader meanwhile, the ledger counts that time as one in which
		// the former incarnation may still have run without contact, and more tokens as spent.
		res, err := d.client.ProposeFunc(tryCtx, func() *pb.Command {
			return &pb.Command{Actor: d.cfg.Host, Body: &pb.Command_RegisterHost{RegisterHost: &pb.RegisterHost{
				Host: d.cfg.Host, Zone: d.cfg.Zone, CallerAddress: d.callerAddress(),
				PeerAddress: d.cfg.PeerAddress(), BootId: bootID, Control: d.cfg.Has(procconfig.RoleControl),
				AgeMs: time.Since(started).Milliseconds(), WallMs: startedWall,
			}}}
		})
		if err != nil {
			d.logNotRegistered(err)
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
	d.logFormerRun(res.GetFormer())
	return res, nil
}

// logNotRegistered logs that an attempt to register has failed, and whether this host knows control hosts that it can ask.
func (d *Daemon) logNotRegistered(err error) {
	event := d.tel.Log.Warn().Str("event", "not-registered")
	if g := d.gateway; g != nil {
		peers, seeds := g.members.Peers(), *g.seeds.Load()
		event.Int("hosts", len(peers)).Int("control_hosts", len(g.controlAddresses())).Int("seeds", len(seeds)).Int("seeds_heard", heardSeeds(seeds, peers))
	}
	event.Err(err).Send()
}

// heardSeeds counts the seeds that are in the view of the fleet.
func heardSeeds(seeds []string, peers []members.PeerInfo) (n int) {
	for _, seed := range seeds {
		if slices.ContainsFunc(peers, func(p members.PeerInfo) bool { return p.PeerAddress == seed }) {
			n++
		}
	}
	return n
}

// learnHosts reads the registered hosts in turn, to find peers that are neither seeds nor known from
// heartbeats.
func (d *Daemon) learnHosts(ctx context.Context, merge func([]*pb.HostInfo)) {
	after, pause := uint64(0), learnMorePause+rand.N(learnMorePause)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = learnEvery
		readCtx, cancel := context.WithTimeout(ctx, learnTimeout)
		if hosts, err := (group{d.client}).HostsAfter(readCtx, after); err == nil {
			after = lastIncarnation(after, hosts)
			merge(hosts)
			if len(hosts) >= manyHosts {
				pause = learnMorePause + rand.N(learnMorePause)
			}
		}
		cancel()
	}
}

// lastIncarnation returns the latest incarnation of the hosts, or after if that is later.
func lastIncarnation(after uint64, hosts []*pb.HostInfo) uint64 {
	for _, h := range hosts {
		after = max(after, h.GetIncarnation())
	}
	return after
}

// logFormerRun logs what this host's former incarnation still held of each budget. What was
// not freed counts as spent from now on. These lines explain why a budget that seems to have
// tokens left is exhausted.
func (d *Daemon) logFormerRun(former *pb.FormerRun) {
	for _, g := range former.GetGrants() {
		stranded := g.GetOpen() + g.GetReserve() - g.GetFreed()
		d.tel.Log.Info().Str("event", "former-run").Str("budget", g.GetBudget()).Uint64("incarnation", former.GetIncarnation()).
			Int64("without_contact", former.GetWithoutContactMs()).Uint64("open", g.GetOpen()).
			Uint64("reserve", g.GetReserve()).Uint64("freed", g.GetFreed()).Uint64("stranded", stranded).Send()
		grants.CountStranded(stranded)
	}
}

// callerAddress returns the address at which callers reach this host; empty if it serves no
// callers.
func (d *Daemon) callerAddress() string {
	if d.cfg.Routed != nil {
		return d.cfg.Routed.CallerAddress()
	}
	return d.cfg.Listen.Callers
}
