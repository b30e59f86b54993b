package ledger

import (
	"math"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/ledger/window"
)

const (
	// clockMargin is the maximum difference between the clocks of hosts, and the maximum
	// time that a batch may be in transit.
	clockMargin = 2 * time.Minute
	// forgetInterval is the time between checks for identities that may be forgotten.
	forgetInterval = time.Minute
	// generationsPerWindow is the number of generations per retention period: identities are
	// forgotten by whole generations.
	generationsPerWindow = 4
)

// billRef is the remembered bill of an identity: the budget's number in the upper half,
// the tokens in the lower half (saturated at 32 bits).
type billRef uint64

func newBillRef(b *budget, tokens uint64) billRef {
	return billRef(uint64(b.number)<<32 | min(tokens, math.MaxUint32))
}

func (r billRef) budget() uint32 { return uint32(r >> 32) }
func (r billRef) tokens() uint64 { return uint64(uint32(r)) }

// billedIdentities remembers which identities were billed, so that each is billed
// once however many holders submit it.
//
// During a network partition a caller may retry, so that the identity runs on both sides;
// one side settles immediately and the other hours later. If identities were remembered
// only for the idempotency window, the late bill would look new and be billed again. So an
// identity is kept until no unrecovered incarnation can still submit a duplicate of it:
// for the idempotency window, plus twice the longest request (once because a request may
// have arrived that long before the window, once because the time of a bill may be that of
// the request's arrival or of its end), plus clock margins, counted back from the oldest
// last settlement of any unrecovered incarnation.
//
// The number of identities kept for disconnected incarnations is bounded. Beyond the bound
// the oldest are forgotten, and bills that might duplicate a forgotten one are refused as
// expired, so that none is billed twice. Identities that connected holders need are always
// kept; otherwise no bill at all would be accepted under high load.
type billedIdentities struct {
	memory      *window.Memory[billRef]
	lookbackMs  int64 // how long before the time of a bill its duplicate may have been billed
	retentionMs int64
	nextForget  int64
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

// expired reports whether a duplicate of a bill might have been forgotten. at is when the
// request arrived at the holder or ended, in Unix milliseconds by the holder's clock.
func (b *billedIdentities) expired(at, now int64) bool {
	horizon := b.memory.Horizon()
	if horizon == 0 {
		return false
	}
	return min(at, now)-b.lookbackMs < horizon
}

// forget drops the identities that no unrecovered incarnation can submit again, and those
// beyond the bound.
func (b *billedIdentities) forget(now int64, hosts *registry) {
	b.memory.Shrink(now - b.retentionMs)
	if now < b.nextForget {
		return
	}
	b.nextForget = now + forgetInterval.Milliseconds()
	b.memory.Forget(hosts.oldestContact(now) - b.retentionMs)
}
