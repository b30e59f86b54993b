package balance

import (
	"math"
	"time"
)

const (
	// memoryReserve is the part of an engine's memory, one in memoryReserve, that the requests assigned to
	// it leave free. It covers answers that get longer than expected, and requests that the owner of the
	// shard does not know of.
	memoryReserve = 16
	// overrunReserve is the part of an answer so far, one in overrunReserve, that an answer which is longer
	// than expected is still expected to grow by.
	overrunReserve = 4
	// growthInterval is how often the answers in progress are compared with what was expected of them.
	growthInterval = 50 * time.Millisecond
	// tokenTimeWeight is the weight of the newest answer in the moving average of the time per token.
	tokenTimeWeight = 0.1
	// uncountedLifetime is how long a report of requests that the owner does not know of is believed.
	uncountedLifetime = 3 * time.Second
	// fullPermille is the share of its memory, in thousandths, above which an engine is over its capacity.
	fullPermille = 1000
	// fullWindow is how long after an engine was over its capacity its end is put down to that. The ends of
	// its requests are reported one after the other.
	fullWindow = time.Second
)

// memoryLimit returns how many tokens of an engine's memory requests may hold.
func memoryLimit(capacity uint64) uint64 { return capacity - capacity/memoryReserve }

// claim is what one request holds of an engine's memory.
type claim struct {
	// parts are distinct parts of the prompt. Each is held once however many requests have it.
	parts []Part
	// own is the number of prompt tokens beyond the parts.
	own uint64
	// output is the expected size of the whole answer, what has been generated included. outputCap is
	// the most that it may be.
	output, outputCap uint64
	// expected is the size as the caller expects it, and key where it is learnt how right that is.
	expected uint64
	key      outputKey
	// generated is the size of the answer as reported at its end; 0: not reported.
	generated uint64
	// firstAt is when the first part of the answer arrived; zero: not yet.
	firstAt time.Time
}

// prompt returns the size of the prompt without regard to what other requests share.
func (c *claim) prompt() uint64 { return saturatingAdd(tokensOf(c.parts), c.own) }

func (c *claim) size() uint64 { return saturatingAdd(c.prompt(), c.output) }

func tokensOf(parts []Part) uint64 {
	sum := uint64(0)
	for _, p := range parts {
		sum = saturatingAdd(sum, p.Tokens)
	}
	return sum
}

func saturatingAdd(a, b uint64) uint64 {
	if a > math.MaxUint64-b {
		return math.MaxUint64
	}
	return a + b
}

// heldPart is a part of prompts that running requests hold.
type heldPart struct {
	tokens  uint64
	holders int
}

// engineMemory accounts for the memory of one engine, in tokens.
type engineMemory struct {
	parts  map[uint64]heldPart
	claims map[*claim]struct{}
	// held is the sum over parts and claims.
	held uint64
	// capacity is the engine's memory; 0 until known.
	capacity uint64
	grownAt  time.Time
	// tokenTime is the moving average of the time in which an answer grows by a token; 0 until known.
	tokenTime time.Duration
	// uncounted is the number of requests at the engine, by its last report at uncountedAt, that the
	// owner of its shard does not know of.
	uncounted   int
	uncountedAt time.Time
	// fullAt is when the engine was last found to be over its capacity.
	fullAt time.Time
}

func newEngineMemory() engineMemory {
	return engineMemory{parts: make(map[uint64]heldPart), claims: make(map[*claim]struct{})}
}

// missing returns how much more memory is held once cl is added.
func (m *engineMemory) missing(cl *claim) uint64 {
	sum := saturatingAdd(cl.own, cl.output)
	for _, p := range cl.parts {
		sum = saturatingAdd(sum, p.Tokens-min(p.Tokens, m.parts[p.ID].tokens))
	}
	return sum
}

// maxClaimParts bounds the parts of one prompt that are counted as shared with others.
const maxClaimParts = 64

// distinctParts returns the first parts of a prompt, up to one that repeats an earlier one.
func distinctParts(prompt []Part) []Part {
	prompt = prompt[:min(len(prompt), maxClaimParts)]
	for i, p := range prompt {
		if repeats(prompt[:i], p.ID) {
			return prompt[:i]
		}
	}
	return prompt
}

