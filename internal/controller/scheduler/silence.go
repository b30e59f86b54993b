package scheduler

import (
	"expvar"
	"sync"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/silence"
)

// Silence learns how long connections to each server are usually quiet, and tells
// the dispatch filter when one is silent. It is safe for concurrent use.
type Silence struct {
	// Found counts the connections that were found silent.
	Found expvar.Int

	mu   sync.Mutex
	gaps *silence.Gaps
}

// NewSilence makes a Silence that knows nothing yet.
func NewSilence(cfg silence.Config) *Silence { return &Silence{gaps: silence.NewGaps(cfg)} }

// Limit is how long a connection to server may give no byte; first: before the
// first of an answer.
func (s *Silence) Limit(server string, first bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gaps.Limit(server, first)
}

// Heard reports a gap that ended.
func (s *Silence) Heard(server string, first bool, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gaps.Heard(server, first, gap)
}

// Silent reports that the limit passed.
func (s *Silence) Silent(string) { s.Found.Add(1) }
