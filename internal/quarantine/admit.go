package quarantine

import "time"

const (
	// exclusiveTime is how long a suspected request blocks other executions of itself. A request that
	// crashes servers has mostly done so by then.
	exclusiveTime = 2 * time.Second
	// waitRetryAfter is when to ask again for a request that is blocked by another execution of
	// itself.
	waitRetryAfter = time.Second
)

// slot is the permission to run a suspected or quarantined request, held by one execution at a time.
type slot struct {
	name  string
	until time.Time
}

// Decision is what is to be done with a request.
type Decision string

// Decisions.
const (
	// Run means that the request may be sent to a server.
	Run Decision = "run"
	// Exclusive means that the request may be sent to one server, while other executions of it wait
	// until End.
	Exclusive Decision = "exclusive"
	// Trial is Exclusive for a quarantined request or part.
	Trial Decision = "trial"
	// Wait means that another execution of the request is in progress.
	Wait Decision = "wait"
	// Refuse means that the request may not be sent to a server before Verdict.After.
	Refuse Decision = "refuse"
)

// Verdict is the decision on a request that asks to run.
type Verdict struct {
	Decision Decision
	// After is the time after which the request may run, for Wait and Refuse.
	After time.Duration
}

// Query asks whether a request may run despite the restrictions of one of its identities.
type Query struct {
	ID ID
	// Request is the request. Hosts of an earlier build tell only its parts.
	Request Request
	// Name is the name of the admission under which the request would run. Lifetime bounds the execution.
	Name     string
	Lifetime time.Duration
}

// Admit decides whether a request may run. The host that owns the ID decides for the whole fleet.
func (t *Table) Admit(now time.Time, q Query) Verdict {
	st := t.StatusIn(now, q.ID, q.Request)
	held, taken := t.slots[q.ID]
	taken = taken && held.name != q.Name && now.Before(held.until)
	switch {
	case st.Level == Free:
		return Verdict{Decision: Run}
	case st.Level == Suspected && taken:
		return Verdict{Decision: Wait, After: waitRetryAfter}
	case st.Level == Suspected:
		t.slots[q.ID] = slot{name: q.Name, until: now.Add(min(q.Lifetime, exclusiveTime))}
		return Verdict{Decision: Exclusive}
	case taken, st.NextTrial > 0:
		return Verdict{Decision: Refuse, After: max(st.NextTrial, waitRetryAfter)}
	}
	t.slots[q.ID] = slot{name: q.Name, until: now.Add(q.Lifetime)}
	return Verdict{Decision: Trial}
}

// End ends the execution with the given name.
func (t *Table) End(id ID, name string) {
	if t.slots[id].name == name {
		delete(t.slots, id)
	}
}

func (t *Table) expireSlots(now time.Time) {
	for id, s := range t.slots {
		if now.After(s.until) {
			delete(t.slots, id)
		}
	}
}
