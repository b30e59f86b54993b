package dispatch

import (
	"sync"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/silence"
)

// Silence decides when the connection of a run counts as silent. A silent connection
// is left and the run read again over a new one, so a false alarm costs little.
type Silence interface {
	// Open begins to watch a run; first is the predicted time to its first token, 0: unknown.
	Open(now time.Time, id, server string, first time.Duration)
	// Byte notes that bytes came; token: with a part of the answer.
	Byte(now time.Time, id string, token bool)
	// Limit is how long from now on no byte may come; begun: a token has come.
	Limit(now time.Time, id string, begun bool) time.Duration
	// Close ends the watch.
	Close(id string)
}

// Bounds of LearnedSilence.
const (
	// unknownFirst is taken for the predicted time to the first token where none is known.
	unknownFirst = 5 * time.Second
	shortest     = 10 * time.Millisecond
)

// LearnedSilence learns the gaps between tokens per server and takes what is far
// over them for silence.
type LearnedSilence struct {
	mu       sync.Mutex
	detector *silence.Detector
}

// NewLearnedSilence makes a LearnedSilence.
func NewLearnedSilence(cfg silence.Config) *LearnedSilence {
	return &LearnedSilence{detector: silence.New(cfg)}
}

// Open implements Silence.
func (l *LearnedSilence) Open(now time.Time, id, server string, first time.Duration) {
	if first <= 0 {
		first = unknownFirst
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
	return max(l.detector.NextCheck(id).Sub(now), shortest)
}

// Close implements Silence.
func (l *LearnedSilence) Close(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detector.Close(id)
}
