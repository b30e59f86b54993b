// Package members runs the membership of hosts: it exchanges heartbeats with peers, which
// also carry the changes of backend servers and the settings revisions, and answers which
// hosts are alive and which addresses callers should use. The decisions are made by package
// membership.
package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/capacity"
	"github.com/bluebellsail/bluebellsail/internal/changelog"
	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/membership"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/telemetry"
)

// DefaultTimeout is how long the Controller waits for the reply to a heartbeat.
const DefaultTimeout = 250 * time.Millisecond

// Registry is the host's registry of backend servers.
type Registry interface {
	// ServerChanges returns up to limit servers that have changed after a position, and the position
	// that a peer reaches with them. It leaves out those that came from the peer, and those that it has
	// by its digest, which may be absent.
	ServerChanges(after changelog.Position, limit int, peer string, theirs changelog.Digest) ([]*pb.ServerState, changelog.Position)
	// OwnServerChanges is like ServerChanges for what this host has not learned from a peer.
	OwnServerChanges(after changelog.Position, limit int) ([]*pb.ServerState, changelog.Position)
	// ServerDigest returns a digest of all servers.
	ServerDigest() changelog.Digest
	// DifferingServers returns up to limit servers in the parts in which a peer's digest differs, from the
	// part first on. If they are all of them, the peer reaches the position with them.
	DifferingServers(theirs changelog.Digest, limit, first int) (states []*pb.ServerState, upTo changelog.Position, complete bool)
	// Merge merges states that the host from sent. transit is an upper bound of the time that they were
	// in transit, or backend.TransitUnknown.
	Merge(servers []*pb.ServerState, transit time.Duration, from string)
	// Observe takes in which incarnations of other hosts are not known to be dead.
	Observe(alive func(host string, incarnation uint64) bool)
	// RecentWork returns the work that this host sent to each server since the server's last
	// report.
	RecentWork() []*pb.RecentWork
	// MergeWork replaces the known recent work of another host.
	MergeWork(from *pb.Holder, work []*pb.RecentWork)
}

// Summarizer is implemented by a Registry of servers whose states change seldom enough that hosts mostly have
// what others tell them. Hosts then exchange summaries, and ask for the states that they lack.
type Summarizer interface {
	// ServerUpdate returns what a peer may lack.
	ServerUpdate(q instance.Query) instance.Update
	// LackingServers returns the hashes of the ids of the servers that this host lacks, by their summaries.
	LackingServers(summaries []changelog.Summary) []uint32
	// ServerStates returns the states of servers by the hashes of their ids.
	ServerStates(ids []uint32) []*pb.ServerState
	// ServerDigestHash returns a hash of the digest of all servers; never 0.
	ServerDigestHash() uint64
}

// Limits holds the rate limits that servers advertise.
type Limits interface {
	// Limits returns some of the limits in force.
	Limits() []*pb.ServerLimit
	// LimitsOf returns the limits in force for the given servers.
	LimitsOf(servers []*pb.ServerState) []*pb.ServerLimit
	// Merge merges limits that another host sent.
	Merge([]*pb.ServerLimit)
}

// Evacuations holds the evacuated availability zones; *evacuations.View implements it.
type Evacuations interface {
	Current() *pb.Evacuations
	// Merge merges a set that another host sent; from is that host.
	Merge(offered *pb.Evacuations, from string) (changed bool)
}

// Peers returns clients of the Peer service; *peerconn.Pool implements it.
type Peers interface {
	Client(address string) pb.PeerClient
}

// Load is the load of this host that each of its heartbeats reports.
type Load struct {
	// SparePermille is the host's spare capacity in thousandths.
	SparePermille uint32
	// Traffic is the traffic with callers in both directions, in KiB per second.
	Traffic uint32
	// ConfigRevision is the settings revision in force here.
	ConfigRevision uint64
}

