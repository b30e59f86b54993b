package linkshare

import "time"

// quiet is how long a link must not have been full before it counts as relieved.
const quiet = 2 * time.Second

// Change is what the log is told of a link.
type Change int

// Changes.
const (
	Unchanged Change = iota
	Full
	Relieved
)

// Episode tells when a link becomes full and when it is relieved, for the log: a Gate closes several
// times a second meanwhile. It is not safe for concurrent use.
type Episode struct {
	full bool
	// last is when the gate was last closed.
	last time.Time
}

// Update takes whether the gate is open now.
func (e *Episode) Update(now time.Time, open bool) Change {
	if !open {
		e.last = now
		if !e.full {
			e.full = true
			return Full
		}
		return Unchanged
	}
	if e.full && now.Sub(e.last) >= quiet {
		e.full = false
		return Relieved
	}
	return Unchanged
}

// IsFull reports whether an episode goes on.
func (e *Episode) IsFull() bool { return e.full }
