package balance

import (
	"container/list"
	"time"
)

// cache estimates which prompt parts an engine holds in its prefix cache: the parts dispatched to
// it, with the least recently used evicted first.
type cache struct {
	parts map[uint64]*list.Element
	order *list.List // of *cachedPart, most recently used first
	size  uint64
	// capacity is the size of the engine's cache in tokens; 0 until known.
	capacity uint64
}

// cachedPart is a part in a cache.
type cachedPart struct {
	Part
	// uses counts the prompts that had it. usedAt is when this host assigned the last one; zero if it
	// assigned none.
	uses   int
	usedAt time.Time
}

func newCache() cache {
	return cache{parts: make(map[uint64]*list.Element), order: list.New()}
}

// cached returns the number of tokens at the beginning of a prompt that the engine has cached.
func (c *cache) cached(prompt []Part) uint64 {
	sum := uint64(0)
	for _, p := range prompt {
		if c.parts[p.ID] == nil {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// touch records that the engine prefills a prompt. limit is the cache capacity in tokens.
func (c *cache) touch(prompt []Part, limit uint64) {
	c.capacity = limit
	// In reverse order, so that the parts at the beginning, which other prompts share, are evicted last.
	for i := len(prompt) - 1; i >= 0; i-- {
		c.use(prompt[i])
	}
	c.shrink()
}

// use makes a part the most recently used.
func (c *cache) use(p Part) {
	if e := c.parts[p.ID]; e != nil {
		c.order.MoveToFront(e)
		e.Value.(*cachedPart).uses++
		return
	}
	c.parts[p.ID] = c.order.PushFront(&cachedPart{Part: p, uses: 1})
	c.size += p.Tokens
}

// markUsed records when a prompt was dispatched.
func (c *cache) markUsed(now time.Time, prompt []Part) {
	for _, p := range prompt {
		if e := c.parts[p.ID]; e != nil {
			e.Value.(*cachedPart).usedAt = now
		}
	}
}

// list returns the cached parts, the least recently used first.
func (c *cache) list() []Part {
	parts := make([]Part, 0, c.order.Len())
	for e := c.order.Back(); e != nil; e = e.Prev() {
		parts = append(parts, e.Value.(*cachedPart).Part)
	}
	return parts
}

// merge adds parts that the engine prefilled for another host, the least recently used first.
func (c *cache) merge(parts []Part, limit uint64) {
	c.capacity = limit
	for _, p := range parts {
		c.use(p)
	}
	c.shrink()
}

func (c *cache) shrink() {
	for c.capacity > 0 && c.size > c.capacity && c.order.Len() > 0 {
		oldest := c.order.Back()
		p := c.order.Remove(oldest).(*cachedPart)
		delete(c.parts, p.ID)
		c.size -= p.Tokens
	}
}
