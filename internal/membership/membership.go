// Package membership decides, from heartbeats, which hosts of the fleet are alive,
// which are leaving, which hosts to send heartbeats to next and which addresses
// callers should use. It is a pure state machine: time is a count of its own
// ticks, one per heartbeat interval, and randomness is passed in.
//
// A fleet of up to Config.Neighbors+1 hosts is a full mesh, in which all hosts
// exchange heartbeats. In a larger fleet every host watches a bounded set of
// neighbors and gets the state of the others from digests of bounded size, so
// that its cost does not grow with the fleet.
//
// Evidence is a tick at which a host was certainly running, as observed by this
// host or another one. A doubt begins when a heartbeat to a host is not answered.
// Only evidence from after the beginning of a doubt ends it; while it lasts, the
// host becomes suspected and then dead. Digests carry both evidence and doubts,
// so a host that one host can't reach, but another one can, stays a member for
// all.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellsail/bluebellsail/internal/capacity"
	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Defaults of Config.
const (
	DefaultInterval     = 500 * time.Millisecond
	DefaultSuspectAfter = 3
	DefaultDeadAfter    = 10
	DefaultForgetAfter  = 7200
	DefaultNeighbors    = 8
	DefaultDigestBytes  = 256
)

const (
	// startTicks is how many ticks a host counts as starting. Meanwhile it learns the fleet, and
	// the fleet learns it, by larger messages to more hosts.
	startTicks = 12
	// startDigestBytes is the size of the host entries in one message to or from a starting host:
	// some 50 hosts with their addresses.
	startDigestBytes = 4096
	// startTargets is the number of hosts, of those that are only registered so far, to which a
	// starting host sends a heartbeat in each tick in addition to its usual ones.
	startTargets = 3
)

// Config configures the Table of one host. Zero fields are replaced by the defaults.
type Config struct {
	// Self describes this host.
	Self Self
	// Seeds are peer addresses to contact while their hosts are not known yet.
	Seeds []string
	// Interval is the length of one tick. Ages in messages are converted with it.
	Interval time.Duration
	// SuspectAfter and DeadAfter are the numbers of this host's ticks after which a
	// doubt makes a host suspected and dead.
	SuspectAfter, DeadAfter int64
	// UnlistAfter is the number of this host's ticks after which a doubt leaves a host out of
	// the addresses for callers, while most others are alive; default DeadAfter.
	UnlistAfter int64
	// ForgetAfter is the number of ticks after which a dead host's entry is dropped
	// if the control group doesn't list it.
	ForgetAfter int64
	// Neighbors is the number of hosts a host watches in a large fleet.
	Neighbors int
	// MeshPeriod is the number of rounds between two heartbeats from one host to another in a
	// full mesh; default 1. Both the heartbeats of the other host and its replies are evidence.
	MeshPeriod int64
	// DigestBytes bounds the size of the host entries in one message in a large fleet.
	DigestBytes int
}

// Self describes this host to the others.
type Self struct {
	Host          string
	Incarnation   uint64
	Zone          string
	CallerAddress string
	PeerAddress   string
	// Control is true if the host runs a replica of the control group.
	Control bool
	// Capacity is what this host may use.
	Capacity capacity.Capacity
}

// Host describes one other host as far as a Table knows.
type Host struct {
	Holder         *pb.Holder
	Zone           string
	CallerAddress  string
	PeerAddress    string
	Health         pb.HostHealth
	Leaving        bool
	ConfigRevision uint64
	SparePermille  uint32
	Control        bool
	// Capacity is what the host says that it may use. Absurd holds the dimensions of it that were ignored.
	Capacity capacity.Capacity
	Absurd   capacity.Dimensions
}