// Config configures a Controller.
type Config struct {
	// Membership configures the membership table; its Interval is the time between heartbeats.
	Membership membership.Config
	// Seed seeds the random choices; it must differ between processes.
	Seed uint64
	// Timeout is the timeout of a heartbeat, which must be shorter than the interval. The
	// default is DefaultTimeout.
	Timeout  time.Duration
	Peers    Peers
	Registry Registry
	// Load is called once per interval. If it is nil, heartbeats report no load.
	Load func() Load
	// ViewDigest returns the digest of the hosts that this host knows, for replies. OnViewDigest is called
	// with that of a peer, which it had after asked. Both may be nil.
	ViewDigest   func() uint64
	OnViewDigest func(host string, digest uint64, asked time.Time)
	// Limits provides the rate limits that heartbeats carry. If it is nil, they carry none.
	Limits Limits
	// Evacuations provides the evacuated zones that heartbeats and their replies carry. If it is nil,
	// they carry none.
	Evacuations Evacuations
	// OnView is called after each change of the view that Peers returns. It must not call the Controller or block; may
	// be nil.
	OnView func()
	// OnTick is called at each tick of the interval, with the time of the tick; may be nil.
	OnTick  func(time.Time)
	Log     zerolog.Logger
	Metrics *telemetry.Metrics
}

// PeerInfo describes one other host as far as this host knows.
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
	// Control is true if the host runs a replica of the control group.
	Control bool
	// Capacity is what the host says that it may use. Absurd holds the dimensions of it that were ignored.
	Capacity capacity.Capacity
	Absurd   capacity.Dimensions
}

// Controller exchanges heartbeats. It is safe for concurrent use.
type Controller struct {
	cfg  Config
	kick chan struct{}
	// peers is the current view, for readers that must not block.
	peers atomic.Pointer[[]PeerInfo]
	// current has the hosts of the view at the last tick. Only Run uses it.
	current *currentHosts
	// pulling is set while further heartbeats are sent to a host within a tick.
	pulling atomic.Bool

	// summaries is the Registry if it is a Summarizer, else nil.
	summaries Summarizer
	fetches   serverFetches

	mu    sync.Mutex
	table *membership.Table
	sync  *serverSync
	// transitTracker bounds the transit times of heartbeats; start is the zero point of this
	// host's clock in them.
	transitTracker *transitTracker
	start          time.Time
	// published and publishedUrgent are the values of table.Changes and table.UrgentChanges at which peers was
	// built, publishedAt is the tick.
	published, publishedUrgent uint64
	publishedAt                int64
	capacity                   capacityMetrics
}

// New returns a Controller. It sends no heartbeats before Run is called.
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
		sync:  newServerSync(),

		transitTracker: newTransitTracker(),
		start:          time.Now(),
	}
	c.summaries, _ = cfg.Registry.(Summarizer)
	c.publish()
	return c
}

// roundInterval is the minimum time between two rounds of heartbeats that are sent between ticks. While many
// servers announce themselves, as when a fleet starts, each of them asks for a round.
const roundInterval = 50 * time.Millisecond

// Run sends heartbeats until ctx ends, and then waits for those in flight.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.cfg.Membership.Interval)
	defer ticker.Stop()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	sendAll := func(beats []heartbeat) {
		for _, b := range beats {
			inFlight.Go(func() {
				defer panics.Log(c.cfg.Log, "heartbeat")
				c.send(ctx, b)
			})
		}
	}
	sendAll(c.tick())
	kick := c.kick
	var pauseEnd <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.notifyTick(now)
			sendAll(c.tick())
		case <-kick:
			sendAll(c.round())
			kick, pauseEnd = nil, time.After(roundInterval)
		case <-pauseEnd:
			kick, pauseEnd = c.kick, nil
		}
	}
}

func (c *Controller) notifyTick(now time.Time) {
	if c.cfg.OnTick != nil {
		c.cfg.OnTick(now)
	}
}

// Leave marks this host as leaving and notifies its peers at once.
func (c *Controller) Leave() {
	c.mu.Lock()
	c.table.Leave()
	c.mu.Unlock()
	c.Kick()
}

// Kick has a round of heartbeats sent now, or roundInterval after the previous one, because this host has
// received an update that must not wait for the next interval.
func (c *Controller) Kick() {
	select {
	case c.kick <- struct{}{}:
	default: // a round of heartbeats is already due
	}
}

// SetIncarnation sets the incarnation that the control group assigned to this process.
// Earlier heartbeats are answered, but do not add this host to the peers' tables.
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

// MergeRegistered merges the hosts that are registered with the control group.
func (c *Controller) MergeRegistered(hosts []*pb.HostInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.MergeRegistered(hosts)
	c.publish()
}

