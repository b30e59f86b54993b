package routes

import "github.com/bluebellsail/bluebellsail/internal/settings"

// Kind determines whether a request whose outcome is unknown may be sent again.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Stream requests are answered with server-sent events; they run at most once unless the
	// route is resumable.
	Stream Kind = "stream"
)

// Table is a complete routing table.
type Table struct {
	// Routes are in any order; no two have the same host and prefix.
	Routes []Route `json:"routes"`
	// Services are the services that routes may refer to.
	Services []Service `json:"services"`
	// Limits apply to what callers may send.
	Limits Limits `json:"limits"`
	// Accounts are the client accounts; nil: requests need no key.
	Accounts []Account `json:"accounts,omitempty"`
	// Keyed reports whether requests need a key. It is separate from Accounts, because a table may
	// require keys and have no account yet.
	Keyed bool `json:"keyed,omitempty"`
}

// Route determines how the requests below one prefix of one host are served.
type Route struct {
	// Name is the name of the route, for logs.
	Name string `json:"name"`
	// Host is the host of the requests, without port.
	Host string `json:"host"`
	// Prefix is the path prefix; it begins and ends with a slash. The longest matching one wins.
	Prefix string `json:"prefix"`
	// Kind determines whether a request may be repeated.
	Kind Kind `json:"kind"`
	// Regions are the only regions whose servers may get the requests; empty: all.
	Regions []string `json:"regions,omitempty"`
	// Timeout is the time from a request's arrival to the end of its answer.
	Timeout settings.Duration `json:"timeout"`
	// Objective is the target time for an answer, or for the first event of a stream.
	Objective settings.Duration `json:"objective,omitempty"`
	// GapObjective is the target for the longest pause between two events of a stream.
	GapObjective settings.Duration `json:"gap_objective,omitempty"`
	// Priority is the priority of the requests; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// Targets are the services that share the requests by weight.
	Targets []Target `json:"targets"`
	// MaxAttempts is the maximum number of attempts of one request at backend servers.
	MaxAttempts int `json:"max_attempts"`
	// Anonymous reports whether requests need no key even if the table is keyed.
	Anonymous bool `json:"anonymous,omitempty"`
	// Affinity reports whether requests list the parts of their prompt, which servers cache.
	Affinity bool `json:"affinity,omitempty"`
	// Resumable reports whether a stream may continue at another server from a given event.
	Resumable bool `json:"resumable,omitempty"`
}

// Repeatable reports whether a request may be sent again although it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is one of the services that share a route's requests.
type Target struct {
	Service string `json:"service"`
	// Weight is the target's share relative to the other targets' weights.
	Weight uint64 `json:"weight"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path that answers 200 while a server accepts requests.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConns is the number of connections that one server accepts from all hosts together.
	MaxConns int `json:"max_conns,omitempty"`
	// WarmupRate is the number of requests per second that a cold server accepts from all hosts
	// together; 0: any number.
	WarmupRate float64 `json:"warmup_rate,omitempty"`
	// Engine is set for servers that run language models.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that a server decodes in one batch.
	Slots int `json:"slots"`
	// CacheTokens is the size of a server's memory for running requests and cached prompt parts,
	// in tokens.
	CacheTokens uint64 `json:"cache_tokens"`
	// TokensPerEvent is the maximum number of tokens in one event of a stream.
	TokensPerEvent uint64 `json:"tokens_per_event"`
	// Moves reports whether a running request's memory can be moved to another server.
	Moves bool `json:"moves,omitempty"`
	// Backups reports whether a running request's memory can be copied as it grows.
	Backups bool `json:"backups,omitempty"`
}

// Limits bound what a caller may send and how long that may take; 0: the limit of the process.
type Limits struct {
	HeaderBytes   int64             `json:"header_bytes,omitempty"`
	BodyBytes     int64             `json:"body_bytes,omitempty"`
	HeaderTimeout settings.Duration `json:"header_timeout,omitempty"`
	IdleTimeout   settings.Duration `json:"idle_timeout,omitempty"`
}

// Account is a client account in the routing table.
type Account struct {
	Name string `json:"name"`
	// KeyHashes are the SHA-256 hashes of its keys in hex; no two accounts share a key.
	KeyHashes []string `json:"key_hashes,omitempty"`
	// Priority overrides that of the route; nil: the route's applies.
	Priority *int `json:"priority,omitempty"`
	// Regions are the only regions whose servers may get its requests; empty: all.
	Regions []string `json:"regions,omitempty"`
	// Prepaid is the number of tokens that the account may use in total; nil: unlimited.
	Prepaid *uint64 `json:"prepaid,omitempty"`
}
