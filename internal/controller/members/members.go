// Package members runs the membership of hosts: it exchanges heartbeats with peers,
// carries the backend servers' states and the settings revisions along, and answers
// which hosts live and which addresses callers should use. What is decided stands in
// package membership.
package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/membership"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/telemetry"
)

// DefaultTimeout is how long a heartbeat's reply is waited for.
const DefaultTimeout = 250 * time.Millisecond

// Registry is the host's registry of backend servers.
type Registry interface {
	// Servers returns the states to pass on.
	Servers() []*pb.ServerState
	// Merge takes states that another host passed on. transit is how long they were on
	// their way at most, or backend.TransitUnknown.
	Merge(servers []*pb.ServerState, transit time.Duration)
	// RecentWork returns what this host sent to each server since its last report.
	RecentWork() []*pb.RecentWork
	// MergeWork replaces what is known of another host's recent work.
	MergeWork(from *pb.Holder, work []*pb.RecentWork)
}

// Limits knows the rate limits that servers name.
type Limits interface {
	// Limits returns some of those in force.
	Limits() []*pb.ServerLimit
	// Merge takes those that another host knows.
	Merge([]*pb.ServerLimit)
}

// Peers gives clients of the Peer service; *peerconn.Pool implements it.
type Peers interface {
	Client(address string) pb.PeerClient
}

// Load is what this host tells of itself with each heartbeat.
type Load struct {
	// SparePermille is its spare room in thousandths.
	SparePermille uint32
	// Traffic is what its callers send and get, in KiB a second.
	Traffic uint32
	// ConfigRevision is the settings revision in force here.
	ConfigRevision uint64
}

// Config of a Controller.
type Config struct {
	// Membership of this host; its Interval is the time between heartbeats.
	Membership membership.Config
	// Seed of the random choices; distinct per process.
	Seed uint64
	// Timeout of a heartbeat; below the interval. Default DefaultTimeout.
	Timeout  time.Duration
	Peers    Peers
	Registry Registry
	// Load is asked once per interval; nil: no load is told.
	Load func() Load
	// Limits has what this host knows of servers' rate limits go with its heartbeats; nil: nothing.
	Limits Limits
	// OnTick is called at each tick of the interval, with its time; nil: nothing.
	OnTick  func(time.Time)
	Log     zerolog.Logger
	Metrics *telemetry.Metrics
}

// PeerInfo is what is known of one other host.
type PeerInfo struct {
	Host           string
	Incarnation    uint64
	Zone           string
	PeerAddress    string
	CallerAddress  string
	Health         pb.HostHealth
	Leaving        bool
	ConfigRevision uint64
	SparePermille  uint32
	// Control: the host runs a replica of the control group.
	Control bool
}

// Controller exchanges heartbeats. It is safe for concurrent use.
type Controller struct {
	cfg  Config
	kick chan struct{}
	// peers is the present view, for readers that must not wait.
	peers atomic.Pointer[[]PeerInfo]

	mu    sync.Mutex
	table *membership.Table
	delta *membership.ServerDelta
	// transitTracker bounds the time that heartbeats were on their way; start is the zero of
	// this host's clock in them.
	transitTracker *transitTracker
	start    time.Time
	// published is the table's count of changes that peers shows.
	published uint64
}

// New returns a controller that doesn't send yet.
func New(cfg Config) *Controller {
	defaults.Set(&cfg.Timeout, DefaultTimeout)
	defaults.Set(&cfg.Membership.Interval, membership.DefaultInterval)
	if cfg.Metrics == nil {
		cfg.Metrics = telemetry.NewMetrics()
	}
	c := &Controller{
		cfg:   cfg,
		kick:  make(chan struct{}, 1),
		table: membership.New(cfg.Membership, rand.New(rand.NewPCG(cfg.Seed, 0))),
		delta: membership.NewServerDelta(),

		transitTracker: newTransitTracker(),
		start:    time.Now(),
	}
	c.publish()
	return c
}

// Run sends heartbeats until ctx ends, and then waits for those in flight.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.cfg.Membership.Interval)
	defer ticker.Stop()
	var beats sync.WaitGroup
	defer beats.Wait()
	for {
		for _, b := range c.tick() {
			beats.Go(func() {
				defer panics.Log(c.cfg.Log, "heartbeat")
				c.send(ctx, b)
			})
		}
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.notifyTick(now)
		case <-c.kick:
		}
	}
}

func (c *Controller) notifyTick(now time.Time) {
	if c.cfg.OnTick != nil {
		c.cfg.OnTick(now)
	}
}

// Leave marks this host as leaving and tells its peers at once.
func (c *Controller) Leave() {
	c.mu.Lock()
	c.table.Leave()
	c.mu.Unlock()
	c.Kick()
}

// Kick sends a round of heartbeats now: this host has heard something that its peers
// must not learn a whole interval later.
func (c *Controller) Kick() {
	select {
	case c.kick <- struct{}{}:
	default: // a heartbeat is about to go out
	}
}