// entry is the state of one other host. Ticks are those of this Table.
type entry struct {
	host        string
	incarnation uint64
	identity
	leaving  bool
	revision uint64
	spare    uint32
	traffic  uint32
	// capacity is that of the incarnation if it is told, and else that of the previous one. weight is its
	// weight as of the last weigh.
	capacity capacity.Capacity
	absurd   capacity.Dimensions
	told     bool
	weight   float64

	// hash of the host's name determines the order in which hosts watch each other.
	hash uint64
	// registered is true if the host is registered with the control group. Such an entry is
	// kept however long the host has been dead.
	registered bool
	// unconfirmed is true if the host is registered, but no host has reported it yet.
	unconfirmed bool
	// created is the tick at which this host first heard of the incarnation.
	created int64
	// lastAlive is the latest tick at which the host was certainly running.
	lastAlive int64
	// doubted is true if heartbeats are not answered: the first one at tick doubtStart, the
	// last known one at tick lastUnanswered. doubtNoticed is the tick since which this host
	// knows of the doubt: a doubt takes time to spread, and so does the evidence against it.
	doubted        bool
	doubtStart     int64
	doubtNoticed   int64
	lastUnanswered int64
	// seq is the highest sequence number of the host's heartbeats; lastRequest is the tick at
	// which the last one was received.
	seq         uint64
	lastRequest int64
	// missed is true if the last heartbeat of this host, and no more, was not answered.
	missed bool
	// shownHealth is the health that Hosts last returned.
	shownHealth pb.HostHealth
	// probe requests a heartbeat to the host at the next tick.
	probe bool
	// updatesLeft is the number of further messages that carry the entry as an update, before
	// other entries; updateAddresses is true if they carry its addresses too.
	updatesLeft     int
	updateAddresses bool
	// refuted is true while the update tells that a doubt has ended.
	refuted bool
}

// Table is one host's view of the fleet. It is not safe for concurrent use.
type Table struct {
	cfg            Config
	selfHash       uint64
	rng            *rand.Rand
	now            int64
	seq            uint64
	leaving        bool
	spare          uint32
	traffic        uint32
	configRevision uint64
	// queued counts the entries queued as updates, and dropped ones.
	queued uint64
	// viewChanges counts the changes of what Hosts returns, apart from load. urgentChanges counts those of them
	// that must take effect at once.
	viewChanges, urgentChanges uint64
	// selfWeight is this host's weight by its capacity. uneven is true if the weight of any host that serves
	// callers is not neutral. weighed is the value of queued for which weights were computed.
	selfWeight float64
	uneven     bool
	weighed    uint64
	// registeredAt is the tick at which this process got its incarnation.
	registeredAt int64

	hosts map[string]*entry
	// order holds the entries in a stable order, for rotation and random choice.
	order []*entry
	// removed holds, by host, the last incarnation that an operator declared dead.
	removed map[string]uint64

	neighbors    []*entry
	nextNeighbor int
	// rounds counts the rounds of heartbeats to neighbors, at ticks and between them.
	rounds     int64
	nextDead   int
	nextDigest int
	nextSeed   int

	// nextContact is the tick of the next heartbeat before registration, contactPause the mean number
	// of ticks between two.
	nextContact, contactPause int64
}

// firstTick is the first value of the tick count. It is large, so that the ages of events
// reported by other hosts can be subtracted from it.
const firstTick = 1 << 32

// New returns the Table of a host that knows only its seeds.
func New(cfg Config, rng *rand.Rand) *Table {
	return &Table{
		cfg: withDefaults(cfg),
		rng: rng,
		now: firstTick, registeredAt: firstTick, contactPause: contactPeriod,
		selfHash: xxhash.Sum64String(cfg.Self.Host),
		hosts:    make(map[string]*entry),
		removed:  make(map[string]uint64),
	}
}

func withDefaults(cfg Config) Config {
	defaults.Set(&cfg.Interval, DefaultInterval)
	defaults.Set(&cfg.SuspectAfter, DefaultSuspectAfter)
	defaults.Set(&cfg.DeadAfter, DefaultDeadAfter)
	defaults.Set(&cfg.UnlistAfter, cfg.DeadAfter)
	defaults.Set(&cfg.ForgetAfter, DefaultForgetAfter)
	defaults.Set(&cfg.Neighbors, DefaultNeighbors)
	defaults.Set(&cfg.MeshPeriod, 1)
	defaults.Set(&cfg.DigestBytes, DefaultDigestBytes)
	return cfg
}

// SetIncarnation sets the incarnation that the control group assigned to this process.
func (t *Table) SetIncarnation(n uint64) {
	t.cfg.Self.Incarnation = n
	t.registeredAt = t.now
}

// Self returns this host with its incarnation.
func (t *Table) Self() *pb.Holder {
	return &pb.Holder{Host: t.cfg.Self.Host, Incarnation: t.cfg.Self.Incarnation}
}

