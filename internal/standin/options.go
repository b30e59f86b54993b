// Package standin implements a fake backend server for tests, load runs and the demo. It has
// the common HTTP API of a model engine, models continuous batching with a prefix cache, serves
// plain services, accepts orders, announces itself to entry hosts and can inject faults. Its
// answers depend only on the prompt, so a caller can check that it got the complete answer to
// its own request.
package standin

import (
	"time"

	"github.com/rs/zerolog"
)

// The headers between entry hosts and backend servers.
const (
	// HeaderEngineRequest is the id of the engine's stream. An id is never executed twice.
	HeaderEngineRequest = "Bluebellsail-Engine-Request"
	// HeaderRan is "no" on a refusal if the request was not executed.
	HeaderRan = "Bluebellsail-Ran"
	// HeaderRateLimit is the number of requests per second that the server accepts from all
	// hosts together.
	HeaderRateLimit = "Bluebellsail-Rate-Limit"
)

// The defaults of Options.
const (
	defaultListen        = "127.0.0.1:0"
	defaultAnnounceEvery = 500 * time.Millisecond
	defaultKeep          = time.Minute
	defaultLeaveGrace    = 2 * time.Second
	defaultSlots         = 16
	defaultMaxWaiting    = 256
	defaultCacheBlocks   = 4096
)

// Options configures one fake server. The zero value of a field means its default.
type Options struct {
	// Listen is the address to listen on; default: a free port on loopback.
	Listen string
	// Announce lists the entry hosts to announce to, by their addresses for callers.
	Announce []string
	// AnnounceKey is the key sent with announcements; empty for none.
	AnnounceKey string
	// AnnounceEvery is the interval between announcements; default 500ms.
	AnnounceEvery time.Duration
	// Incarnation identifies this run of the server; default: the start time in Unix milliseconds.
	Incarnation uint64

	Zone     string
	Pool     string
	Role     string
	Models   []string
	Services []string
	Adapters []string

	// Slots is the number of sequences that decode at the same time; default 16.
	Slots int
	// MaxWaiting bounds the queue for the slots; default 256.
	MaxWaiting int
	// DecodeSpeed is the output tokens per second of a single sequence; 0 means unlimited.
	DecodeSpeed float64
	// PrefillSpeed is the prompt tokens per second; 0 means unlimited.
	PrefillSpeed float64
	// BatchSlowdown is the share by which each further sequence lengthens a step.
	BatchSlowdown float64
	// ServiceTime is the duration of a call of a plain service.
	ServiceTime time.Duration
	// LoadTime is the time to load a model or an adapter.
	LoadTime time.Duration

	// ChecksFence makes the server reject orders with a stale fencing number.
	ChecksFence bool
	// NoResume and NoMoveKV disable resuming streams and moving KV caches.
	NoResume bool
	NoMoveKV bool
	// Keep is how long finished streams can still be read; default 1m.
	Keep time.Duration
	// LeaveGrace is how long work is still accepted after leaving is announced; default 2s.
	LeaveGrace time.Duration

	// CacheBlocks is the capacity of the prefix cache; default 4096 blocks.
	CacheBlocks int
	// CacheEventDelay is the delay of cache events.
	CacheEventDelay time.Duration

	Log zerolog.Logger
	// OnDie is called if an injected fault terminates the process.
	OnDie func()
}

func (o Options) withDefaults(now time.Time) Options {
	if o.Listen == "" {
		o.Listen = defaultListen
	}
	if o.AnnounceEvery == 0 {
		o.AnnounceEvery = defaultAnnounceEvery
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(now.UnixMilli())
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	if o.Keep == 0 {
		o.Keep = defaultKeep
	}
	if o.LeaveGrace == 0 {
		o.LeaveGrace = defaultLeaveGrace
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	return o
}
