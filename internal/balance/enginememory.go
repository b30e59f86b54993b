package balance

import (
	"slices"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
)

// MemoryCounts counts what the account of the engines' memory came across.
type MemoryCounts struct {
	// Absurd counts requests and answers with senseless sizes, which were ignored.
	Absurd uint64 `json:"absurd_sizes"`
	// TooLarge counts requests larger than an engine's memory.
	TooLarge uint64 `json:"too_large"`
}

// accountsMemory reports whether the memory that w needs is counted.
func (c *Core) accountsMemory(w *Work) bool {
	return c.cfg.Overload.Memory && w.Engine && w.CacheTokens > 0
}

// SensibleSize reports whether the sizes of a request for engines can be right: the answer is expected to
// fit its cap, or the engine's memory if that is not known, and the parts of the prompt fit the prompt. Sizes
// that can't be right are ignored.
func (w *Work) SensibleSize() bool {
	return !w.Engine || w.CacheTokens == 0 || w.sensibleOutput() && tokensOf(distinctParts(w.Prompt)) <= w.PromptTokens
}

func (w *Work) sensibleOutput() bool {
	if w.OutputCap == 0 {
		return w.OutputTokens <= w.CacheTokens
	}
	return w.OutputTokens <= w.OutputCap
}

// claimOf returns what w will hold of an engine's memory.
func (c *Core) claimOf(w *Work) claim {
	cl := claim{parts: distinctParts(w.Prompt), outputCap: w.OutputCap, expected: w.OutputTokens}
	if !w.sensibleOutput() {
		cl.expected = 0
	}
	cl.key = outputKey{account: w.Account, service: w.Service, estimated: cl.expected > 0 && (w.OutputCap == 0 || cl.expected < w.OutputCap)}
	if cl.expected == 0 {
		cl.expected = cl.outputCap
	}
	if named := tokensOf(cl.parts); named <= w.PromptTokens {
		cl.own = w.PromptTokens - named
	} else {
		cl.parts, cl.own = nil, w.PromptTokens // the sizes of the parts are wrong
	}
	room := w.CacheTokens - min(cl.prompt(), w.CacheTokens)
	if cl.outputCap == 0 || cl.outputCap > room {
		cl.outputCap = room
	}
	cl.output = c.outputs.expect(cl.key, cl.expected, cl.outputCap)
	return cl
}

// checkMemory refuses a request that no engine can ever hold.
func (c *Core) checkMemory(w *Work) error {
	if !c.accountsMemory(w) {
		return nil
	}
	if w.PromptTokens < w.CacheTokens {
		return nil
	}
	c.memoryCounts.TooLarge++
	return errkind.New(errkind.RequestTooLarge, "the prompt of %d tokens and its answer are larger than the memory of an engine of %q, %d tokens",
		w.PromptTokens, w.Service, w.CacheTokens)
}

// hasMemory reports whether an engine has memory for w.
func (c *Core) hasMemory(now time.Time, w *Work, s *server) bool {
	if !c.accountsMemory(w) {
		return true
	}
	cl := c.claimOf(w)
	return s.memory.hasRoom(now, &cl, w.CacheTokens)
}

// beginMemory claims memory for an attempt that begins. It returns the share of the engine's memory that
// is held then.
func (c *Core) beginMemory(now time.Time, w *Work, r *attempt) (permille uint32) {
	if !c.accountsMemory(w) {
		return 0
	}
	if !w.SensibleSize() {
		c.memoryCounts.Absurd++
	}
	cl := c.claimOf(w)
	r.claim = &cl
	r.server.memory.add(r.claim, w.CacheTokens)
	r.server.cache.markUsed(now, w.Prompt)
	return r.server.memory.permille(now)
}

// Output records how many tokens the answer to a request has had. Call it before Done; 0 is no figure.
func (c *Core) Output(ticket, tokens uint64) {
	r := c.attempts[ticket]
	if r == nil || r.claim == nil {
		return
	}
	if tokens > r.server.memory.capacity {
		c.memoryCounts.Absurd++
		return
	}
	r.claim.generated = tokens
}

// endMemory releases the memory of an attempt that ends, and learns from its answer. It reports whether
// the engine was over its capacity until then.
func (c *Core) endMemory(now time.Time, r *attempt, result Result) (full bool) {
	cl := r.claim
	if cl == nil {
		return false
	}
	m := &r.server.memory
	full = m.wasFull(now)
	m.remove(cl)
	c.outputs.record(cl.key, cl.expected, cl.generated, result == Served)
	if result == Served && !cl.firstAt.IsZero() {
		m.recordSpeed(now.Sub(cl.firstAt), cl.generated)
	}
	return full
}

// MemoryCounts returns the counts since the start.
func (c *Core) MemoryCounts() MemoryCounts { return c.memoryCounts }

// EngineMemory is the account of one engine's memory, in tokens.
type EngineMemory struct {
	Service string
	Server  instance.Incarnation
	// Held is what requests hold; at most Limit may be assigned of Capacity.
	Held, Limit, Capacity uint64
	// Requests is the number of requests that hold it. Uncounted is the number of further requests that
	// the engine reported, and UncountedTokens what they are estimated to hold.
	Requests, Uncounted int
	UncountedTokens     uint64
	// Slots is the number of requests that the engine runs at once.
	Slots int
}

// EngineMemory returns the accounts of the engines of a service, or of all services if it is empty, as far as
// this host assigned requests to them, in order of their IDs.
func (c *Core) EngineMemory(now time.Time, service string) []EngineMemory {
	var out []EngineMemory
	for inc, s := range c.servers {
		inst, known := c.reg.Get(inc.ID)
		if s.memory.capacity == 0 || !known || inst.Started != inc.Started || service != "" && inst.Service != service {
			continue
		}
		m := &s.memory
		m.grow(now)
		e := EngineMemory{
			Service: inst.Service, Server: inc, Held: m.held, Limit: memoryLimit(m.capacity), Capacity: m.capacity, Requests: len(m.claims), Slots: inst.Slots,
		}
		e.Uncounted, e.UncountedTokens = m.unknown(now, 0)
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b EngineMemory) int { return strings.Compare(a.Server.ID, b.Server.ID) })
	return out
}
