package backend

import "math"

// Confidence in the estimate of a server's cache.
const (
	// gapConfidence is the factor by which each gap in the events reduces the confidence in a block.
	gapConfidence = 0.5
	// assumedConfidence is the confidence in a block that this host sent, but no event confirmed.
	assumedConfidence = 0.8
	// maxGaps is the number of gaps after which a block counts as not cached.
	maxGaps = 3
)

// CacheEvent reports changes of a server's prefix cache. Events are numbered from 1 for each
// incarnation of the server.
type CacheEvent struct {
	Server      string
	Incarnation uint64
	Seq         uint64
	Stored      []uint64
	Removed     []uint64
	Cleared     bool
}

// cache is the estimate of one server's prefix cache. A gap in the numbered events makes the
// estimate less certain: a lost event may have removed blocks.
type cache struct {
	limit  int
	blocks map[uint64]block
	order  []uint64 // oldest first; may hold hashes removed since
	gaps   uint32
	seq    uint64
	// announcedSeq is the number of the last event according to the server's announcements.
	announcedSeq uint64
}

type block struct {
	gaps      uint32
	confirmed bool
}

func newCache(limit int) cache { return cache{limit: limit} }

// CacheEvent applies an event. An event that was already applied, or that is older than a gap
// already counted, is ignored.
func (r *Registry) CacheEvent(ev CacheEvent) {
	s := r.servers[ev.Server]
	if s == nil || s.state.GetIncarnation() != ev.Incarnation || ev.Seq <= s.cache.seq {
		return
	}
	c := &s.cache
	if ev.Seq != c.seq+1 {
		c.gaps++
	}
	c.seq = ev.Seq
	if ev.Cleared {
		*c = cache{limit: c.limit, gaps: c.gaps, seq: c.seq, announcedSeq: c.announcedSeq}
	}
	for _, h := range ev.Removed {
		delete(c.blocks, h)
	}
	for _, h := range ev.Stored {
		c.put(h, true)
	}
}

// announced records the event number of an announcement. Events may arrive slightly later than the
// announcement, so the number of the previous announcement is compared.
func (c *cache) announced(seq uint64) {
	if c.announcedSeq > c.seq {
		c.gaps++
		c.seq = c.announcedSeq
	}
	c.announcedSeq = seq
}

func (c *cache) put(h uint64, confirmed bool) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]block)
	}
	old, ok := c.blocks[h]
	c.blocks[h] = block{gaps: c.gaps, confirmed: confirmed || (ok && old.confirmed && old.gaps == c.gaps)}
	if ok {
		return
	}
	c.order = append(c.order, h)
	for len(c.blocks) > c.limit || len(c.order) > 2*c.limit {
		delete(c.blocks, c.order[0])
		c.order = c.order[1:]
	}
}

// AssumeCached records that a prompt with these prefix blocks was sent to s.
func (s *Server) AssumeCached(hashes []uint64) {
	for _, h := range hashes {
		if b, ok := s.cache.blocks[h]; ok && b.gaps == s.cache.gaps {
			continue
		}
		s.cache.put(h, false)
	}
}

// CachedShare returns the expected share, 0 to 1, of a prompt with these consecutive prefix blocks
// that s has cached.
func (s *Server) CachedShare(hashes []uint64) float64 {
	if len(hashes) == 0 || len(s.cache.blocks) == 0 {
		return 0
	}
	sum := 0.0
	for _, h := range hashes {
		b, ok := s.cache.blocks[h]
		if !ok || s.cache.gaps-b.gaps >= maxGaps {
			break
		}
		confidence := math.Pow(gapConfidence, float64(s.cache.gaps-b.gaps))
		if !b.confirmed {
			confidence *= assumedConfidence
		}
		sum += confidence
	}
	return sum / float64(len(hashes))
}

// CacheBlocks returns the number of prefix blocks kept for s.
func (s *Server) CacheBlocks() int { return len(s.cache.blocks) }
