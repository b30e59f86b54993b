package assign

import "slices"

// maxRecentAttempts bounds recentAttempts. A server that ends breaks off as many attempts as it runs.
const maxRecentAttempts = 256

// recentAttempts are the attempts of this host that were added last.
type recentAttempts struct{ attempts []uint64 }

func (r *recentAttempts) add(attempts []uint64) {
	r.attempts = append(r.attempts, attempts...)
	r.attempts = slices.Delete(r.attempts, 0, max(len(r.attempts)-maxRecentAttempts, 0))
}

func (r *recentAttempts) contains(attempt uint64) bool { return slices.Contains(r.attempts, attempt) }
