package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
)

// Defaults of values that a subtree leaves out.
const (
	DefaultMaxTimeout        = 15 * time.Minute
	DefaultMaxOutputTokens   = 4096
	DefaultServiceTokens     = 1
	DefaultMaxInFlight       = 256
	DefaultCopies            = 1
	DefaultRetryAttempts     = 3
	DefaultRetryShare        = 0.1
	DefaultGrantHorizon      = 4 * time.Hour
	DefaultIdleReturn        = 4 * time.Hour
	DefaultWeight            = 1
	DefaultAddressTTL        = 30 * time.Second
	DefaultMaxBodyBytes      = 4 << 20
	DefaultIdempotencyWindow = 10 * time.Minute
)

// HashKey returns the hex SHA-256 hash under which an account's or operator's key is
// stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WithDefaults returns a copy of t with what it leaves out filled in.
func (t Team) WithDefaults() Team {
	defaults.Set(&t.Priority, Normal)
	defaults.Set(&t.MaxTimeout, Duration(DefaultMaxTimeout))
	defaults.Set(&t.MaxOutputTokens, DefaultMaxOutputTokens)
	defaults.Set(&t.ServiceTokens, DefaultServiceTokens)
	defaults.Set(&t.MaxInFlight, DefaultMaxInFlight)
	defaults.Set(&t.Copies, DefaultCopies)
	retry, grant := Retry{}, Grant{}
	if t.Retry != nil {
		retry = *t.Retry
	}
	if t.Grant != nil {
		grant = *t.Grant
	}
	t.Retry, t.Grant = retry.withDefaults(), grant.withDefaults()
	return t
}

func (r Retry) withDefaults() *Retry {
	defaults.Set(&r.MaxAttempts, DefaultRetryAttempts)
	defaults.Set(&r.Share, DefaultRetryShare)
	return &r
}

func (g Grant) withDefaults() *Grant {
	defaults.Set(&g.Horizon, Duration(DefaultGrantHorizon))
	defaults.Set(&g.IdleReturn, Duration(DefaultIdleReturn))
	if g.Transfers == nil {
		yes := true
		g.Transfers = &yes
	}
	return &g
}

// WithDefaults returns a copy of a with what it leaves out filled in.
func (a Account) WithDefaults() Account {
	defaults.Set(&a.Weight, DefaultWeight)
	return a
}

// WithDefaults returns a copy of f with what it leaves out filled in.
func (f Fleet) WithDefaults() Fleet {
	defaults.Set(&f.AddressTTL, Duration(DefaultAddressTTL))
	defaults.Set(&f.MaxBodyBytes, DefaultMaxBodyBytes)
	defaults.Set(&f.IdempotencyWindow, Duration(DefaultIdempotencyWindow))
	return f
}
