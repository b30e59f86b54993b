// Package settings holds the operators' settings tree: its typed subtrees, their
// validation, and the replicated state machine that versions every change.
package settings

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration written in JSON as a string such as "1.5s".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.New(`a duration is written as a string with a unit, such as "1.5s"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Errorf("%q is not a duration; write a number with a unit, such as \"1.5s\"", s)
	}
	*d = Duration(v)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Tree is the whole settings tree. Each map entry, and fleet, is one subtree with
// a version of its own: /teams/<name>, /accounts/<name>, /fleet.
type Tree struct {
	Teams    map[string]*Team    `json:"teams"`
	Accounts map[string]*Account `json:"accounts"`
	Fleet    *Fleet              `json:"fleet,omitempty"`
}

// Priority is the class of a team's requests.
type Priority string

// The classes, most pressing first.
const (
	Urgent Priority = "urgent"
	Normal Priority = "normal"
	Batch  Priority = "batch"
)

// Team is the subtree /teams/<name>: how one team's requests are treated.
type Team struct {
	// Priority class of the team's requests: "urgent", "normal" (default) or "batch".
	Priority Priority `json:"priority,omitempty"`
	// Models the team may use; empty: all.
	Models []string `json:"models,omitempty"`
	// Services the team may call; empty: all.
	Services []string `json:"services,omitempty"`
	// DefaultTimeout is used when a request has no deadline; absent: such a request is refused.
	DefaultTimeout Duration `json:"default_timeout,omitempty"`
	// MaxTimeout bounds the deadline a caller may ask for; default 15m.
	MaxTimeout Duration `json:"max_timeout,omitempty"`
	// MaxOutputTokens caps the output of one request in tokens; default 4096.
	MaxOutputTokens uint64 `json:"max_output_tokens,omitempty"`
	// ServiceTokens is what one call to a plain service costs, in tokens; default 1.
	ServiceTokens uint64 `json:"service_tokens,omitempty"`
	// MaxInFlight bounds the team's requests in flight per host; default 256.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// Retry bounds retries at backend servers.
	Retry *Retry `json:"retry,omitempty"`
	// Grant says how hosts hold parts of the team's budgets.
	Grant *Grant `json:"grant,omitempty"`
	// Copies of each in-flight record kept at peers in other availability zones: 1 or 2; default 1.
	Copies int `json:"copies,omitempty"`
}

// Retry bounds how a team's requests are tried again at other backend servers.
type Retry struct {
	// MaxAttempts per request, the first included; default 3.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Share of first tries that may be added as retries, above 0 to 1; default 0.1.
	// For no retries set MaxAttempts to 1.
	Share float64 `json:"share,omitempty" settings:"nonzero"`
}

// Grant is the policy by which a host holds tokens of a team's budget.
type Grant struct {
	// Horizon is how much of its recent demand a host holds ahead; default 4h. It is about
	// how long a host that is cut off can serve.
	Horizon Duration `json:"horizon,omitempty"`
	// Transfers lets hosts that can't reach the ledger share by transfers; default true.
	Transfers *bool `json:"transfers,omitempty"`
	// IdleReturn is when an unused grant goes back; default 4h.
	IdleReturn Duration `json:"idle_return,omitempty"`
}

// Account is the subtree /accounts/<name>: one client account.
type Account struct {
	// Team whose rules the account's requests follow.
	Team string `json:"team"`
	// Budget that the account's requests are billed to.
	Budget string `json:"budget"`
	// KeyHashes are SHA-256 hashes of the account's keys in hex. The keys themselves are kept nowhere.
	KeyHashes []string `json:"key_hashes,omitempty"`
	// Weight of the account in fair queues, 1 to 100; default 1.
	Weight int `json:"weight,omitempty"`
	// Disabled refuses all the account's requests.
	Disabled bool `json:"disabled,omitempty"`
}

// Fleet is the subtree /fleet: what holds for all hosts.
type Fleet struct {
	// AddressTTL is how long callers may keep an address answer; default 30s.
	AddressTTL Duration `json:"address_ttl,omitempty"`
	// MaxBodyBytes bounds a request body; default 4 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// IdempotencyWindow is how long an idempotency key is remembered; default 10m.
	IdempotencyWindow Duration `json:"idempotency_window,omitempty"`
	// StaleAfter is how long a host without contact to the control group goes on
	// serving under the settings it has; absent: without bound.
	StaleAfter Duration `json:"stale_after,omitempty"`
	// OperatorKeyHashes are SHA-256 hashes of operators' keys in hex.
	OperatorKeyHashes []string `json:"operator_key_hashes,omitempty"`
	// AnnounceKeyHashes are SHA-256 hashes of the keys that backend servers announce
	// themselves with, in hex; empty: announcements need no key.
	AnnounceKeyHashes []string `json:"announce_key_hashes,omitempty"`
	// WeightStoreBytesPerSecond is the weight store's rate limit for the whole fleet; 0: none.
	WeightStoreBytesPerSecond int64 `json:"weight_store_bytes_per_second,omitempty"`
	// Placement lists how many backend servers of a pool should serve each model.
	Placement []PlacementRule `json:"placement,omitempty"`
}

// PlacementRule wants a model (and version or adapter) on a number of backend servers.
type PlacementRule struct {
	// Pool of backend servers, as they announce it.
	Pool string `json:"pool"`
	// Model to load; "name@version" names a version.
	Model string `json:"model"`
	// Adapter to load beside the model; empty: none.
	Adapter string `json:"adapter,omitempty"`
	// Role the servers should have; empty: any.
	Role string `json:"role,omitempty"`
	// Servers wanted.
	Servers int `json:"servers"`
	// Bytes of the weights, for the weight store's rate limit.
	Bytes int64 `json:"bytes,omitempty"`
}
