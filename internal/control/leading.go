package control

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/raft"
)

// leadership is a term in which this replica leads.
type leadership struct {
	term  uint64
	since time.Time
}

// updateLeadership records when this replica became the leader of its current term.
// Only the loop calls it.
func (r *Replica) updateLeadership(v *view) {
	if v.role != raft.Leader {
		r.leadership.Store(nil)
		return
	}
	if l := r.leadership.Load(); l == nil || l.term != v.term {
		// By the clock of those who wait from then on, which stands still while the machine is suspended: they wait longer.
		r.leadership.Store(&leadership{term: v.term, since: time.Now()})
	}
}

// Leading returns the term in which this replica leads and when that began by its own
// clock. ok is false without a valid lease. An isolated leader loses its lease before
// another replica can be elected.
func (r *Replica) Leading() (term uint64, since time.Time, ok bool) {
	l, v := r.leadership.Load(), r.view.Load()
	if l == nil || l.term != v.term || !r.hasLease(v) {
		return 0, time.Time{}, false
	}
	return l.term, l.since, true
}
