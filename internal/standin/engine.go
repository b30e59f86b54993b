package standin

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/filter/parse"
)

// Reasons why the engine takes no stream.
var (
	errKnown     = errors.New("a stream of this name is known")
	errQueueFull = errors.New("the queue is full")
)

// sweepEvery is how often streams that need no longer be kept are dropped.
const sweepEvery = time.Second

// engine binds the batch model to the clock and keeps the streams by name.
type engine struct {
	maxWaiting int
	keep       time.Duration
	wake       chan struct{}

	mu        sync.Mutex
	batch     *batch
	cache     *prefixCache
	streams   map[string]*stream
	lastSweep time.Time
	runs      int
	output    int
	cancelled int
}

func newEngine(o Options) *engine {
	return &engine{
		maxWaiting: o.MaxWaiting,
		keep:       o.Keep,
		wake:       make(chan struct{}, 1),
		batch:      newBatch(o),
		cache:      newPrefixCache(o.CacheBlocks),
		streams:    map[string]*stream{},
	}
}

// submit queues a stream. hashes are the prompt's prefix blocks. One name never runs
// twice: errKnown while the first stream of the name is kept.
func (e *engine) submit(st *stream, hashes []uint64, priority int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(st); err != nil {
		return err
	}
	st.cachedTokens = min(e.cache.use(hashes)*parse.BlockBytes/bytesPerToken, st.promptTokens)
	e.start(&sequence{
		stream:      st,
		priority:    priority,
		prefillLeft: st.promptTokens - st.cachedTokens,
		decodeLeft:  st.limit,
	})
	return nil
}

// adopt goes on with a stream of another engine, whose KV cache came with it.
func (e *engine) adopt(st *stream) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(st); err != nil {
		return err
	}
	e.start(&sequence{stream: st, decodeLeft: st.limit - st.produced})
	return nil
}

func (e *engine) admit(st *stream) error {
	if _, known := e.streams[st.id]; known {
		return errKnown
	}
	if len(e.batch.waiting) >= e.maxWaiting {
		return errQueueFull
	}
	return nil
}

func (e *engine) start(s *sequence) {
	e.streams[s.stream.id] = s.stream
	e.batch.add(s)
	e.runs++
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *engine) find(id string) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st, ok := e.streams[id]
	return st, ok
}

func (e *engine) cancel(st *stream) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	was := st.progress().state
	p := st.cancel(time.Now())
	if was == streamRunning && p.state == streamCancelled {
		e.cancelled++
	}
	e.batch.remove(st)
	return p
}

// slowDown multiplies the time of every step from now on.
func (e *engine) slowDown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.slow = factor
}

// load is what the engine reports of itself.
type load struct {
	running, waiting int
	tokensPerSecond  float64
	prefillPerSecond float64
	cacheSeq         uint64
}

func (e *engine) load() load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return load{
		running:          len(e.batch.active),
		waiting:          len(e.batch.waiting),
		tokensPerSecond:  e.batch.tokensPerSecond(),
		prefillPerSecond: e.batch.prefillSpeed / e.batch.slow,
		cacheSeq:         e.cache.seq,
	}
}

func (e *engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.batch.idle()
}

// run steps the batch until ctx ends. Steps are timed from the end of the former
// step, so that a late wake-up does not slow the model down.
func (e *engine) run(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		e.mu.Lock()
		idle := e.batch.idle()
		took, emitted := e.batch.step()
		e.mu.Unlock()
		if idle {
			e.rest(ctx)
			next = time.Now()
			continue
		}
		next = next.Add(took)
		sleepUntil(ctx, next)
		e.emit(emitted)
	}
}

// rest waits for work and drops streams that need no longer be kept.
func (e *engine) rest(ctx context.Context) {
	timer := time.NewTimer(sweepEvery)
	defer timer.Stop()
	select {
	case <-e.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
	e.sweep(time.Now())
}

func (e *engine) emit(streams []*stream) {
	now := time.Now()
	added := 0
	for _, st := range streams {
		if st.addToken(now) {
			added++
		}
	}
	e.mu.Lock()
	e.output += added
	e.mu.Unlock()
	e.sweep(now)
}

func (e *engine) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.lastSweep) < sweepEvery {
		return
	}
	e.lastSweep = now
	for id, st := range e.streams {
		if st.expired(now, e.keep) {
			delete(e.streams, id)
		}
	}
}

func sleepUntil(ctx context.Context, t time.Time) {
	d := time.Until(t)
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