// SetSeeds replaces the peer addresses to contact while their hosts are not known.
func (t *Table) SetSeeds(seeds []string) { t.cfg.Seeds = seeds }

// SetLoad sets the load that this host's heartbeats report: its spare capacity in
// thousandths, the callers' traffic in KiB per second, and the settings revision in force.
func (t *Table) SetLoad(sparePermille, traffic uint32, configRevision uint64) {
	t.spare, t.traffic = sparePermille, traffic
	t.configRevision = configRevision
}

// Leave marks this host as leaving. It can't be undone within an incarnation.
func (t *Table) Leave() { t.leaving = true }

// Leaving reports whether Leave was called.
func (t *Table) Leaving() bool { return t.leaving }

// Changes returns a count of the changes of what Hosts returns. While the count stays the same, the result is
// the same but for the hosts' load.
func (t *Table) Changes() uint64 { return t.viewChanges }

// UrgentChanges returns a count of the changes that must take effect at once: in a large fleet those by which a
// host may no longer be used or may be used again, in a full mesh all. That a large fleet gets another
// host is not urgent, and when it starts, nearly each message tells of some.
func (t *Table) UrgentChanges() uint64 {
	if t.fullMesh() {
		return t.viewChanges
	}
	return t.urgentChanges
}

// changed counts a change of what Hosts returns.
func (t *Table) changed() { t.viewChanges++ }

// changedUrgently counts a change of what Hosts returns that must take effect at once.
func (t *Table) changedUrgently() {
	t.viewChanges++
	t.urgentChanges++
}

// Hosts returns the other hosts in a stable order.
func (t *Table) Hosts() []Host {
	hosts := make([]Host, 0, len(t.order))
	for _, e := range t.order {
		e.shownHealth = t.health(e)
		hosts = append(hosts, t.describe(e))
	}
	return hosts
}

// countHealthChanges counts the hosts whose health has changed with time since the last call of Hosts.
func (t *Table) countHealthChanges() {
	for _, e := range t.order {
		if (e.doubted || e.shownHealth != pb.HostHealth_HOST_HEALTH_ALIVE) && t.health(e) != e.shownHealth {
			t.changedUrgently()
			return
		}
	}
}

func (t *Table) describe(e *entry) Host {
	return Host{
		Holder:         &pb.Holder{Host: e.host, Incarnation: e.incarnation},
		Zone:           e.zone,
		CallerAddress:  e.callerAddress,
		PeerAddress:    e.peerAddress,
		Health:         t.health(e),
		Leaving:        e.leaving,
		ConfigRevision: e.revision,
		SparePermille:  e.spare,
		Control:        e.control,
		Capacity:       e.capacity,
		Absurd:         e.absurd,
	}
}

func (t *Table) ticksInDoubt(e *entry) int64 {
	if !e.doubted {
		return 0
	}
	return t.now - max(e.lastAlive, e.doubtNoticed)
}

func (t *Table) health(e *entry) pb.HostHealth {
	missed := t.ticksInDoubt(e)
	switch {
	case e.unconfirmed && missed < t.cfg.DeadAfter:
		return pb.HostHealth_HOST_HEALTH_SUSPECT
	case missed < t.cfg.SuspectAfter:
		return pb.HostHealth_HOST_HEALTH_ALIVE
	case missed < t.cfg.DeadAfter:
		return pb.HostHealth_HOST_HEALTH_SUSPECT
	default:
		return pb.HostHealth_HOST_HEALTH_DEAD
	}
}

func (t *Table) dead(e *entry) bool {
	return t.health(e) == pb.HostHealth_HOST_HEALTH_DEAD
}

// spreadRounds returns about the number of ticks in which an update reaches every host.
func (t *Table) spreadRounds() int {
	rounds := 1
	for n := len(t.order); n > 0; n /= 2 {
		rounds++
	}
	return rounds
}

// starting reports whether this host has just started.
func (t *Table) starting() bool { return t.now-t.registeredAt <= startTicks }

// isNew reports whether this host has heard of e's incarnation only recently.
func (t *Table) isNew(e *entry) bool { return e != nil && t.now-e.created <= startTicks }

func (t *Table) fullMesh() bool { return len(t.order) <= t.cfg.Neighbors }
