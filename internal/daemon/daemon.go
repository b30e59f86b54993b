package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/apply"
	"github.com/bluebellsail/bluebellsail/internal/bootclock"
	"github.com/bluebellsail/bluebellsail/internal/control"
	"github.com/bluebellsail/bluebellsail/internal/controlclient"
	"github.com/bluebellsail/bluebellsail/internal/controller/evacuations"
	settingsctl "github.com/bluebellsail/bluebellsail/internal/controller/settings"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/lastrun"
	"github.com/bluebellsail/bluebellsail/internal/linkdelay"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/peerconn"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
	"github.com/bluebellsail/bluebellsail/internal/procstat"
	"github.com/bluebellsail/bluebellsail/internal/telemetry"
	"github.com/bluebellsail/bluebellsail/internal/wal"
)

// Daemon is one process.
type Daemon struct {
	cfg  *procconfig.Config
	env  Environment
	tel  *telemetry.Telemetry
	tls  *certificates
	logs closer

	// linkDelay is estimated from round trips to other hosts and to servers.
	linkDelay linkdelay.Estimator
	// link decides who uses the network link; nil unless the settings call for it.
	link *link
	// calls counts the calls between processes.
	calls     *callCount
	pool      *peerconn.Pool
	transport *control.GRPCTransport
	replica   *control.Replica
	client    *controlclient.Client
	settings  *settingsctl.Controller
	peers     *peerServer
	operators *operatorServer
	// evacuations are the evacuated availability zones that this host knows.
	evacuations *evacuations.View
	entry       *entry
	gateway     *gateway

	tasks *tasks
	// watch detects pauses of this process.
	watch   *procstat.Watch
	lastRun lastrun.Run
}

// Environment is what a process uses of its machine. The zero value uses the real file
// system and clock; tests of failures replace them.
type Environment struct {
	// Files is the file system of the replica's log and snapshots; nil means the machine's.
	Files wal.FS
	// Wall reads the wall clock; nil means time.Now.
	Wall func() time.Time
	// ServerDial wraps the function that opens direct connections to backend servers; nil means that
	// it is used as it is.
	ServerDial func(engineclient.DialFunc) engineclient.DialFunc
}

// directDial returns the function that opens direct connections to backend servers.
func (d *Daemon) directDial(cfg engineclient.Config) engineclient.DialFunc {
	dial := engineclient.Direct(cfg)
	if d.env.ServerDial == nil {
		return dial
	}
	return d.env.ServerDial(dial)
}

// wall reads the wall clock.
func (d *Daemon) wall() time.Time {
	if d.env.Wall == nil {
		return time.Now()
	}
	return d.env.Wall()
}

// steady reads the clock for leases and for the age of what other hosts have confirmed. It is never set, and goes on while
// the machine is suspended.
func steady() time.Time { return bootclock.Now() }

// Run starts the process and serves until ctx ends; then it shuts down gracefully.
func Run(ctx context.Context, cfg *procconfig.Config) error {
	if cfg.Routed != nil {
		return errors.New("the settings have a part /routed, which bluebellsaild does not support: it needs a program that implements the callers' protocol")
	}
	return run(ctx, cfg, Environment{}, (*Daemon).start)
}

func run(ctx context.Context, cfg *procconfig.Config, env Environment, start func(*Daemon, context.Context) error) (err error) {
	ignoreBrokenPipe()
	d, err := build(cfg, env)
	if err != nil {
		return err
	}
	defer d.close()
	defer func() { d.logExit(err) }()
	if err := start(d, ctx); err != nil {
		return err
	}
	d.tel.Log.Info().Str("event", "serving").Str("callers", cfg.Listen.Callers).
		Str("operators", cfg.Listen.Operators).Str("peers", cfg.Listen.Peers).Send()
	select {
	case <-ctx.Done():
	case <-d.replicaStopped():
		d.awaitDisk(ctx)
		return errors.Wrap(d.replica.Err(), "the replica stopped")
	case <-d.tasks.failed:
		d.tel.Log.Error().Str("event", "ending-after-a-fault").Err(d.tasks.err).Send()
		_ = d.shutDown() // the error has been logged
		return d.tasks.err
	}
	return d.shutDown()
}

// build creates the parts that every role has. It sends nothing yet.
func build(cfg *procconfig.Config, env Environment) (*Daemon, error) {
	d := &Daemon{cfg: cfg, env: env}
	if err := d.openTelemetry(); err != nil {
		return nil, err
	}
	d.tasks = newTasks(d.tel.Log)
	d.watchProcess()
	d.logStart()
	certs, err := loadCertificates(cfg, d.tel.Log)
	if err != nil {
		d.close()
		return nil, err
	}
	d.tls = certs
	if d.link = newLink(cfg, &d.linkDelay); d.link != nil {
		d.tel.Metrics.Set("link", &d.link.vars)
	}
	if d.calls = d.link.calls(); d.calls == nil {
		d.calls = new(callCount)
	}
	d.tel.Metrics.Set("calls", d.calls.vars())
	d.pool = peerconn.New(peerconn.Config{
		Fleet: peerconn.Fleet(cfg.Fleet), Credentials: certs.peerCredentials(), Stats: d.tel.ClientStats(), Log: d.tel.Log,
		OnReplaced: func(string) { d.tel.Metrics.SilentConnections.Add(1) }, Dial: d.dialer(),
		ObserveCall: d.observeRoundTrip, Counter: d.calls,
	})
	if err := d.openReplica(); err != nil {
		d.close()
		return nil, err
	}
	d.client = controlclient.New(memberAddresses(cfg), d.dialOptions(), d.replica)
	d.evacuations = evacuations.New(d.tel.Log)
	d.tel.Metrics.Set("evacuations", d.evacuations.Metrics())
	d.settings = settingsctl.New(d.client, d.tel.Log, steady)
	d.settings.SetEvacuations(d.evacuations)
	return d, nil
}

