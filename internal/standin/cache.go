package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is how much of a prompt's text one cached block holds: 16 tokens.
const blockBytes = 64

// maxCacheEvents bounds the events kept for posting; older ones are lost, which
// leaves a gap in the numbers.
const maxCacheEvents = 10000

// BlockHashes returns the hashes of the successive prefix blocks of a prompt's text.
// Each is the hash of the whole text up to the end of the block. A last block that
// is not full has none.
func BlockHashes(text string) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	for len(text) >= blockBytes {
		_, _ = digest.WriteString(text[:blockBytes])
		text = text[blockBytes:]
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// CacheEvent is one numbered change of the prefix cache.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Stored  []uint64 `json:"stored,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
}

// prefixCache keeps the blocks used last, within a bound, and the events not yet taken.
type prefixCache struct {
	bound  int
	blocks map[uint64]*list.Element
	recent *list.List // front: used last
	seq    uint64
	events []CacheEvent
}

func newPrefixCache(bound int) *prefixCache {
	return &prefixCache{bound: bound, blocks: map[uint64]*list.Element{}, recent: list.New()}
}

// use looks a prompt's blocks up, stores those that were missing and returns how
// many leading blocks were there.
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
		ev.Stored = append(ev.Stored, h)
	}
	for len(c.blocks) > c.bound {
		oldest := c.recent.Back()
		h := c.recent.Remove(oldest).(uint64)
		delete(c.blocks, h)
		ev.Removed = append(ev.Removed, h)
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

// take returns the events since the last take.
func (c *prefixCache) take() []CacheEvent {
	ev := c.events
	c.events = nil
	return ev
}
