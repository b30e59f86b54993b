package dispatch

import (
	"sync"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/silence"
)

// Silence decides when the connection of a run is considered silent. A silent connection is dropped
// and the run read again over a new one, so a false alarm costs little.
type Silence interface {
	// Open begins to watch a run. first is the predicted time to its first token; 0 if unknown.
	Open(now time.Time, id, server string, first time.Duration)
	// Byte records that bytes arrived. token is set if they contained a part of the answer.
	Byte(now time.Time, id string, token bool)
	// Limit returns how long, from now on, the connection may receive no byte. begun is set if a
	// token has arrived.
	Limit(now time.Time, id string, begun bool) time.Duration
	// Close stops watching the run.
	Close(id string)
}

// Bounds of LearnedSilence.
const (
	// defaultFirstToken is used in place of an unknown predicted time to the first token.
	defaultFirstToken = 5 * time.Second
	minLimit          = 10 * time.Millisecond
)

// LearnedSilence learns the gaps between tokens for each server and considers a connection silent
// when its gap is far larger.
type LearnedSilence struct {
	mu       sync.Mutex
	detector *silence.Detector
}

// NewLearnedSilence returns a LearnedSilence.
func NewLearnedSilence(cfg silence.Config) *LearnedSilence {
	return &LearnedSilence{detector: silence.New(cfg)}
}

// Open implements Silence.
func (l *LearnedSilence) Open(now time.Time, id, server string, first time.Duration) {
	if first <= 0 {
		first = defaultFirstToken
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detector.Open(now, id, server, first)
}

// Byte implements Silence.
func (l *LearnedSilence) Byte(now time.Time, id string, token bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detector.Received(now, id, token)
}

// Limit implements Silence.
func (l *LearnedSilence) Limit(now time.Time, id string, _ bool) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.detector.NextCheck(id).Sub(now), minLimit)
}

// Close implements Silence.
func (l *LearnedSilence) Close(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detector.Close(id)
}
