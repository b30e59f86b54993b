package backend

import "math"

// Confidence in cache knowledge.
const (
	// gapConfidence is what remains of the confidence in a block after one gap in the events.
	gapConfidence = 0.5
	// assumedConfidence holds for blocks that no event confirmed: this host sent the prompt.
	assumedConfidence = 0.8
	// maxGaps after which a block is no longer believed in.
	maxGaps = 3
)

// CacheEvent says what a server's prefix cache gained and lost. Events are
// numbered per incarnation of the server, from 1.
type CacheEvent struct {
	Server      string
	Incarnation uint64
	Seq         uint64
	Stored      []uint64
	Removed     []uint64
	Cleared     bool
}

// cache is what is known of one server's prefix cache. A gap in the numbered
// events makes the knowledge less certain: a lost event may have removed blocks.
type cache struct {
	limit  int
	blocks map[uint64]block
	order  []uint64 // oldest first; may hold hashes removed since
	gaps   uint32
	seq    uint64
	// announcedSeq is the last event number that the server announced.
	announcedSeq uint64
}

type block struct {
	gaps      uint32
	confirmed bool
}

func newCache(limit int) cache { return cache{limit: limit} }

// CacheEvent applies an event; one that was applied or passed over is ignored.
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

// announced takes the event number in an announcement. Events may come a little
// later than the announcement, so the number of the one before is what counts.
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

// Assume notes that a prompt with these prefix blocks was sent to s.
func (s *Server) Assume(hashes []uint64) {
	for _, h := range hashes {
		if b, ok := s.cache.blocks[h]; ok && b.gaps == s.cache.gaps {
			continue
		}
		s.cache.put(h, false)
	}
}

// CachedShare is the expected share, 0 to 1, of a prompt with these successive
// prefix blocks that s need not compute.
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

// CacheBlocks is the number of prefix blocks remembered for s.
func (s *Server) CacheBlocks() int { return len(s.cache.blocks) }