// Peers returns the other hosts, ordered by name. The slice must not be modified.
func (c *Controller) Peers() []PeerInfo { return *c.peers.Load() }

// NeighborAddresses returns the peer addresses of the hosts to which this host sends heartbeats, which it can call
// without opening a connection.
func (c *Controller) NeighborAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.NeighborAddresses()
}

// Addresses returns the addresses for a caller in the given availability zone; see
// membership.Table.
func (c *Controller) Addresses(zone string, ttl time.Duration) []membership.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Addresses(time.Now(), zone, ttl)
}

// Share returns the addresses of a caller's share of the fleet; see membership.Table.
func (c *Controller) Share(zone, caller string, n int, ttl time.Duration, preferred ...func(zone string) bool) []membership.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Share(time.Now(), zone, caller, n, ttl, preferred...)
}

// HandleHeartbeat merges a peer's heartbeat and returns the reply, which carries the backend servers that
// the peer lacks by what it tells of those it has.
func (c *Controller) HandleHeartbeat(m *pb.HeartbeatRequest) *pb.HeartbeatReply {
	from := m.GetFrom().GetHost()
	c.mergeLimits(m)
	c.cfg.Metrics.ServerStates.Add(int64(len(m.GetServers())))
	c.cfg.Registry.Merge(m.GetServers(), c.transitOf(m), from)
	c.mergeEvacuations(m)
	if m.GetFrom().GetIncarnation() > 0 {
		c.cfg.Registry.MergeWork(m.GetFrom(), m.GetRecent())
	}
	servers, sync := c.serversFor(m, c.self())
	limits := c.limitsOf(servers)
	view := uint64(0)
	if c.cfg.ViewDigest != nil {
		view = c.cfg.ViewDigest()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.ReceiveRequest(m)
	if !c.transitTracker.knowsRoundTrip(from) {
		// In a large fleet few hosts watch those that watch them. Without a round trip the
		// transit time of a peer's heartbeats stays unknown, and its servers count as stale.
		c.table.Probe(from)
	}
	state := c.table.Reply(m.GetFrom())
	c.publishChanges()
	state.Servers, state.ServerSync, state.Evacuations = servers, sync, c.evacuations()
	state.Limits, state.ViewDigest = limits, view
	state.SentMs = time.Since(c.start).Milliseconds()
	reply := &pb.HeartbeatReply{From: state.GetFrom(), Seq: m.GetSeq(), State: state}
	c.countBytes(m, reply)
	return reply
}

// limitsOf returns the limits of servers that are sent to a peer: it must not send requests to a server before
// it knows the server's limits.
func (c *Controller) limitsOf(servers []*pb.ServerState) []*pb.ServerLimit {
	if c.cfg.Limits == nil {
		return nil
	}
	return c.cfg.Limits.LimitsOf(servers)
}

// mergeLimits merges the limits in a heartbeat or its reply.
func (c *Controller) mergeLimits(m *pb.HeartbeatRequest) {
	if c.cfg.Limits != nil {
		c.cfg.Limits.Merge(m.GetLimits())
	}
}

// evacuations returns the evacuated zones to send; nil if there are none to tell of.
func (c *Controller) evacuations() *pb.Evacuations {
	if c.cfg.Evacuations == nil {
		return nil
	}
	if e := c.cfg.Evacuations.Current(); e.GetRevision() > 0 {
		return e
	}
	return nil
}

// mergeEvacuations merges the evacuated zones in a heartbeat or its reply.
func (c *Controller) mergeEvacuations(m *pb.HeartbeatRequest) {
	if c.cfg.Evacuations != nil && m.GetEvacuations() != nil {
		c.cfg.Evacuations.Merge(m.GetEvacuations(), m.GetFrom().GetHost())
	}
}

// self returns this host with its incarnation, 0 before registration.
func (c *Controller) self() *pb.Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Self()
}

// transitOf returns an upper bound of a heartbeat's transit time.
func (c *Controller) transitOf(m *pb.HeartbeatRequest) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.transitTracker.bound(time.Since(c.start), m.GetFrom(), time.Duration(m.GetSentMs())*time.Millisecond)
}

