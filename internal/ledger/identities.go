package ledger

import (
	"math"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/ledger/window"
)

const (
	// clockMargin is how far the clocks of hosts may stand apart, and how long a batch
	// may be on its way.
	clockMargin = 2 * time.Minute
	// forgetInterval spaces the checks for what may be forgotten.
	forgetInterval = time.Minute
	// generationsPerWindow sets how finely identities are forgotten.
	generationsPerWindow = 4
)

// billRef is what is remembered of a billed identity: the budget's number in the
// upper half, the tokens in the lower (saturated at 32 bits).
type billRef uint64

func newBillRef(b *budget, tokens uint64) billRef {
	return billRef(uint64(b.number)<<32 | min(tokens, math.MaxUint32))
}

func (r billRef) budget() uint32 { return uint32(r >> 32) }
func (r billRef) tokens() uint64 { return uint64(uint32(r)) }

// billedIdentities remembers which identities were billed, so that each is billed
// once however many holders bring it.
//
// What goes wrong without a long memory: in a network partition a caller retries,
// the identity runs on both sides, one side settles at once and the other hours
// later. With a memory of the idempotency window alone the late bill would look
// new and be billed again. So an identity is kept until no open incarnation can
// still bring a duplicate of it: the idempotency window, plus the longest request
// twice (once as long before the window a request may have arrived, once as a bill
// may say when its request arrived or when it ended), plus margins for clocks, counted
// back from the oldest last settlement of any open incarnation.
//
// What is kept for incarnations out of contact is bounded by a number; past it the
// oldest are forgotten, and bills that might duplicate a forgotten one are refused as
// expired rather than perhaps billed twice. What holders in contact need is always
// kept, or at high load no bill at all would be accepted.
type billedIdentities struct {
	memory     *window.Memory[billRef]
	lookbackMs    int64 // how long before its bill's time a duplicate may have been billed
	retentionMs     int64
	nextForget int64
}

func newBilledIdentities(maxSize int) billedIdentities {
	b := billedIdentities{memory: window.New[billRef](0, maxSize)}
	b.setLimits(defaultWindow, defaultLongestRequest)
	return b
}

func (b *billedIdentities) setLimits(idempotencyWindow, longestRequest time.Duration) {
	b.lookbackMs = (idempotencyWindow + longestRequest + clockMargin).Milliseconds()
	b.retentionMs = b.lookbackMs + (longestRequest + 2*clockMargin).Milliseconds()
	b.memory.SetLength(b.retentionMs / generationsPerWindow)
}

func (b *billedIdentities) get(k window.Key) (billRef, bool) { return b.memory.Get(k) }

// expired tells whether a duplicate of a bill might have been forgotten. at is when the
// request arrived at the holder or ended, in Unix milliseconds by the holder's clock.
func (b *billedIdentities) expired(at, now int64) bool {
	horizon := b.memory.Horizon()
	if horizon == 0 {
		return false
	}
	return min(at, now)-b.lookbackMs < horizon
}

// forget drops what no open incarnation can bring again, and what is above the bound.
func (b *billedIdentities) forget(now int64, hosts *registry) {
	b.memory.Shrink(now - b.retentionMs)
	if now < b.nextForget {
		return
	}
	b.nextForget = now + forgetInterval.Milliseconds()
	b.memory.Forget(hosts.oldestContact(now) - b.retentionMs)
}