func repeats(parts []Part, id uint64) bool {
	for _, p := range parts {
		if p.ID == id {
			return true
		}
	}
	return false
}

// add adds a claim, whose size is at most the capacity.
func (m *engineMemory) add(cl *claim, capacity uint64) {
	m.capacity = capacity
	m.claims[cl] = struct{}{}
	m.held += cl.own + cl.output
	for _, p := range cl.parts {
		h := m.parts[p.ID]
		if p.Tokens > h.tokens { // requests should agree on the size; the largest counts
			m.held += p.Tokens - h.tokens
			h.tokens = p.Tokens
		}
		h.holders++
		m.parts[p.ID] = h
	}
}

// remove removes a claim that was added.
func (m *engineMemory) remove(cl *claim) {
	delete(m.claims, cl)
	m.held -= cl.own + cl.output
	for _, p := range cl.parts {
		h := m.parts[p.ID]
		if h.holders--; h.holders > 0 {
			m.parts[p.ID] = h
			continue
		}
		delete(m.parts, p.ID)
		m.held -= h.tokens
	}
}

// grow enlarges the claims whose answers are likely to have become longer than expected.
func (m *engineMemory) grow(now time.Time) {
	if m.tokenTime <= 0 || now.Sub(m.grownAt) < growthInterval {
		return
	}
	m.grownAt = now
	for cl := range m.claims {
		if cl.firstAt.IsZero() {
			continue
		}
		soFar := uint64(max(now.Sub(cl.firstAt), 0) / m.tokenTime)
		if soFar <= cl.output {
			continue
		}
		grown := min(soFar+soFar/overrunReserve, cl.outputCap)
		if grown > cl.output {
			m.held += grown - cl.output
			cl.output = grown
		}
	}
}

// recordSpeed records how long an answer took from its first part to its end.
func (m *engineMemory) recordSpeed(d time.Duration, tokens uint64) {
	if d <= 0 || tokens == 0 {
		return
	}
	perToken := time.Duration(float64(d) / float64(tokens))
	if m.tokenTime == 0 {
		m.tokenTime = perToken
		return
	}
	m.tokenTime += time.Duration(tokenTimeWeight * float64(perToken-m.tokenTime))
}

// recordUncounted records how many requests the engine reported, and how many of them are known.
func (m *engineMemory) recordUncounted(now time.Time, reported, known int) {
	m.uncounted, m.uncountedAt = max(reported-known, 0), now
}

// unknown returns the number of requests that the owner does not know of, and their estimated memory:
// that of as many requests of the mean size of those it knows. typical is the size to assume if it knows
// none.
func (m *engineMemory) unknown(now time.Time, typical uint64) (requests int, tokens uint64) {
	if m.uncounted == 0 || now.Sub(m.uncountedAt) > uncountedLifetime {
		return 0, 0
	}
	if len(m.claims) > 0 {
		typical = m.held / uint64(len(m.claims))
	}
	return m.uncounted, uint64(min(float64(m.uncounted)*float64(typical), float64(m.capacity)))
}

// hasRoom reports whether a claim fits beside what is held. An engine without any request has room for
// each claim that is no larger than its memory.
func (m *engineMemory) hasRoom(now time.Time, cl *claim, capacity uint64) bool {
	m.grow(now)
	_, unknown := m.unknown(now, cl.size())
	held := saturatingAdd(m.held, unknown)
	return held == 0 || saturatingAdd(held, m.missing(cl)) <= memoryLimit(capacity)
}

// permille returns the share of the memory that is held.
func (m *engineMemory) permille(now time.Time) uint32 {
	if m.capacity == 0 {
		return 0
	}
	m.grow(now)
	_, unknown := m.unknown(now, 0)
	share := uint32(min(1000*float64(saturatingAdd(m.held, unknown))/float64(m.capacity), math.MaxUint32))
	if share > fullPermille {
		m.fullAt = now
	}
	return share
}

// wasFull reports whether the engine was over its capacity a moment ago.
func (m *engineMemory) wasFull(now time.Time) bool {
	return m.permille(now) > fullPermille || !m.fullAt.IsZero() && now.Sub(m.fullAt) <= fullWindow
}