// publish rebuilds the view for readers if it has changed, or if the loads in it are old; c.mu is held or c is not
// shared yet.
func (c *Controller) publish() {
	before := c.peers.Load()
	if before != nil && c.published == c.table.Changes() && c.table.Now() < c.publishedAt+loadEvery {
		return
	}
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
			Capacity:       h.Capacity,
			Absurd:         h.Absurd,
		})
	}
	c.published, c.publishedUrgent, c.publishedAt = c.table.Changes(), c.table.UrgentChanges(), c.table.Now()
	c.peers.Store(&peers)
	if before == nil {
		return
	}
	c.logChanges(*before, peers)
	if c.cfg.OnView != nil {
		c.cfg.OnView()
	}
}

// loadEvery is the number of ticks after which the view is published although only loads have changed.
// Readers derive tables of all hosts from each new view.
const loadEvery = 20

// peerChange is what a host was and is in two views.
type peerChange struct{ was, now PeerInfo }

// logged reports whether the change is one of those that are logged: the host is new, or its health, incarnation or
// leaving flag has changed.
func (p peerChange) logged() bool {
	return p.was.Host == "" || p.was.Health != p.now.Health || p.was.Leaving != p.now.Leaving || p.was.Incarnation != p.now.Incarnation
}

// maxLoggedPeers bounds the hosts whose changes in one view are logged one by one. When a large fleet starts or a zone
// of it fails, hundreds change at once at each of its hosts.
const maxLoggedPeers = 32

// logChanges logs each host that is new or whose health, incarnation, leaving flag or capacity has
// changed; of many at once only how many. Both lists are ordered by name.
func (c *Controller) logChanges(before, now []PeerInfo) {
	var changes []peerChange
	for _, p := range now {
		for len(before) > 0 && before[0].Host < p.Host {
			before = before[1:]
		}
		change := peerChange{now: p}
		if len(before) > 0 && before[0].Host == p.Host {
			change.was = before[0]
		}
		if change.logged() || change.was.Capacity != p.Capacity || change.was.Absurd != p.Absurd {
			changes = append(changes, change)
		}
	}
	if len(changes) > maxLoggedPeers {
		c.logManyChanges(changes)
		return
	}
	for _, change := range changes {
		c.logCapacity(change.was, change.now)
		if change.logged() {
			c.logChange(change.was, change.now)
		}
	}
}

func (c *Controller) logChange(was, p PeerInfo) {
	c.cfg.Log.Info().Str("event", "peer-health").Str("peer", p.Host).Uint64("incarnation", p.Incarnation).
		Str("was", healthName(was)).Str("now", healthName(p)).Bool("leaving", p.Leaving).
		Bool("restarted", restarted(was, p)).Bool("left_before", was.Leaving).Send()
}

// logManyChanges logs how many hosts have changed, and how.
func (c *Controller) logManyChanges(changes []peerChange) {
	var alive, suspected, dead, leaving, restarts int
	for _, change := range changes {
		c.countCapacity(change.was, change.now)
		if restarted(change.was, change.now) {
			restarts++
		}
		switch {
		case change.now.Leaving:
			leaving++
		case change.now.Health == pb.HostHealth_HOST_HEALTH_ALIVE:
			alive++
		case change.now.Health == pb.HostHealth_HOST_HEALTH_DEAD:
			dead++
		default:
			suspected++
		}
	}
	c.cfg.Log.Info().Str("event", "peers-changed").Int("hosts", len(changes)).Int("alive", alive).Int("suspect", suspected).Int("dead", dead).
		Int("leaving", leaving).Int("restarted", restarts).Str("first", changes[0].now.Host).Str("last", changes[len(changes)-1].now.Host).Send()
}

// restarted reports whether a host has a later incarnation than the one known before. If it
// had not marked itself as leaving, its previous incarnation ended unexpectedly.
func restarted(was, now PeerInfo) bool {
	return was.Incarnation != 0 && now.Incarnation > was.Incarnation
}

// healthName returns a host's health for the log, "unknown" for a host not known before.
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

// publishChanges publishes the view if something has changed that must take effect at once. Other changes are
// published at the next tick.
func (c *Controller) publishChanges() {
	if c.table.UrgentChanges() != c.publishedUrgent {
		c.publish()
	}
}

func (c *Controller) countBytes(messages ...proto.Message) {
	for _, m := range messages {
		c.cfg.Metrics.HeartbeatBytes.Add(int64(proto.Size(m)))
	}
}
