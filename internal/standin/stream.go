package standin

import (
	"context"
	"sync"
	"time"
)

// streamState is the state of a stream.
type streamState int

const (
	streamRunning streamState = iota
	streamFinished
	streamCancelled
)

// stream is one request executed by the engine. Its text follows from the prompt's hash, so only
// the number of generated tokens is stored.
type stream struct {
	id           string
	model        string
	chat         bool
	hash         uint64
	promptTokens int
	cachedTokens int
	// limit is the length of the answer. capped is true if the cap limits it.
	limit  int
	capped bool

	mu       sync.Mutex
	produced int
	state    streamState
	ended    time.Time
	changed  chan struct{} // closed and replaced at each change
}

// progress is the state of a stream for its readers.
type progress struct {
	produced int
	state    streamState
}

func newStream(id string) *stream {
	return &stream{id: id, changed: make(chan struct{})}
}

// addToken counts one more token and ends the stream at its limit. It returns false if the
// stream has already ended.
func (s *stream) addToken(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != streamRunning {
		return false
	}
	s.produced++
	if s.produced >= s.limit {
		s.state = streamFinished
		s.ended = now
	}
	s.signal()
	return true
}

// cancel ends a running stream at its current length.
func (s *stream) cancel(now time.Time) progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == streamRunning {
		s.state = streamCancelled
		s.ended = now
		s.signal()
	}
	return progress{produced: s.produced, state: s.state}
}

func (s *stream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) progress() progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return progress{produced: s.produced, state: s.state}
}

// wait blocks until the stream has more than seen tokens, or has ended.
func (s *stream) wait(ctx context.Context, seen int) (progress, error) {
	for {
		s.mu.Lock()
		p := progress{produced: s.produced, state: s.state}
		changed := s.changed
		s.mu.Unlock()
		if p.produced > seen || p.state != streamRunning {
			return p, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}

// expired reports whether the stream ended more than keep ago.
func (s *stream) expired(now time.Time, keep time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != streamRunning && now.Sub(s.ended) > keep
}

func (s *stream) finishReason(state streamState) string {
	switch {
	case state == streamCancelled:
		return "cancelled"
	case s.capped:
		return "length"
	default:
		return "stop"
	}
}
