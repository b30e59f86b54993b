// Package membership decides, from heartbeats, which hosts of the fleet live,
// which are leaving, whom to exchange heartbeats with next and which addresses
// callers should use. It is a pure state machine: time is a count of its own
// ticks, one per heartbeat interval, and randomness is passed in.
//
// Up to Config.Neighbours+1 hosts exchange heartbeats each with each. Beyond
// that every host watches a bounded set of neighbours and learns of the others
// by a digest of bounded size, so that its cost does not grow with the fleet.
//
// Evidence is what makes a host alive: the tick at which somebody surely heard
// it. A doubt begins when a heartbeat to a host stays unanswered. Only evidence
// from after the beginning of a doubt ends it; an unended doubt makes the host
// suspect, then dead. Both travel in digests, so that a host which one other
// host can't reach, but a third can, stays a member for all.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Defaults of Config.
const (
	DefaultInterval     = 500 * time.Millisecond
	DefaultSuspectAfter = 3
	DefaultDeadAfter    = 10
	DefaultForgetAfter  = 7200
	DefaultNeighbors   = 8
	DefaultDigestBytes  = 256
)

// Config of one host's Table. Zero fields get the defaults.
type Config struct {
	// Self is this host.
	Self Self
	// Seeds are peer addresses to contact while their hosts are not known yet.
	Seeds []string
	// Interval is the length of one tick; it converts ages in messages.
	Interval time.Duration
	// SuspectAfter and DeadAfter are the numbers of own ticks that a doubt lasts
	// until its host is suspect and dead.
	SuspectAfter, DeadAfter int64
	// ForgetAfter is the number of ticks after which a dead host's entry is dropped
	// if the control group doesn't list it.
	ForgetAfter int64
	// Neighbors is the number of hosts a host watches in a large fleet.
	Neighbors int
	// MeshPeriod is the number of ticks in which a full mesh has a heartbeat from each host to
	// each; default 1. A host hears another one by that one's heartbeats and by the replies to its own.
	MeshPeriod int64
	// DigestBytes bounds the host entries of one message in a large fleet.
	DigestBytes int
}

// Self describes this host to the others.
type Self struct {
	Host          string
	Incarnation   uint64
	Zone          string
	CallerAddress string
	PeerAddress   string
	// Control: the host runs a replica of the control group.
	Control bool
}

// Host is what a Table knows of one other host.
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
}

// entry is a Host with what the decisions need. Ticks are this Table's own.
type entry struct {
	host        string
	incarnation uint64
	zone        string
	callerAddress      string
	peerAddress        string
	leaving     bool
	revision    uint64
	spare       uint32
	traffic     uint32
	control     bool

	// hash of the name, for the order in which hosts watch each other.
	hash uint64
	// registered with the control group: kept while it is, however long it is dead.
	registered bool
	// unconfirmed: registered, but neither evidence nor word of it has come yet.
	unconfirmed bool
	// lastAlive is the latest tick at which the host surely ran.
	lastAlive int64
	// doubted tells whether heartbeats stay unanswered: the first at tick doubt, the
	// last that is known of at tick unanswered. This host knows of it since tick
	// doubtSince: a doubt takes time to get here, and so does what refutes it.
	doubted    bool
	doubtStart      int64
	doubtNoticed int64
	lastUnanswered int64
	// seq is the highest number of its heartbeats; lastRequest the tick of the last one.
	seq         uint64
	lastRequest int64
	// probe asks for a heartbeat at the next tick.
	probe bool
	// updatesLeft is in how many more messages the entry goes first; newsFull tells
	// whether with its addresses.
	updatesLeft int
	updateAddresses bool
}

// Table is one host's view of the fleet. It is not safe for concurrent use.
type Table struct {
	cfg      Config
	selfHash uint64
	rng      *rand.Rand
	now      int64
	seq      uint64
	leaving  bool
	spare    uint32
	traffic  uint32
	configRevision      uint64
	changes  uint64

	hosts map[string]*entry
	// order holds the entries in a stable order for rotation and choice.
	order []*entry
	// removed holds the incarnations up to which an operator declared hosts dead.
	removed map[string]uint64

	neighbors []*entry
	nextNeighbor   int
	nextDead  int
	nextDigest int
	nextSeed   int
}

// firstTick leaves room below it for ages known from others.
const firstTick = 1 << 32

// New returns the table of a host that knows nobody but its seeds.
func New(cfg Config, rng *rand.Rand) *Table {
	return &Table{
		cfg:      withDefaults(cfg),
		rng:      rng,
		now:      firstTick,
		selfHash: xxhash.Sum64String(cfg.Self.Host),
		hosts:    make(map[string]*entry),
		removed:  make(map[string]uint64),
	}
}

func withDefaults(cfg Config) Config {
	defaults.Set(&cfg.Interval, DefaultInterval)
	defaults.Set(&cfg.SuspectAfter, DefaultSuspectAfter)
	defaults.Set(&cfg.DeadAfter, DefaultDeadAfter)
	defaults.Set(&cfg.ForgetAfter, DefaultForgetAfter)
	defaults.Set(&cfg.Neighbors, DefaultNeighbors)
	defaults.Set(&cfg.MeshPeriod, 1)
	defaults.Set(&cfg.DigestBytes, DefaultDigestBytes)
	return cfg
}

// SetIncarnation sets the incarnation that the control group gave this run.
func (t *Table) SetIncarnation(n uint64) { t.cfg.Self.Incarnation = n }

// SetSeeds replaces the peer addresses to contact while their hosts are not known.
func (t *Table) SetSeeds(seeds []string) { t.cfg.Seeds = seeds }

// SetLoad sets what this host tells of itself: its spare room in thousandths, callers'
// traffic in KiB a second, and the settings revision in force here.
func (t *Table) SetLoad(sparePermille, traffic uint32, configRevision uint64) {
	t.spare, t.traffic = sparePermille, traffic
	t.configRevision = configRevision
}

// Leave marks this host as leaving. It can't be taken back within an incarnation.
func (t *Table) Leave() { t.leaving = true }

// Leaving tells whether Leave was called.
func (t *Table) Leaving() bool { return t.leaving }

// Changes counts changes in who lives, leaves or is known. A reader of Hosts whose
// count is still the same, in the same tick, has missed nothing of these.
func (t *Table) Changes() uint64 { return t.changes }

// Hosts returns what is known of the other hosts, in a stable order.
func (t *Table) Hosts() []Host {
	hosts := make([]Host, 0, len(t.order))
	for _, e := range t.order {
		hosts = append(hosts, t.describe(e))
	}
	return hosts
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

// spreadRounds is about the number of ticks in which news reaches every host.
func (t *Table) spreadRounds() int {
	rounds := 1
	for n := len(t.order); n > 0; n /= 2 {
		rounds++
	}
	return rounds
}

func (t *Table) fullMesh() bool { return len(t.order) <= t.cfg.Neighbors }
