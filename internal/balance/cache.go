package balance

import "container/list"

// cache is this host's guess of the prompt parts that an engine keeps: those that it was
// sent, the least recently used forgotten first.
type cache struct {
	parts map[uint64]*list.Element
	order *list.List // of Part, most recently used first
	size  uint64
	// limit is the engine's memory in tokens, once known.
	limit uint64
}

func newCache() cache {
	return cache{parts: make(map[uint64]*list.Element), order: list.New()}
}

// cached is how many tokens at the beginning of a prompt are kept.
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

// touch notes that the engine reads a prompt. limit is its memory in tokens.
func (c *cache) touch(prompt []Part, limit uint64) {
	c.limit = limit
	// Backwards, so that what others share, at the beginning, is forgotten last.
	for i := len(prompt) - 1; i >= 0; i-- {
		c.use(prompt[i])
	}
	c.shrink()
}

// use makes a part the most recently used.
func (c *cache) use(p Part) {
	if e := c.parts[p.ID]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.parts[p.ID] = c.order.PushFront(p)
	c.size += p.Tokens
}

// list has the kept parts, the least recently used first.
func (c *cache) list() []Part {
	parts := make([]Part, 0, c.order.Len())
	for e := c.order.Back(); e != nil; e = e.Prev() {
		parts = append(parts, e.Value.(Part))
	}
	return parts
}

// learn takes parts that the engine read for another host, the least recently used first.
func (c *cache) learn(parts []Part, limit uint64) {
	c.limit = limit
	for _, p := range parts {
		c.use(p)
	}
	c.shrink()
}

func (c *cache) shrink() {
	for c.limit > 0 && c.size > c.limit && c.order.Len() > 0 {
		oldest := c.order.Back()
		p := c.order.Remove(oldest).(Part)
		delete(c.parts, p.ID)
		c.size -= p.Tokens
	}
}
