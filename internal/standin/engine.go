package standin

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/filter/parse"
)

// The reasons why the engine rejects a stream.
var (
	errDuplicate = errors.New("a stream with this id already exists")
	errQueueFull = errors.New("the queue is full")
)

// sweepInterval is the interval at which expired streams are removed.
const sweepInterval = time.Second

// engine runs the batch model in real time and stores the streams by id.
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

// submit queues a stream. hashes are those of the prompt's prefix blocks. No id is executed
// twice: submit returns errDuplicate while an earlier stream with the same id is kept.
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

// importStream continues a stream of another engine, whose KV cache was imported.
func (e *engine) importStream(st *stream) error {
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
		return errDuplicate
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

// slowDown multiplies the time of all further steps by factor.
func (e *engine) slowDown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.slow = factor
}

// load is the engine's load for the announcements.
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

// run steps the batch until ctx ends. Each step is timed from the scheduled end of the previous
// one, so that late wake-ups do not slow the model down.
func (e *engine) run(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		e.mu.Lock()
		idle := e.batch.idle()
		took, emitted := e.batch.step()
		e.mu.Unlock()
		if idle {
			e.waitForWork(ctx)
			next = time.Now()
			continue
		}
		next = next.Add(took)
		sleepUntil(ctx, next)
		e.emit(emitted)
	}
}

// waitForWork waits for work and removes expired streams.
func (e *engine) waitForWork(ctx context.Context) {
	timer := time.NewTimer(sweepInterval)
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
	if now.Sub(e.lastSweep) < sweepInterval {
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
