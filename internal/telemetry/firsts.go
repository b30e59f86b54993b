package telemetry

import "sync"

// maxSeenKeys bounds the keys that FirstSeen remembers. It forgets all of them when it is full.
const maxSeenKeys = 1024

// FirstSeen detects the first of many similar events, so that only that one is logged. The zero
// value is ready to use; it is safe for concurrent use.
type FirstSeen[K comparable] struct {
	mu   sync.Mutex
	seen map[K]bool
}

// First reports whether it is called with key for the first time since Forget.
func (f *FirstSeen[K]) First(key K) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seen[key] {
		return false
	}
	if f.seen == nil || len(f.seen) >= maxSeenKeys {
		f.seen = make(map[K]bool)
	}
	f.seen[key] = true
	return true
}

// Forget forgets all keys.
func (f *FirstSeen[K]) Forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = nil
}