// observeRoundTrip records a round trip to another host or to a server that has just ended.
func (d *Daemon) observeRoundTrip(took time.Duration) {
	now := time.Now()
	d.link.observeRoundTrip(now)
	d.linkDelay.Observe(now, took)
}

// start starts the parts in the order that the package documentation gives.
func (d *Daemon) start(ctx context.Context) error {
	d.peers = newPeerServer(d)
	if err := d.peers.start(d.tasks); err != nil {
		return err
	}
	d.tasks.run("settings", d.settings.Run)
	if d.replica != nil && !d.cfg.Control.ManualRepair {
		d.tasks.run("maintain membership", d.maintainMembership)
	}
	if d.cfg.Has(procconfig.RoleEntry) {
		d.entry = newEntry(d)
		d.client.SetRelays(d.entry.relayAddresses)
	}
	d.operators = newOperatorServer(d)
	if err := d.operators.start(); err != nil {
		return err
	}
	if d.entry == nil {
		return nil
	}
	return d.entry.start(ctx)
}

// openReplica opens this host's replica of the control group, if it has one.
func (d *Daemon) openReplica() error {
	if !d.cfg.Has(procconfig.RoleControl) {
		return nil
	}
	d.transport = control.NewGRPCTransport(d.cfg.PeerAddress(), d.tel.Log, d.dialOptions()...)
	members := make([]control.Member, 0, len(d.cfg.Control.Members))
	for _, m := range d.cfg.Control.Members {
		members = append(members, control.Member{ID: m.ID, Address: m.Address, Host: m.Host})
	}
	join := d.cfg.Control.Join
	if len(d.cfg.Seeds) > 0 {
		// The replicas that form the group agree on IDs without exchanging messages, since
		// all of them know the same addresses.
		for _, address := range d.cfg.Founders() {
			members = append(members, control.Member{Address: address, Host: address})
		}
		join = len(members) == 0
	}
	replica, err := control.Open(control.Config{
		Fleet: d.cfg.Fleet, Host: d.cfg.Host, ReplicaAddress: d.cfg.PeerAddress(), DataDir: d.cfg.DataDir,
		Members: members, Join: join, FirstStart: d.cfg.Control.Bootstrap, PromoteLearners: !d.cfg.Control.ManualRepair,
		EnoughVoters: d.cfg.Control.EnoughVoters(),
		TickInterval: d.cfg.Control.Tick.Std(), ElectionTicks: d.cfg.Control.ElectionTicks,
		LogBytes:     d.cfg.Control.MaxLogBytes,
		StateMachine: apply.New(apply.Options{}), Transport: d.transport, Logger: d.tel.Log,
		FS: d.env.Files, Wall: d.env.Wall, Now: steady,
	})
	if err != nil {
		return errors.Wrap(err, "open the replica")
	}
	d.replica = replica
	d.tel.Metrics.Set("control", replica.Vars())
	return nil
}

// replicaStopped returns a channel that is closed when the replica can't continue; nil
// without a replica.
func (d *Daemon) replicaStopped() <-chan struct{} {
	if d.replica == nil {
		return nil
	}
	return d.replica.Done()
}

// shutDown stops the parts in the order that the package documentation gives, within the
// drain timeout.
func (d *Daemon) shutDown() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.Limits.DrainTimeout.Std())
	defer cancel()
	d.tel.Log.Info().Str("event", "leaving").Dur("within", d.cfg.Limits.DrainTimeout.Std()).Send()
	var err error
	switch {
	case d.entry != nil:
		err = d.entry.drain(ctx)
	case d.gateway != nil:
		err = d.gateway.drain(ctx)
	}
	d.tel.Log.Info().Str("event", "left").AnErr("error", err).Send()
	return err
}

// close stops everything that build and start started; any part may be missing.
func (d *Daemon) close() {
	if d.operators != nil {
		d.operators.stop()
	}
	if d.gateway != nil {
		d.gateway.close()
	}
	if d.tasks != nil {
		d.tasks.stop()
	}
	if d.peers != nil {
		d.peers.stop()
	}
	if d.client != nil {
		d.client.Close()
	}
	if d.replica != nil {
		_ = d.replica.Close()
	}
	if d.transport != nil {
		d.transport.Close()
	}
	if d.pool != nil {
		_ = d.pool.Close()
	}
	d.closeTelemetry()
}

// memberAddresses returns the peer addresses that are tried first to reach the control
// group's replicas.
func memberAddresses(cfg *procconfig.Config) []string {
	out := cfg.SeedPeers()
	for _, m := range cfg.Control.Members {
		out = append(out, m.Address)
	}
	return out
}

// self returns this host with its incarnation, which is 0 before registration.
func (d *Daemon) self() *pb.Holder {
	switch {
	case d.entry != nil:
		return d.entry.holder()
	case d.gateway != nil:
		return d.gateway.holder()
	}
	return &pb.Holder{Host: d.cfg.Host}
}
