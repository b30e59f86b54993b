package quarantine

import "time"

const (
	// exclusiveFor is how long a suspected request keeps others of its kind waiting; one that
	// crashes servers mostly has done so by then.
	exclusiveFor = 2 * time.Second
	// soon is when to ask again for a request that another run keeps waiting.
	soon = time.Second
)

// slot is the place of the one run of a suspected or quarantined request.
type slot struct {
	name  string
	until time.Time
}

// Decision says what is to be done with a request.
type Decision string

// Decisions.
const (
	// Run: it may be sent to a server.
	Run Decision = "run"
	// Exclusive: it may be sent to one server, and others wait until End.
	Exclusive Decision = "exclusive"
	// Trial is Exclusive for a quarantined request.
	Trial Decision = "trial"
	// Wait: another run of it is under way.
	Wait Decision = "wait"
	// Refuse: it may not be sent to a server before Verdict.After.
	Refuse Decision = "refuse"
)

// Verdict on a request that wants to run.
type Verdict struct {
	Decision Decision
	// After is when it may run, with Wait and Refuse.
	After time.Duration
}

// Admit decides on a request. name names the pass that it would run under, lifetime bounds
// the run. The host that owns a request decides for the whole fleet.
func (t *Table) Admit(now time.Time, id ID, name string, lifetime time.Duration) Verdict {
	st := t.Status(now, id)
	held, taken := t.slots[id]
	taken = taken && held.name != name && now.Before(held.until)
	switch {
	case st.Level == Free:
		return Verdict{Decision: Run}
	case st.Level == Suspected && taken:
		return Verdict{Decision: Wait, After: soon}
	case st.Level == Suspected:
		t.slots[id] = slot{name: name, until: now.Add(min(lifetime, exclusiveFor))}
		return Verdict{Decision: Exclusive}
	case taken, st.NextTrial > 0:
		return Verdict{Decision: Refuse, After: max(st.NextTrial, soon)}
	}
	t.slots[id] = slot{name: name, until: now.Add(lifetime)}
	return Verdict{Decision: Trial}
}

// End takes that the run under a name has ended.
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
