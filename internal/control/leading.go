package control

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/raft"
)

// leadership is a term that this replica leads.
type leadership struct {
	term  uint64
	since time.Time
}

// noteLeadership keeps when this replica began to lead its present term. Only the
// loop calls it.
func (r *Replica) noteLeadership(v *view) {
	if v.role != raft.Leader {
		r.leads.Store(nil)
		return
	}
	if l := r.leads.Load(); l == nil || l.term != v.term {
		r.leads.Store(&leadership{term: v.term, since: r.cfg.Now()})
	}
}

// Leading returns the term that this replica leads and when that began by its own
// clock; ok is false without a valid lease. An isolated leader loses the lease before
// another can be elected.
func (r *Replica) Leading() (term uint64, since time.Time, ok bool) {
	l, v := r.leads.Load(), r.view.Load()
	if l == nil || l.term != v.term || !r.leased(v) {
		return 0, time.Time{}, false
	}
	return l.term, l.since, true
}