// SetIncarnation sets the incarnation that the control group gave this run.
// Heartbeats before it are answered but tell nothing of this host.
func (c *Controller) SetIncarnation(n uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetIncarnation(n)
}

// SetSeeds replaces the peer addresses to contact while their hosts are not known.
func (c *Controller) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetSeeds(seeds)
}

// MergeRegistered takes the hosts registered with the control group.
func (c *Controller) MergeRegistered(hosts []*pb.HostInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Learn(hosts)
	c.publish()
}

// Peers returns what is known of the other hosts, ordered by name. It must not be changed.
func (c *Controller) Peers() []PeerInfo { return *c.peers.Load() }

// Addresses answers a caller of the given availability zone; see membership.Table.
func (c *Controller) Addresses(zone string, ttl time.Duration) []membership.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Addresses(time.Now(), zone, ttl)
}

// Share answers a caller with its share of the fleet; see membership.Table.
func (c *Controller) Share(zone, caller string, n int, ttl time.Duration) []membership.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Share(time.Now(), zone, caller, n, ttl)
}

// HandleHeartbeat takes a peer's heartbeat and returns the reply. The reply carries no
// backend servers: this host's own heartbeats bring them, and their replies show that
// they arrived.
func (c *Controller) HandleHeartbeat(m *pb.HeartbeatRequest) *pb.HeartbeatReply {
	c.cfg.Registry.Merge(m.GetServers(), c.transitOf(m))
	if c.cfg.Limits != nil {
		c.cfg.Limits.Merge(m.GetLimits())
	}
	if m.GetFrom().GetIncarnation() > 0 {
		c.cfg.Registry.MergeWork(m.GetFrom(), m.GetRecent())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.ReceiveRequest(m)
	c.delta.Has(m.GetFrom(), m.GetServers())
	state := c.table.Reply(m.GetFrom().GetHost())
	c.publishChanges()
	reply := &pb.HeartbeatReply{From: state.GetFrom(), Seq: m.GetSeq(), State: state}
	c.countBytes(m, reply)
	return reply
}

// transitOf bounds how long a heartbeat was on its way.
func (c *Controller) transitOf(m *pb.HeartbeatRequest) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.transitTracker.bound(time.Since(c.start), m.GetFrom(), time.Duration(m.GetSentMs())*time.Millisecond)
}

// publish renews the view for readers; c.mu is held or c not shared yet.
func (c *Controller) publish() {
	hosts := c.table.Hosts()
	peers := make([]PeerInfo, 0, len(hosts))
	for _, h := range hosts {
		peers = append(peers, PeerInfo{
			Host:           h.Holder.GetHost(),
			Incarnation:    h.Holder.GetIncarnation(),
			Zone:           h.Zone,
			PeerAddress:    h.PeerAddress,
			CallerAddress:  h.CallerAddress,
			Health:         h.Health,
			Leaving:        h.Leaving,
			ConfigRevision: h.ConfigRevision,
			SparePermille:  h.SparePermille,
			Control:        h.Control,
		})
	}
	before := c.peers.Swap(&peers)
	c.published = c.table.Changes()
	if before != nil {
		c.logChanges(*before, peers)
	}
}

// logChanges writes a line for each host whose health, run or leaving is news. Both
// lists are ordered by name.
func (c *Controller) logChanges(before, now []PeerInfo) {
	for _, p := range now {
		for len(before) > 0 && before[0].Host < p.Host {
			before = before[1:]
		}
		was := PeerInfo{}
		if len(before) > 0 && before[0].Host == p.Host {
			was = before[0]
		}
		if was.Host != "" && was.Health == p.Health && was.Leaving == p.Leaving && was.Incarnation == p.Incarnation {
			continue
		}
		c.cfg.Log.Info().Str("event", "peer-health").Str("peer", p.Host).Uint64("incarnation", p.Incarnation).
			Str("was", healthName(was)).Str("now", healthName(p)).Bool("leaving", p.Leaving).
			Bool("restarted", restarted(was, p)).Bool("left_before", was.Leaving).Send()
	}
}

// restarted tells whether a host came back as another run than the one that was known. One
// that had not said that it leaves ended against its will.
func restarted(was, now PeerInfo) bool {
	return was.Incarnation != 0 && now.Incarnation > was.Incarnation
}

// healthName is a host's health in a log line; "unknown" for a host not heard of.
func healthName(p PeerInfo) string {
	switch p.Health {
	case pb.HostHealth_HOST_HEALTH_ALIVE:
		return "alive"
	case pb.HostHealth_HOST_HEALTH_SUSPECT:
		return "suspect"
	case pb.HostHealth_HOST_HEALTH_DEAD:
		return "dead"
	}
	return "unknown"
}

// publishChanges leaves the view as it is, until the next tick, when nothing changed
// in who lives or leaves.
func (c *Controller) publishChanges() {
	if c.table.Changes() != c.published {
		c.publish()
	}
}

func (c *Controller) countBytes(messages ...proto.Message) {
	for _, m := range messages {
		c.cfg.Metrics.HeartbeatBytes.Add(int64(proto.Size(m)))
	}
}
