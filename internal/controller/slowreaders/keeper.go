// Package slowreaders makes those who send to slow callers or backend servers wait, as package slowread
// decides, and tells operators what is held for whom.
package slowreaders

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/slowread"
)

const (
	// QueueBytes bounds what is queued for one caller's connection, queueLowBytes is at how much a
	// caller that has reached it is sent more.
	QueueBytes    = 256 << 10
	queueLowBytes = 128 << 10
	// smallBytes is what a connection may have queued as long as there is room at all.
	smallBytes = 4 << 10
	// writeBytes bounds one write to a caller's connection. It is below the 64 KiB at which
	// nbhttp sends by itself, headers included.
	writeBytes = 32 << 10
	// smallBody is the size of bodies, in bytes, that never wait.
	smallBody = 64 << 10
	// bodyWait bounds the wait for room for a larger body. While there has been no room for as long,
	// such a request is refused at once.
	bodyWait = time.Second
	// refusalRetryMin and refusalRetryMax bound the time after which a refused caller may come back.
	refusalRetryMin = 2 * time.Second
	refusalRetryMax = 5 * time.Second
	// slowAfter is how long an answer has to wait for its caller for a line in the log.
	slowAfter = time.Second
	// linesPerSecond and lineBurst bound the lines about slow callers and servers.
	linesPerSecond = 2
	lineBurst      = 20
)

// Config configures a Keeper.
type Config struct {
	// Bound is for all that is held for callers and servers, in bytes.
	Bound int64
	Log   zerolog.Logger
}

// Keeper accounts for the process. It is safe for concurrent use.
type Keeper struct {
	log     zerolog.Logger
	lines   *rate.Limiter
	metrics metrics

	mu      sync.Mutex
	pool    *slowread.Pool
	holders map[*slowread.Holder]*Holder
	// fullSince is since when the pool is full; zero while it is not.
	fullSince time.Time
}

var _ relay.Pacer = (*Keeper)(nil)

// New returns a Keeper that holds nothing.
func New(cfg Config) *Keeper {
	k := &Keeper{
		log: cfg.Log, lines: rate.NewLimiter(linesPerSecond, lineBurst),
		pool: slowread.New(slowread.Config{
			Bound: cfg.Bound, Queue: min(QueueBytes, cfg.Bound), QueueLow: min(queueLowBytes, cfg.Bound/2), Small: smallBytes,
		}),
		holders: map[*slowread.Holder]*Holder{},
	}
	k.metrics.init(k)
	return k
}

// Holder is a caller's connection, or a request, for which bytes are held.
type Holder struct {
	k *Keeper
	h *slowread.Holder
	// wake has room for one value: a step was granted, or the holder is closed.
	wake chan struct{}
	// body: the bytes are those of a request's body.
	body bool
	// closed is guarded by k.mu.
	closed bool
}

var _ httpserver.Held = (*Holder)(nil)

func (k *Keeper) join(side slowread.Side, account string) *Holder {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := &Holder{k: k, h: k.pool.Join(side, account), wake: make(chan struct{}, 1), body: side == slowread.Servers}
	k.holders[h.h] = h
	return h
}

// Connection returns the account of a caller's connection that was accepted.
func (k *Keeper) Connection() httpserver.Held { return k.join(slowread.Callers, "") }

// Queued implements httpserver.Held.
func (h *Holder) Queued(n int) { h.locked(func() { h.k.pool.Force(h.h, int64(n)) }) }

// Sent implements httpserver.Held.
func (h *Holder) Sent(n int) { h.locked(func() { h.k.wakeAll(h.k.pool.Give(h.h, int64(n))) }) }

// Close implements httpserver.Held.
func (h *Holder) Close() {
	h.locked(func() {
		h.closed = true
		delete(h.k.holders, h.h)
		h.k.wakeAll(h.k.pool.Leave(h.h))
		h.wakeUp()
	})
}

// locked calls f unless the holder is closed.
func (h *Holder) locked(f func()) {
	h.k.mu.Lock()
	defer h.k.mu.Unlock()
	if h.closed {
		return
	}
	f()
	h.k.noteFull()
}

// noteFull keeps fullSince. The caller holds k.mu.
func (k *Keeper) noteFull() {
	switch full := k.pool.Full(); {
	case !full:
		k.fullSince = time.Time{}
	case k.fullSince.IsZero():
		k.fullSince = time.Now()
	}
}

