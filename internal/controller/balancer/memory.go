package balancer

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
)

// EngineMemory returns the accounts of the memory of a service's engines, or of all services if it is empty,
// as far as this host assigned requests to them.
func (b *Balancer) EngineMemory(service string) []balance.EngineMemory {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.EngineMemory(time.Now(), service)
}

// MemoryCounts returns what the account of the engines' memory came across since the start.
func (b *Balancer) MemoryCounts() balance.MemoryCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.MemoryCounts()
}

// MemorySummary sums up the accounts of the memory of all engines to which this host assigned requests.
type MemorySummary struct {
	Engines   int `json:"engines"`
	Requests  int `json:"requests"`
	Uncounted int `json:"uncounted"`
	// Held and Capacity are in tokens, Fullest is the largest share held of an engine, in thousandths.
	Held     uint64 `json:"held"`
	Capacity uint64 `json:"capacity"`
	Fullest  uint64 `json:"fullest_permille"`
	balance.MemoryCounts
}

// MemorySummary returns the summary for the metrics.
func (b *Balancer) MemorySummary() MemorySummary {
	s := MemorySummary{MemoryCounts: b.MemoryCounts()}
	for _, e := range b.EngineMemory("") {
		held := e.Held + e.UncountedTokens
		s.Engines++
		s.Requests += e.Requests
		s.Uncounted += e.Uncounted
		s.Held += held
		s.Capacity += e.Capacity
		s.Fullest = max(s.Fullest, 1000*held/e.Capacity)
	}
	return s
}

// logAbsurd logs a request whose expected size is senseless and therefore ignored, once for each account.
func (b *Balancer) logAbsurd(w *balance.Work) {
	if !b.cfg.Overload.Memory || w.SensibleSize() || !b.absurd.First(w.Account) {
		return
	}
	b.cfg.Log.Warn().Str("event", "size-ignored").Str("account", w.Account).Str("service", w.Service).Uint64("prompt", w.PromptTokens).
		Uint64("output", w.OutputTokens).Uint64("output_cap", w.OutputCap).Uint64("memory", w.CacheTokens).Send()
}

// Output implements relay.Lease.
func (l *lease) Output(tokens uint64) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.b.core.Output(l.choice.Ticket, tokens)
}

// MemoryFull implements relay.Lease.
func (l *lease) MemoryFull() bool {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	return l.memoryFull
}
