// Package sched decides which request runs where and when. It admits a request only if its
// predicted finish lies before its deadline, queues it fairly, and chooses a backend server.
// The package is pure: time and the random source are passed in, and the caller serializes the
// calls.
package sched

import (
	"math/rand"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Class is a priority class; smaller values have higher priority.
type Class int

// Priority classes.
const (
	Urgent Class = iota
	Normal
	Batch
	classes
)

// ClassOf maps the priority of a team's settings; an unknown one is Normal.
func ClassOf(p settings.Priority) Class {
	switch p {
	case settings.Urgent:
		return Urgent
	case settings.Batch:
		return Batch
	default:
		return Normal
	}
}

// Work describes a request for scheduling.
type Work struct {
	// Ticket identifies the request in this host's core; it is never reused.
	Ticket       uint64
	Account      string
	Weight       int
	Class        Class
	Target       backend.Target
	Adapter      string
	PromptTokens uint64
	OutputCap    uint64
	PromptHashes []uint64
	Deadline     time.Time
	// Exclude lists the addresses of servers that already failed this request.
	Exclude []string
	// Prefer is the address of the server that holds the request's stream or KV cache.
	Prefer string
}

// Grant is the assignment of one request to a server, whose announcement is State.
type Grant struct {
	State *pb.ServerState
	// Finish is the predicted end of the request.
	Finish time.Time
	// Waited is the time that the request waited in the queue.
	Waited time.Duration
	// Cached is the share of the prompt that the server is expected to have cached.
	Cached float64
	// Load is the corrected load of the server before this request.
	Load int
	// Considered is the number of servers compared.
	Considered int
}

// Result is the decision on one ticket: either Grant or Err (an *errkind.Error) is set.
type Result struct {
	Ticket uint64
	Grant  *Grant
	Err    error
}

// Config configures a Core; zero fields get the defaults.
type Config struct {
	// Host is the name of this host, Zone its availability zone.
	Host string
	Zone string
	// ZoneDelay is the one-way latency to another availability zone; default 1.5 ms.
	ZoneDelay time.Duration
	// Subset is the number of servers per target that a host uses on average in a
	// large fleet; default 64.
	Subset int
	// Samples is the number of servers compared per choice, besides the preferred servers of
	// the prompt's prefix; default 4.
	Samples int
	// QueuePerAccount bounds the waiting requests per target, class and account; default 64.
	QueuePerAccount int
	// QueuePerTarget bounds the waiting requests per target; default 512.
	QueuePerTarget int
	// Margin is the safety margin before the deadline, as a share of the predicted run time;
	// default 0.05.
	Margin float64
	// MaxLoadAge is the age up to which a load report allows this host to use room beyond its
	// own share of a server; default 2 s.
	MaxLoadAge time.Duration
	// QueueAhead is the time for which a server with short requests is given work beyond its
	// slots, so that a slot that becomes free between two load reports has a next request. With
	// longer requests a free slot stays idle for a small part of a run only, and nothing is
	// queued ahead. Default 500 ms.
	QueueAhead time.Duration
	// Ablation disables parts of the policy, to measure what each contributes.
	Ablation Ablation
	// Permits grants the permits for rate-limited servers; nil: no server is rate limited.
	Permits ratelimit.Permits
}

// Ablation lists the parts of the policy that can be disabled. The zero value is the whole policy.
type Ablation struct {
	// NoCorrection uses the load as reported, without correction.
	NoCorrection bool
	// NoPrefix ignores which prompt prefixes servers have cached.
	NoPrefix bool
	// NoDistance ignores availability zones.
	NoDistance bool
}

// Default values of Config.
const (
	DefaultZoneDelay       = 1500 * time.Microsecond
	DefaultSubset          = 64
	DefaultSamples         = 4
	DefaultQueuePerAccount = 64
	DefaultQueuePerTarget  = 512
	DefaultMargin          = 0.05
	DefaultMaxLoadAge      = 2 * time.Second
	DefaultQueueAhead      = 500 * time.Millisecond
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.ZoneDelay, DefaultZoneDelay)
	defaults.Set(&c.Subset, DefaultSubset)
	defaults.Set(&c.Samples, DefaultSamples)
	defaults.Set(&c.QueuePerAccount, DefaultQueuePerAccount)
	defaults.Set(&c.QueuePerTarget, DefaultQueuePerTarget)
	defaults.Set(&c.Margin, DefaultMargin)
	defaults.Set(&c.MaxLoadAge, DefaultMaxLoadAge)
	defaults.Set(&c.QueueAhead, DefaultQueueAhead)
	return c
}

// Core is one host's scheduling state.
type Core struct {
	cfg   Config
	reg   *backend.Registry
	rng   *rand.Rand
	hosts []string
	pools map[backend.Target]*pool
	// order lists the pools in the order of their creation: Step must not depend on the
	// iteration order of a map.
	order    []*pool
	queued   map[uint64]*entry
	attempts map[uint64]*attempt
	// permitRequests holds the servers for which permits have to be requested, permitDue the
	// earliest time at which a server whose permits are exhausted may have some again.
	permitRequests map[instance.Incarnation]bool
	permitDue      time.Time
}

// attempt is a request of this host at a server.
type attempt struct {
	work    Work
	server  *backend.Server
	started time.Time
	// firstToken is the time from dispatch to the first token; 0 before it arrives.
	firstToken time.Duration
}

// New returns a core that chooses among the servers of reg. rng is the only source of
// randomness.
func New(cfg Config, reg *backend.Registry, rng *rand.Rand) *Core {
	return &Core{
		cfg:            cfg.withDefaults(),
		reg:            reg,
		rng:            rng,
		hosts:          []string{cfg.Host},
		pools:          make(map[backend.Target]*pool),
		queued:         make(map[uint64]*entry),
		attempts:       make(map[uint64]*attempt),
		permitRequests: make(map[instance.Incarnation]bool),
	}
}
