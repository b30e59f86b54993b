// Package settings implements the operators' settings tree: its typed subtrees, their
// validation, and the replicated state machine that versions every change.
package settings

import (
	"encoding/json"
	"regexp"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is written in JSON as a string such as "1.5s".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.New(`a duration must be a string with a unit, such as "1.5s"`)
	}
	v, err := parseDuration(s)
	if err != nil {
		return errors.Errorf("%q is not a duration; write a number with a unit, such as \"1.5s\"", s)
	}
	*d = Duration(v)
	return nil
}

// exponentDuration is a number in scientific notation with a unit, such as "1.5e1s".
var exponentDuration = regexp.MustCompile(`^([+-]?[0-9.]+[eE][+-]?[0-9]+)(ns|us|µs|ms|s|m|h)$`)

// parseDuration is time.ParseDuration that also accepts numbers in scientific notation, which some
// encoders write.
func parseDuration(s string) (time.Duration, error) {
	parts := exponentDuration.FindStringSubmatch(s)
	if parts == nil {
		return time.ParseDuration(s)
	}
	number, err := strconv.ParseFloat(parts[1], 64)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	return time.ParseDuration(strconv.FormatFloat(number, 'f', -1, 64) + parts[2])
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Tree is the whole settings tree. Each map entry, and the fleet, is one subtree with
// its own version: /teams/<name>, /accounts/<name>, /fleet.
type Tree struct {
	Teams    map[string]*Team    `json:"teams"`
	Accounts map[string]*Account `json:"accounts"`
	Fleet    *Fleet              `json:"fleet,omitempty"`
}

// Priority is the priority class of a team's requests.
type Priority string

// The priority classes, most urgent first.
const (
	Urgent Priority = "urgent"
	Normal Priority = "normal"
	Batch  Priority = "batch"
)

// Team is the subtree /teams/<name>: the rules for one team's requests.
type Team struct {
	// Priority is the class of the team's requests: "urgent", "normal" (default) or
	// "batch".
	Priority Priority `json:"priority,omitempty"`
	// Models are the models that the team may use; empty: all.
	Models []string `json:"models,omitempty"`
	// Services are the services that the team may call; empty: all.
	Services []string `json:"services,omitempty"`
	// DefaultTimeout is used when a request has no deadline; absent: such a request is
	// rejected.
	DefaultTimeout Duration `json:"default_timeout,omitempty"`
	// MaxTimeout bounds the timeout that a caller may request; default 15m.
	MaxTimeout Duration `json:"max_timeout,omitempty"`
	// MaxOutputTokens caps the output of one request in tokens; default 4096.
	MaxOutputTokens uint64 `json:"max_output_tokens,omitempty"`
	// ServiceTokens is the price of one call to a plain service, in tokens; default 1.
	ServiceTokens uint64 `json:"service_tokens,omitempty"`
	// MaxInFlight bounds the team's in-flight requests per host; default 256.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// Retry bounds retries at backend servers.
	Retry *Retry `json:"retry,omitempty"`
	// Grant controls how hosts hold parts of the team's budgets.
	Grant *Grant `json:"grant,omitempty"`
	// Copies is the number of copies of each in-flight record kept at peers in other
	// availability zones: 1 or 2; default 1.
	Copies int `json:"copies,omitempty"`
}

// Retry bounds how often a team's requests are retried at other backend servers.
type Retry struct {
	// MaxAttempts is the maximum number of attempts per request, including the first;
	// default 3.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Share is the ratio of retries to first attempts, above 0 and up to 1; default
	// 0.1. For no retries, set MaxAttempts to 1.
	Share float64 `json:"share,omitempty" settings:"nonzero"`
}

// Grant is the policy by which a host holds tokens of a team's budget.
type Grant struct {
	// Horizon is the period of recent demand for which a host holds tokens ahead;
	// default 4h. It is about how long a host can serve while it cannot reach the
	// ledger.
	Horizon Duration `json:"horizon,omitempty"`
	// Transfers allows hosts that cannot reach the ledger to share tokens by transfers;
	// default true.
	Transfers *bool `json:"transfers,omitempty"`
	// IdleReturn is the time after which an unused grant is returned; default 4h.
	IdleReturn Duration `json:"idle_return,omitempty"`
}

// Account is the subtree /accounts/<name>: one client account.
type Account struct {
	// Team is the team whose rules apply to the account's requests.
	Team string `json:"team"`
	// Budget is the budget to which the account's requests are billed.
	Budget string `json:"budget"`
	// KeyHashes are the SHA-256 hashes, in hex, of the account's keys. The keys
	// themselves are not stored.
	KeyHashes []string `json:"key_hashes,omitempty"`
	// Weight is the weight of the account in fair queues, 1 to 100; default 1.
	Weight int `json:"weight,omitempty"`
	// Disabled rejects all the account's requests.
	Disabled bool `json:"disabled,omitempty"`
}

// Fleet is the subtree /fleet: the settings of the whole fleet.
type Fleet struct {
	// AddressTTL is how long callers may cache an answer with addresses; default 30s.
	AddressTTL Duration `json:"address_ttl,omitempty"`
	// MaxBodyBytes bounds a request body; default 4 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// IdempotencyWindow is how long an idempotency key is remembered; default 10m.
	IdempotencyWindow Duration `json:"idempotency_window,omitempty"`
	// StaleAfter is how long a host that is not in contact with the control group
	// continues to serve under its current settings; absent: without limit.
	StaleAfter Duration `json:"stale_after,omitempty"`
	// OperatorKeyHashes are the SHA-256 hashes, in hex, of operators' keys.
	OperatorKeyHashes []string `json:"operator_key_hashes,omitempty"`
	// AnnounceKeyHashes are the SHA-256 hashes, in hex, of the keys with which backend
	// servers announce themselves; empty: announcements need no key.
	AnnounceKeyHashes []string `json:"announce_key_hashes,omitempty"`
	// WeightStoreBytesPerSecond is the rate limit for loading weights from the weight
	// store, for the whole fleet; 0: none.
	WeightStoreBytesPerSecond int64 `json:"weight_store_bytes_per_second,omitempty"`
	// Placement lists how many backend servers of a pool should serve each model.
	Placement []PlacementRule `json:"placement,omitempty"`
}

// PlacementRule requires a model (and version or adapter) on a number of backend
// servers.
type PlacementRule struct {
	// Pool is the pool of backend servers, as they announce it.
	Pool string `json:"pool"`
	// Model is the model to load; "name@version" selects a version.
	Model string `json:"model"`
	// Adapter is the adapter to load in addition to the model; empty: none.
	Adapter string `json:"adapter,omitempty"`
	// Role is the role that the servers should have; empty: any.
	Role string `json:"role,omitempty"`
	// Servers is the number of servers required.
	Servers int `json:"servers"`
	// Bytes is the size of the weights, for the weight store's rate limit.
	Bytes int64 `json:"bytes,omitempty"`
}
