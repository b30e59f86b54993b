package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxGeneration bounds the answers that an answeredParts keeps in one generation, generationTime how
	// long it adds to it. It keeps two.
	maxGeneration  = 8192
	generationTime = 5 * time.Minute
)

// answeredParts remembers which parts of prompts servers have answered lately, by the servers' software. What
// is answered again and again is kept.
type answeredParts struct {
	current, previous map[answeredPart]struct{}
	since             time.Time
}

type answeredPart struct {
	part     Fingerprint
	software uint64
}

func newAnsweredPart(f Fingerprint, software string) answeredPart {
	return answeredPart{part: f, software: xxhash.Sum64String(software)}
}

func (a *answeredParts) add(now time.Time, f Fingerprint, software string) {
	a.expire(now)
	if len(a.current) >= maxGeneration {
		a.beginGeneration(now)
	}
	if a.current == nil {
		a.current = make(map[answeredPart]struct{})
	}
	a.current[newAnsweredPart(f, software)] = struct{}{}
}

func (a *answeredParts) has(now time.Time, f Fingerprint, software string) bool {
	a.expire(now)
	key := newAnsweredPart(f, software)
	_, found := a.current[key]
	if !found {
		_, found = a.previous[key]
	}
	return found
}

func (a *answeredParts) expire(now time.Time) {
	if now.Sub(a.since) >= generationTime {
		a.beginGeneration(now)
	}
}

func (a *answeredParts) beginGeneration(now time.Time) {
	a.previous, a.current, a.since = a.current, nil, now
}
