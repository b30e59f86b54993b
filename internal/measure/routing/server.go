package routing

import (
	"container/list"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// The constants of the simulated servers, in seconds and tokens per second.
const (
	modelSlots    = 16
	baseTokenTime = 0.015
	slowdown      = 0.00075 // added to the token time per request in the batch
	fullTokenTime = baseTokenTime + slowdown*modelSlots
	prefillRate   = 12000.0
	cacheBlocks   = 1200

	serviceSlots     = 2
	serviceTokenTime = 0.010
)

// modelCapacity returns the number of requests per second that n servers can process with full
// batches and no cache hits.
func modelCapacity(n int) float64 {
	slotTime := 0.0
	for _, s := range classShapes {
		output := float64(s.output[0]+s.output[1]) / 2 * (minOutputShare + maxOutputShare) / 2
		prompt := float64(s.prompt[0]+s.prompt[1]) / 2
		slotTime += s.share * (output*fullTokenTime + prompt/prefillRate)
	}
	return float64(n*modelSlots) / slotTime
}

func serviceCapacity(n int) float64 { return float64(n*serviceSlots) / (10 * serviceTokenTime) }

// server is a simulated backend server.
type server struct {
	index       int
	address     string
	zone        string
	model       bool
	slots       int
	dead        bool
	active      []*job
	queue       []*job
	cache       lru
	seq         uint64
	loadHistory []loadSample
	loadSum     float64
	busySum     float64
}

// loadSample is the load at a point in time.
type loadSample struct {
	at               time.Duration
	running, waiting int
}

// lru is a prefix cache with its changes since the last cache event.
type lru struct {
	order   *list.List
	blocks  map[uint64]*list.Element
	stored  []uint64
	removed []uint64
}

func newServer(i int, address, zone string, model bool) *server {
	s := &server{index: i, address: address, zone: zone, model: model, slots: serviceSlots}
	if model {
		s.slots = modelSlots
	}
	s.cache = lru{order: list.New(), blocks: make(map[uint64]*list.Element)}
	return s
}

func (c *lru) hits(hashes []uint64) int {
	n := 0
	for _, h := range hashes {
		e, ok := c.blocks[h]
		if !ok {
			break
		}
		c.order.MoveToFront(e)
		n++
	}
	return n
}

func (c *lru) put(hashes []uint64) {
	for _, h := range hashes {
		if e, ok := c.blocks[h]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[h] = c.order.PushFront(h)
		c.stored = append(c.stored, h)
		if len(c.blocks) > cacheBlocks {
			old := c.order.Remove(c.order.Back()).(uint64)
			delete(c.blocks, old)
			c.removed = append(c.removed, old)
		}
	}
}

// peek counts hits without changing the order, for the oracle.
func (c *lru) peek(hashes []uint64) int {
	n := 0
	for _, h := range hashes {
		if _, ok := c.blocks[h]; !ok {
			break
		}
		n++
	}
	return n
}

func (s *server) tokenTime(batch int) float64 {
	if !s.model {
		return serviceTokenTime
	}
	return baseTokenTime + slowdown*float64(batch)
}

// admit moves waiting requests into the batch, more urgent classes first.
func (s *server) admit() {
	for len(s.active) < s.slots && len(s.queue) > 0 {
		best := 0
		for i, j := range s.queue {
			if j.class < s.queue[best].class {
				best = i
			}
		}
		j := s.queue[best]
		s.queue = append(s.queue[:best], s.queue[best+1:]...)
		j.cached = s.cache.hits(j.hashes)
		j.prefillLeft = float64(j.prompt - j.cached*blockTokens)
		s.active = append(s.active, j)
	}
}

// runTick simulates one tick and returns the requests that finished in it.
func (s *server) runTick(now, tick time.Duration) []*job {
	s.admit()
	budget := prefillRate * tick.Seconds()
	rate := tick.Seconds() / s.tokenTime(len(s.active))
	var done []*job
	keep := s.active[:0]
	for _, j := range s.active {
		if j.prefillLeft > 0 {
			step := min(budget, j.prefillLeft)
			budget -= step
			j.prefillLeft -= step
			if j.prefillLeft <= 0 {
				s.cache.put(j.hashes)
			}
			keep = append(keep, j)
			continue
		}
		j.produced += rate
		if j.firstAt == 0 && j.produced >= 1 {
			j.firstAt = now
		}
		if j.produced >= float64(j.output) {
			done = append(done, j)
			continue
		}
		keep = append(keep, j)
	}
	s.active = keep
	s.loadSum += float64(len(s.active) + len(s.queue))
	if now > countFrom && now <= countUntil {
		s.busySum += float64(len(s.active))
	}
	return done
}

// cancel cancels a request.
func (s *server) cancel(j *job) {
	for i, x := range s.active {
		if x == j {
			s.active = append(s.active[:i], s.active[i+1:]...)
			return
		}
	}
	for i, x := range s.queue {
		if x == j {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// announce returns the next announcement, with the load as it was lag ago.
func (s *server) announce(now, lag time.Duration) *pb.ServerState {
	s.loadHistory = append(s.loadHistory, loadSample{now, len(s.active), len(s.queue)})
	for len(s.loadHistory) > 1 && s.loadHistory[1].at <= now-lag {
		s.loadHistory = s.loadHistory[1:]
	}
	old := s.loadHistory[0]
	s.seq++
	st := &pb.ServerState{
		Address: s.address, Incarnation: 1, Seq: s.seq, Zone: s.zone,
		Running: uint32(old.running), Waiting: uint32(old.waiting), Slots: uint32(s.slots),
		LoadAgeMs: (now - old.at).Milliseconds(),
	}
	if !s.model {
		st.Services = []string{serviceTarget.Name}
		return st
	}
	st.Models = []string{modelTarget.Name}
	st.TokensPerSecond = 1 / s.tokenTime(old.running)
	st.PrefillPerSecond = prefillRate
	return st
}
