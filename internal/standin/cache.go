package standin

import (
	"container/list"
	"strconv"
)

// maxCacheEvents bounds the events kept until they are posted. Older ones are dropped, which
// leaves a gap in the sequence numbers.
const maxCacheEvents = 10000

// CacheEvent is one change of the prefix cache, with a sequence number. Blocks are identified by
// their hashes in hex.
type CacheEvent struct {
	Seq     uint64      `json:"seq"`
	Stored  []BlockHash `json:"stored,omitempty"`
	Removed []BlockHash `json:"removed,omitempty"`
}

// BlockHash is the hash of a prompt's prefix up to the end of a block, as computed by entry
// hosts. It is encoded in hex.
type BlockHash uint64

// MarshalText implements encoding.TextMarshaler.
func (h BlockHash) MarshalText() ([]byte, error) {
	return strconv.AppendUint(nil, uint64(h), 16), nil
}

// prefixCache is an LRU cache of blocks, with the events that were not taken yet.
type prefixCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	recent   *list.List // front: most recently used
	seq      uint64
	events   []CacheEvent
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[uint64]*list.Element{}, recent: list.New()}
}

// use looks up a prompt's blocks, stores the missing ones and returns the number of leading
// blocks that were cached.
func (c *prefixCache) use(hashes []uint64) (hits int) {
	var ev CacheEvent
	missed := false
	for _, h := range hashes {
		if el, ok := c.blocks[h]; ok {
			c.recent.MoveToFront(el)
			if !missed {
				hits++
			}
			continue
		}
		missed = true
		c.blocks[h] = c.recent.PushFront(h)
		ev.Stored = append(ev.Stored, BlockHash(h))
	}
	for len(c.blocks) > c.capacity {
		oldest := c.recent.Back()
		h := c.recent.Remove(oldest).(uint64)
		delete(c.blocks, h)
		ev.Removed = append(ev.Removed, BlockHash(h))
	}
	if len(ev.Stored)+len(ev.Removed) > 0 {
		c.seq++
		ev.Seq = c.seq
		c.events = append(c.events, ev)
	}
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
	return hits
}

// takeEvents returns the events since the last call.
func (c *prefixCache) takeEvents() []CacheEvent {
	ev := c.events
	c.events = nil
	return ev
}
