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
	// Trial is Exclusive for a quarantined request.
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

// Admit decides whether a request may run. name is the name of the admission under which it would
// run; lifetime bounds the execution. The host that owns a request decides for the whole fleet.
func (t *Table) Admit(now time.Time, id ID, name string, lifetime time.Duration) Verdict {
	st := t.Status(now, id)
	held, taken := t.slots[id]
	taken = taken && held.name != name && now.Before(held.until)
	switch {
	case st.Level == Free:
		return Verdict{Decision: Run}
	case st.Level == Suspected && taken:
		return Verdict{Decision: Wait, After: waitRetryAfter}
	case st.Level == Suspected:
		t.slots[id] = slot{name: name, until: now.Add(min(lifetime, exclusiveTime))}
		return Verdict{Decision: Exclusive}
	case taken, st.NextTrial > 0:
		return Verdict{Decision: Refuse, After: max(st.NextTrial, waitRetryAfter)}
	}
	t.slots[id] = slot{name: name, until: now.Add(lifetime)}
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
