package control

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wal"
)

// StateMachine is the replicated state. Query must not change it: queries run
// concurrently with each other, but never with another method.
type StateMachine interface {
	Apply(index uint64, cmd *pb.Command) *pb.CommandResult
	Query(q *pb.Query) *pb.QueryResult
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Transport carries messages to other replicas. Send never blocks; it may drop,
// duplicate and reorder messages.
type Transport interface {
	Send(m *pb.RaftMessage, address string)
	// Reset closes the connection to address, which seems unresponsive; the next Send
	// opens a new one.
	Reset(address string)
	// FailedSnapshots returns the replicas to which a snapshot was sent that did not
	// arrive as far as is known, since the last call.
	FailedSnapshots() []uint64
	Close()
}

// Member is a replica of the bootstrap list.
type Member struct {
	// ID identifies the replica; 0: derived from the fleet's name and Host.
	ID uint64
	// Address is the address of its Control service.
	Address string
	Host    string
}

// Config configures one replica.
type Config struct {
	// Fleet is the name of the fleet, from which replica IDs are derived.
	Fleet string
	// Host is this host's name.
	Host string
	// ReplicaAddress is the address at which the other replicas reach this one.
	ReplicaAddress string
	// DataDir is the directory for identity, log and snapshots.
	DataDir string
	// Members is the bootstrap list, the same on all replicas. It is used only at the
	// first start.
	Members []Member
	// Join makes a replica with an empty disk start as a new replica that waits to be
	// added.
	Join bool

	// PromoteLearners has this replica, while it leads, give a learner its vote as soon as
	// it has caught up, without a request.
	PromoteLearners bool
	// EnoughVoters is the number of voters that the group needs to survive the losses it is sized
	// for. A learner that is promoted replaces a voter that doesn't answer if that many
	// others do; 0: never.
	EnoughVoters int

	// FirstStart asserts that the whole fleet starts for the first time: no disk that was
	// used before under an ID of the bootstrap list has been lost. It is recorded on an empty
	// disk and has no meaning later.
	FirstStart bool

	// TickInterval is the length of a consensus tick; default 50ms.
	TickInterval time.Duration
	// ElectionTicks, HeartbeatTicks and DriftPercent: see raft.Config; defaults 20, 2,
	// 20.
	ElectionTicks  int
	HeartbeatTicks int
	DriftPercent   int

	// SnapshotEntries is the number of applied entries after which a snapshot is taken;
	// default 10000.
	SnapshotEntries uint64
	// SnapshotBytes is the minimum number of bytes of entries applied before the next
	// snapshot is taken; default 256 KiB. If these are routing tables of 150 routes, a
	// host with a tenth of a processor takes half a second to apply them after a
	// restart.
	SnapshotBytes int64
	// LogBytes caps the log on disk; default 256 MiB. At half of the cap a snapshot is
	// forced; at the cap proposals are rejected.
	LogBytes int64
	// SegmentBytes is the size of a log segment; default 4 MiB.
	SegmentBytes int64

	StateMachine StateMachine
	Transport    Transport
	Logger       zerolog.Logger

	// FS is the file system; default the operating system's.
	FS wal.FS
	// Now is the clock for leases and ticks; default time.Now. It must never be set, and must
	// go on while the machine is suspended, as that of package bootclock does.
	Now func() time.Time
	// Wall is the clock for the timestamps of commands; default time.Now.
	Wall func() time.Time
	// Seed seeds the randomness; 0: drawn from the operating system's source. It must differ between the runs of a
	// replica, by which the stamps of its heartbeats are told apart.
	Seed int64
}

func (c *Config) setDefaults() {
	defaults.Set(&c.TickInterval, 50*time.Millisecond)
	defaults.Set(&c.ElectionTicks, 20)
	defaults.Set(&c.HeartbeatTicks, 2)
	defaults.Set(&c.DriftPercent, 20)
	defaults.Set(&c.SnapshotEntries, 10000)
	defaults.Set(&c.SnapshotBytes, 256<<10)
	defaults.Set(&c.LogBytes, 256<<20)
	defaults.Set(&c.SegmentBytes, 4<<20)
	if c.FS == nil {
		c.FS = wal.OS{}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Wall == nil {
		c.Wall = time.Now
	}
	// Not the clock: hosts that get their power back together may read the same time.
	defaults.Set(&c.Seed, int64(randomID()))
}

func (c *Config) check() error {
	if c.StateMachine == nil || c.Transport == nil {
		return errors.New("control: a replica needs a state machine and a transport")
	}
	if c.DataDir == "" || c.ReplicaAddress == "" {
		return errors.New("control: a replica needs a data directory and an address")
	}
	if !c.Join && c.ownMember() == nil {
		return errors.Errorf("control: %s is not in the bootstrap list; start the replica with join to add it to an existing group", c.ReplicaAddress)
	}
	return nil
}

// ownMember returns this replica's member of the bootstrap list, or nil.
func (c *Config) ownMember() *pb.Member {
	for _, m := range c.bootstrapMembers() {
		if m.Address == c.ReplicaAddress {
			return m
		}
	}
	return nil
}

// bootstrapMembers returns the bootstrap list with derived IDs filled in.
func (c *Config) bootstrapMembers() []*pb.Member {
	var out []*pb.Member
	for _, m := range c.Members {
		id := m.ID
		if id == 0 {
			id = xxhash.Sum64String(c.Fleet + "/" + m.Host)
		}
		out = append(out, &pb.Member{Id: id, Address: m.Address, Host: m.Host})
	}
	return out
}
