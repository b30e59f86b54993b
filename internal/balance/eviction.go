package balance

import "time"

// hotFor is how long after its last use a part of prompts that requests share is expected to be used again.
const hotFor = 10 * time.Second

// evictionCost returns what it will cost later requests that the engine of a candidate evicts parts of
// prompts to make room for w: their prefill, weighed like that of a prompt.
func (c *Core) evictionCost(now time.Time, w *Work, cand *candidate) time.Duration {
	if !c.accountsMemory(w) {
		return 0
	}
	output := c.claimOf(w).output
	uncached := w.PromptTokens - min(cand.cached, w.PromptTokens)
	hot := cand.server.hotEvicted(now, uncached+output, w)
	if hot == 0 {
		return 0
	}
	prefill := prefillTime(float64(hot))
	return prefill/earlyPart + time.Duration(float64(prefill)*queuedPerUtilization*cand.server.utilization(now))
}

// hotEvicted returns the size of the hot parts that an engine evicts to make room for a number of tokens:
// those that several prompts had, the last one a short time ago. An engine evicts neither the parts of
// requests that it runs nor those of w itself.
func (s *server) hotEvicted(now time.Time, tokens uint64, w *Work) uint64 {
	if s.cache.size+tokens <= w.CacheTokens {
		return 0
	}
	toFree, freed, hot := s.cache.size+tokens-w.CacheTokens, uint64(0), uint64(0)
	for e := s.cache.order.Back(); e != nil && freed < toFree; e = e.Prev() {
		p := e.Value.(*cachedPart)
		if _, held := s.memory.parts[p.ID]; held || repeats(w.Prompt, p.ID) {
			continue
		}
		freed += p.Tokens
		if p.uses > 1 && !p.usedAt.IsZero() && now.Sub(p.usedAt) <= hotFor {
			hot += p.Tokens
		}
	}
	return hot
}
