package routes

import "github.com/bluebellsail/bluebellsail/internal/settings"

// Kind says what may be done again with a request whose outcome is not known.
type Kind string

// The kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Stream answers with server-sent events; it runs at most once unless it is resumable.
	Stream Kind = "stream"
)

// Table is a whole routing table.
type Table struct {
	// Routes in any order; no two share host and prefix.
	Routes []Route `json:"routes"`
	// Services that routes may name.
	Services []Service `json:"services"`
	// Limits on what callers may send.
	Limits Limits `json:"limits"`
	// Accounts are the client accounts; nil: requests need no key.
	Accounts []Account `json:"accounts,omitempty"`
	// Keyed: requests need a key. It stands apart from Accounts, as a table may require
	// keys and hold no account yet.
	Keyed bool `json:"keyed,omitempty"`
}

// Route says how the requests below one prefix of one host are served.
type Route struct {
	// Name of the route, for logs.
	Name string `json:"name"`
	// Host of the request, without port.
	Host string `json:"host"`
	// Prefix of the path; it begins and ends with a slash. The longest that fits wins.
	Prefix string `json:"prefix"`
	// Kind says what may be repeated.
	Kind Kind `json:"kind"`
	// Timeout bounds the time from a request's arrival to the end of its answer.
	Timeout settings.Duration `json:"timeout"`
	// Objective is the time within which an answer, or the first event of a stream, is
	// worth most.
	Objective settings.Duration `json:"objective,omitempty"`
	// GapObjective is the longest pause between two events of a stream that is on time.
	GapObjective settings.Duration `json:"gap_objective,omitempty"`
	// Priority of the requests; 0 goes first.
	Priority int `json:"priority,omitempty"`
	// Targets are the services that requests go to, by weight.
	Targets []Target `json:"targets"`
	// MaxAttempts is the greatest number of backend servers that one request may be sent
	// to.
	MaxAttempts int `json:"max_attempts"`
	// Anonymous requests need no key.
	Anonymous bool `json:"anonymous,omitempty"`
	// Affinity: requests name the parts of their prompt, and servers keep them cached.
	Affinity bool `json:"affinity,omitempty"`
	// Resumable: a stream may go on at another server from a given event.
	Resumable bool `json:"resumable,omitempty"`
}

// Repeatable tells whether a request may be sent again though it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is one of the services that a route's requests are split between.
type Target struct {
	Service string `json:"service"`
	// Weight is its share against the other targets' weights.
	Weight uint64 `json:"weight"`
}

// Service is a set of backend servers that serve the same.
type Service struct {
	Name string `json:"name"`
	// HealthPath answers 200 while a server takes requests.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConns is how many connections one server accepts from all hosts together.
	MaxConns int `json:"max_conns,omitempty"`
	// Engine is set for servers that run language models.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests a server decodes in one batch.
	Slots int `json:"slots"`
	// CacheTokens is the memory of a server for running requests and cached prompt parts.
	CacheTokens uint64 `json:"cache_tokens"`
	// TokensPerEvent is the greatest number of tokens that one event of a stream holds.
	TokensPerEvent uint64 `json:"tokens_per_event"`
	// Moves tells whether a running request's memory can be moved to another server.
	Moves bool `json:"moves,omitempty"`
	// Backups tells whether a running request's memory can be copied as it grows.
	Backups bool `json:"backups,omitempty"`
}

// Limits bound what a caller may send and how long it may take; zero: the process's own.
type Limits struct {
	HeaderBytes   int64             `json:"header_bytes,omitempty"`
	BodyBytes     int64             `json:"body_bytes,omitempty"`
	HeaderTimeout settings.Duration `json:"header_timeout,omitempty"`
	IdleTimeout   settings.Duration `json:"idle_timeout,omitempty"`
}

// Account is a client account as the routing table has it.
type Account struct {
	Name string `json:"name"`
	// KeyHashes are the SHA-256 hashes of its keys in hex; no two accounts share one.
	KeyHashes []string `json:"key_hashes,omitempty"`
	// Priority goes before that of the route; nil: the route's.
	Priority *int `json:"priority,omitempty"`
	// Prepaid is how many tokens the account may use in all; nil: without bound.
	Prepaid *uint64 `json:"prepaid,omitempty"`
}
