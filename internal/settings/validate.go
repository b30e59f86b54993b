package settings

import (
	"encoding/hex"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
)

// Bounds of the values that operators may set.
const (
	maxDuration      = 24 * time.Hour
	maxTimeoutBound  = 4 * time.Hour
	maxHorizon       = 24 * time.Hour
	maxAttempts      = 10
	maxCopies        = 2
	maxWeight        = 100
	maxInFlightBound = 1_000_000
	minBodyBytes     = 1 << 10
	maxBodyBytes     = 1 << 30
	minAddressTTL    = time.Second
	minWindow        = time.Minute
	maxServers       = 100_000
	hashBytes        = 32
)

// checkDuration checks a duration that is set; zero means the default.
func checkDuration(path string, d Duration, low, high time.Duration) error {
	if d != 0 && (d.Std() < low || d.Std() > high) {
		return invalidAt(path, "must be from %v to %v", low, high)
	}
	return nil
}

// checkRange checks that a number is from low to high.
func checkRange(path string, n, low, high int64) error {
	if n < low || n > high {
		return invalidAt(path, "must be from %d to %d", low, high)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (t *Team) validate(path string) error {
	if t.Priority != "" && t.Priority != Urgent && t.Priority != Normal && t.Priority != Batch {
		return invalidAt(path+"/priority", `must be "urgent", "normal" or "batch"`)
	}
	return firstError(
		validateNames(path+"/models", t.Models),
		validateNames(path+"/services", t.Services),
		checkDuration(path+"/default_timeout", t.DefaultTimeout, time.Millisecond, maxTimeoutBound),
		checkDuration(path+"/max_timeout", t.MaxTimeout, time.Millisecond, maxTimeoutBound),
		checkRange(path+"/max_output_tokens", int64(min(t.MaxOutputTokens, math.MaxInt64)), 0, math.MaxInt32),
		checkRange(path+"/service_tokens", int64(min(t.ServiceTokens, math.MaxInt64)), 0, math.MaxInt32),
		checkRange(path+"/max_in_flight", int64(t.MaxInFlight), 0, maxInFlightBound),
		checkRange(path+"/copies", int64(t.Copies), 0, maxCopies),
		t.validateTimeouts(path),
		t.Retry.validate(path+"/retry"),
		t.Grant.validate(path+"/grant"),
	)
}

func (t *Team) validateTimeouts(path string) error {
	longest := t.WithDefaults().MaxTimeout
	if t.DefaultTimeout > longest {
		return invalidAt(path+"/default_timeout", "must not exceed max_timeout, which is %v", longest.Std())
	}
	return nil
}

func (r *Retry) validate(path string) error {
	if r == nil {
		return nil
	}
	if !(r.Share >= 0 && r.Share <= 1) {
		return invalidAt(path+"/share", "must be from 0 to 1")
	}
	return checkRange(path+"/max_attempts", int64(r.MaxAttempts), 0, maxAttempts)
}

func (g *Grant) validate(path string) error {
	if g == nil {
		return nil
	}
	return firstError(
		checkDuration(path+"/horizon", g.Horizon, time.Millisecond, maxHorizon),
		checkDuration(path+"/idle_return", g.IdleReturn, time.Second, maxDuration),
	)
}

func (a *Account) validate(path string) error {
	if a.Team == "" {
		return invalidAt(path+"/team", "an account needs a team")
	}
	if a.Budget == "" {
		return invalidAt(path+"/budget", "an account needs a budget")
	}
	return firstError(
		validateHashes(path+"/key_hashes", a.KeyHashes),
		checkRange(path+"/weight", int64(a.Weight), 0, maxWeight),
	)
}

func (f *Fleet) validate(path string) error {
	return firstError(
		checkDuration(path+"/address_ttl", f.AddressTTL, minAddressTTL, maxDuration),
		checkDuration(path+"/idempotency_window", f.IdempotencyWindow, minWindow, maxDuration),
		checkDuration(path+"/stale_after", f.StaleAfter, time.Second, 365*maxDuration),
		f.validateBody(path+"/max_body_bytes"),
		validateHashes(path+"/operator_key_hashes", f.OperatorKeyHashes),
		validateHashes(path+"/announce_key_hashes", f.AnnounceKeyHashes),
		checkRange(path+"/weight_store_bytes_per_second", f.WeightStoreBytesPerSecond, 0, math.MaxInt64),
		validatePlacement(path+"/placement", f.Placement),
	)
}

func (f *Fleet) validateBody(path string) error {
	if f.MaxBodyBytes == 0 {
		return nil
	}
	return checkRange(path, f.MaxBodyBytes, minBodyBytes, maxBodyBytes)
}

func validatePlacement(path string, rules []PlacementRule) error {
	for i, r := range rules {
		at := path + "/" + strconv.Itoa(i)
		if r.Pool == "" {
			return invalidAt(at+"/pool", "a placement rule needs a pool")
		}
		if r.Model == "" {
			return invalidAt(at+"/model", "a placement rule needs a model")
		}
		err := firstError(
			checkRange(at+"/servers", int64(r.Servers), 0, maxServers),
			checkRange(at+"/bytes", r.Bytes, 0, math.MaxInt64),
		)
		if err != nil {
			return err
		}
	}
	return nil
}

func validateNames(path string, names []string) error {
	for i, n := range names {
		if n == "" {
			return invalidAt(path+"/"+strconv.Itoa(i), "the name is empty")
		}
		if slices.Contains(names[:i], n) {
			return invalidAt(path+"/"+strconv.Itoa(i), "%q occurs twice", n)
		}
	}
	return nil
}

func validateHashes(path string, hashes []string) error {
	for i, h := range hashes {
		raw, err := hex.DecodeString(h)
		if err != nil || len(raw) != hashBytes || h != hex.EncodeToString(raw) {
			return invalidAt(path+"/"+strconv.Itoa(i), "must be a SHA-256 hash in %d lower-case hex digits, not the key itself", 2*hashBytes)
		}
		if slices.Contains(hashes[:i], h) {
			return invalidAt(path+"/"+strconv.Itoa(i), "the hash occurs twice")
		}
	}
	return nil
}

// validateReferences checks the references between subtrees: an account's team must
// exist, and a key must belong to one account only.
func (t *Tree) validateReferences() error {
	owner := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(t.Accounts)) {
		a := t.Accounts[name]
		path := "/" + accountsPart + "/" + name
		if _, ok := t.Teams[a.Team]; !ok {
			return invalidAt(path+"/team", "team %q does not exist", a.Team)
		}
		for i, h := range a.KeyHashes {
			if other, ok := owner[h]; ok {
				return invalidAt(path+"/key_hashes/"+strconv.Itoa(i), "account %q has the same key", other)
			}
			owner[h] = name
		}
	}
	return nil
}
