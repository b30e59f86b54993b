package ledger

import (
	"math"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/ledger/window"
)

const (
	// clockMargin is how far the clocks of hosts may stand apart.
	clockMargin = 2 * time.Minute
	// keepMargins is how many margins identities are kept on top: one for the clock by
	// which a bill says when its request arrived, one for the same doubt in expired, and
	// one for the time a batch is on its way.
	keepMargins = 3
	// forgetEvery spaces the checks for what may be forgotten.
	forgetEvery = time.Minute
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
// still bring a duplicate of it: the idempotency window, plus the longest request,
// plus margins for clocks, counted back from the oldest last settlement of any
// open incarnation. The number of identities is bounded; past the bound the oldest
// are forgotten, and bills that might duplicate a forgotten one are refused as
// expired rather than perhaps billed twice.
type billedIdentities struct {
	memory     *window.Memory[billRef]
	windowMs   int64
	keepMs     int64
	nextForget int64
}

func newBilledIdentities(maxSize int) billedIdentities {
	b := billedIdentities{memory: window.New[billRef](0, maxSize)}
	b.setLimits(DefaultWindow, DefaultLongestRequest)
	return b
}

func (b *billedIdentities) setLimits(idempotencyWindow, longestRequest time.Duration) {
	b.windowMs = idempotencyWindow.Milliseconds()
	b.keepMs = b.windowMs + longestRequest.Milliseconds() + keepMargins*clockMargin.Milliseconds()
	b.memory.SetLength(b.keepMs / generationsPerWindow)
}

func (b *billedIdentities) get(k window.Key) (billRef, bool) { return b.memory.Get(k) }

// expired tells whether a duplicate of a bill might have been forgotten. arrived is
// when the request reached the holder, in Unix milliseconds by the holder's clock.
// A duplicate was billed at the earliest one idempotency window before that.
func (b *billedIdentities) expired(arrived, now int64) bool {
	horizon := b.memory.Horizon()
	if horizon == 0 {
		return false
	}
	return min(arrived, now)-b.windowMs-clockMargin.Milliseconds() < horizon
}

// forget drops what no open incarnation can bring again, and what is above the bound.
func (b *billedIdentities) forget(now int64, hosts *registry) {
	b.memory.Shrink()
	if now < b.nextForget {
		return
	}
	b.nextForget = now + forgetEvery.Milliseconds()
	b.memory.Forget(hosts.oldestContact(now) - b.keepMs)
}
