// Package placement runs the placement of models on backend servers: on the leader of
// the control group it commits the orders that internal/placement plans, each of which
// gets a fencing number, and sends them to the servers by HTTP.
package placement

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/placement"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/telemetry"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// DefaultInterval is the time between two comparisons of the placement rules with the
// announced servers.
const DefaultInterval = time.Second

// Leadership reports whether this process leads the control group with a valid lease.
type Leadership interface {
	// Leading returns the term and when it began at this process; ok is false without a valid
	// lease.
	Leading() (term uint64, since time.Time, ok bool)
}

// Proposer commits a command in the control group. If the group rejects the command, the
// error is in the result or is returned.
type Proposer interface {
	Propose(ctx context.Context, cmd *pb.Command) (*pb.CommandResult, error)
}

// Servers returns the announced backend servers, without those whose announcements have
// lapsed.
type Servers interface {
	Servers() []*pb.ServerState
}

// Settings returns the fleet's settings in force.
type Settings interface {
	Fleet() settings.Fleet
}

// Config configures a Controller.
type Config struct {
	Planner    placement.Config
	Interval   time.Duration
	Leadership Leadership
	Proposer   Proposer
	Servers    Servers
	Settings   Settings
	// Client sends the orders. The default client uses no keep-alive connections, so that an
	// order is never stuck in a stalled one, and follows no redirects.
	Client *http.Client
	// Actor identifies this host in the log of the control group.
	Actor   string
	Log     zerolog.Logger
	Metrics *telemetry.Metrics
}

// Controller commits and sends placement orders. It is safe for concurrent use.
type Controller struct {
	cfg Config

	mu      sync.Mutex
	planner *placement.Planner
}

// New returns a Controller. It gives no orders before Run is called.
func New(cfg Config) *Controller {
	defaults.Set(&cfg.Interval, DefaultInterval)
	defaults.Set(&cfg.Planner.OrderTimeout, placement.DefaultOrderTimeout)
	if cfg.Client == nil {
		cfg.Client = &http.Client{
			Transport:     engineclient.New(engineclient.Config{}).OneShot(),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = telemetry.NewMetrics()
	}
	return &Controller{cfg: cfg, planner: placement.NewPlanner(cfg.Planner)}
}

// Run gives orders until ctx ends, and then waits for the orders in flight.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.cfg.Interval)
	defer ticker.Stop()
	var orders sync.WaitGroup
	defer orders.Wait()
	for {
		for _, o := range c.step() {
			orders.Go(func() { c.execute(ctx, o) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Blocked returns the rules that aren't met and the reasons why no order is given for
// them. It is empty on processes that don't lead.
func (c *Controller) Blocked() []placement.Blocked {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.Blocked()
}

func (c *Controller) step() []placement.Order {
	lead := c.leadership()
	fleet := c.cfg.Settings.Fleet()
	servers := c.cfg.Servers.Servers()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.Step(placement.Input{
		Now:        time.Now(),
		Leadership: lead,
		Rules:      fleet.Placement,
		StoreRate:  fleet.WeightStoreBytesPerSecond,
		Servers:    servers,
	})
}

func (c *Controller) leadership() placement.Leadership {
	term, since, ok := c.cfg.Leadership.Leading()
	return placement.Leadership{Term: term, Since: since, OK: ok}
}

// execute commits an order, sends it and records the result.
func (c *Controller) execute(ctx context.Context, o placement.Order) {
	result, fence, err := c.commitAndSend(ctx, o)
	c.mu.Lock()
	c.planner.RecordResult(time.Now(), o, result)
	c.mu.Unlock()
	c.cfg.Metrics.Orders.Add(1)
	event := c.cfg.Log.Info()
	if result != placement.Accepted {
		c.cfg.Metrics.OrdersFailed.Add(1)
		event = c.cfg.Log.Warn().Err(err)
	}
	event.Str("server", o.Server).Str("verb", string(o.Verb)).Str("model", o.Model).Str("adapter", o.Adapter).
		Str("role", o.Role).Uint64("term", o.Term).Uint64("fence", fence).Str("result", result.String()).Msg("order")
}

func (c *Controller) commitAndSend(ctx context.Context, o placement.Order) (placement.Result, uint64, error) {
	fence, err := c.commit(ctx, o)
	if err != nil {
		return placement.NotSent, 0, err
	}
	sendCtx, cancel := context.WithTimeout(ctx, c.cfg.Planner.OrderTimeout)
	defer cancel()
	// The lease is checked after the deadline is set, so that the next leader's handover wait,
	// which counts from the end of the lease, covers the whole order.
	if !c.leadership().Allows(o) {
		return placement.NotSent, fence, errkind.New(errkind.StaleFence, "term %d has ended", o.Term)
	}
	result, err := c.send(sendCtx, o, fence)
	return result, fence, err
}

func (c *Controller) commit(ctx context.Context, o placement.Order) (fence uint64, err error) {
	commitCtx, cancel := context.WithTimeout(ctx, c.cfg.Planner.OrderTimeout)
	defer cancel()
	result, err := c.cfg.Proposer.Propose(commitCtx, c.command(o))
	if err != nil {
		return 0, err
	}
	if err := wire.DecodeError(result.GetError()); err != nil {
		return 0, err
	}
	fence = result.GetPlaceOrder().GetFence()
	if fence == 0 {
		return 0, errkind.New(errkind.Internal, "the control group returned no fencing number")
	}
	return fence, nil
}