// wakeAll wakes holders whose steps were granted. The caller holds k.mu.
func (k *Keeper) wakeAll(granted []*slowread.Holder) {
	for _, g := range granted {
		if h := k.holders[g]; h != nil {
			h.wakeUp()
		}
	}
}

func (h *Holder) wakeUp() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// errLeft is returned to writers whose connection has closed.
var errLeft = errkind.New(errkind.CallerGone, "the caller's connection is closed")

// take takes up to n bytes, waits for at most smallBytes of them while there is no room, and returns how
// many it took.
func (h *Holder) take(ctx context.Context, requestID string, n int) (int, error) {
	taken, err := h.ask(n, min(n, smallBytes))
	if taken > 0 || err != nil {
		return taken, err
	}
	return h.await(ctx, requestID, min(n, smallBytes))
}

// ask tries to take n bytes, or the smaller step; 0: the holder waits for the step.
func (h *Holder) ask(n, step int) (taken int, err error) {
	err = errLeft
	h.locked(func() {
		err = nil
		switch {
		case h.k.pool.Try(h.h, int64(n)):
			taken = n
		case h.k.pool.Ask(h.h, int64(step)):
			taken = step
		}
	})
	return taken, err
}

// await waits until the step that ask has left waiting is granted.
func (h *Holder) await(ctx context.Context, requestID string, step int) (int, error) {
	h.k.metrics.waits.Add(1)
	began := time.Now()
	slow := time.NewTimer(slowAfter)
	defer slow.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0, h.abandon(ctx, step)
		case <-slow.C:
			h.logSlow(requestID, began)
		case <-h.wake:
			granted, err := h.granted()
			if granted || err != nil {
				return step, err
			}
		}
	}
}

func (h *Holder) granted() (granted bool, err error) {
	err = errLeft
	h.locked(func() { granted, err = !h.h.Waiting(), nil })
	return granted, err
}

// abandon ends a wait. A step that was granted at the same time is returned.
func (h *Holder) abandon(ctx context.Context, step int) error {
	h.locked(func() {
		if h.h.Waiting() {
			h.k.wakeAll(h.k.pool.Cancel(h.h))
			return
		}
		h.k.wakeAll(h.k.pool.Give(h.h, int64(step)))
	})
	select {
	case <-h.wake:
	default:
	}
	return context.Cause(ctx)
}

// Write implements relay.Pacer.
func (k *Keeper) Write(ctx context.Context, w http.ResponseWriter, account, requestID string, n int) (int, func(), error) {
	h, ok := httpserver.HeldOf(w).(*Holder)
	if !ok {
		return n, func() {}, nil
	}
	h.locked(func() { k.pool.SetAccount(h.h, account) })
	taken, err := h.take(ctx, requestID, min(n, writeBytes))
	return taken, func() { h.Sent(taken) }, err
}

// Ahead implements relay.Pacer.
func (k *Keeper) Ahead(account string) relay.AheadRoom {
	return &ahead{k.join(slowread.Callers, account)}
}

// ahead is the part of an answer that was read before the caller has.
type ahead struct{ *Holder }

// Take implements relay.AheadRoom.
func (a *ahead) Take(n int) (ok bool) {
	a.locked(func() { ok = a.k.pool.TryAhead(a.h, int64(n)) })
	return ok
}

// Body implements relay.Pacer.
func (k *Keeper) Body(ctx context.Context, account, requestID string, n int) (release func(), err error) {
	h := k.join(slowread.Servers, account)
	if n <= smallBody {
		h.Queued(n)
		return h.Close, nil
	}
	taken, err := 0, error(nil)
	if k.fullFor() < bodyWait {
		if taken, err = h.ask(n, n); taken == 0 && err == nil {
			waitCtx, cancel := context.WithTimeout(ctx, bodyWait)
			taken, err = h.await(waitCtx, requestID, n)
			cancel()
		}
	}
	if taken > 0 && err == nil {
		return h.Close, nil
	}
	h.Close()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return nil, k.refusal(account, requestID, n)
}

// fullFor returns how long the pool has been full.
func (k *Keeper) fullFor() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fullSince.IsZero() {
		return 0
	}
	return time.Since(k.fullSince)
}
