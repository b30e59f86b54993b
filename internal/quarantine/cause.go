package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// maxCauses bounds the requests that may have caused a part's crashes as a whole. With more of them the part is the
// likelier cause.
const maxCauses = MaxCrashes - 1

// StatusIn returns the status of a part in a request, or of the request itself.
//
// Crashes are not held against a part as long as a quarantined part that the request does not have explains
// them at least as well. A request that has only such parts tells the cause from those that came with it.
// Nor are those that other requests may have caused as a whole, in a request that has crashed no server.
func (t *Table) StatusIn(now time.Time, id ID, r Request) Status {
	st := t.Status(now, id)
	if st.Level != Quarantined || !id.Fingerprint.isPart() {
		return st
	}
	if t.unexplained(id.Fingerprint, r) < quarantineWeight {
		st.Level, st.NextTrial = Suspected, 0
	}
	return st
}

// unexplained returns the weight of those of a part's crashes that nothing else explains in a request: not another
// request, if this one has crashed no server, nor a quarantined part that it does not have with at least the
// weight of the others.
func (t *Table) unexplained(f Fingerprint, r Request) int {
	left, underCauses := t.parts[f].crashes, 0
	if t.hasNotCrashed(r.ID) {
		apart := t.tellApart(f)
		left, underCauses = apart.others, apart.weight
	}
	left = slices.Clone(left)
	least := max(weightOf(left), quarantineWeight)
	for other, o := range t.parts {
		if len(left) == 0 {
			break
		}
		if other != f && o.weight() >= least && !slices.Contains(r.Parts, other) {
			left = slices.DeleteFunc(left, func(c crash) bool { return o.ranAt(c.inc) })
		}
	}
	return weightOf(left) + underCauses
}

// hasNotCrashed reports whether a request is known by its ID and no server is known to have ended while running
// it, but those that are excused.
func (t *Table) hasNotCrashed(id ID) bool {
	if id == (ID{}) {
		return false
	}
	s := t.find(id)
	return s == nil || s.weight() == 0
}

// toldApart is a part's crashes, told apart by the requests under which servers ended.
type toldApart struct {
	// causes are the requests that may have caused several of the crashes as a whole, maxCauses at most. weight is
	// the weight of their crashes if those under one request count as one.
	causes []ID
	weight int
	// others are the crashes under none of them.
	others []crash
}

// tellApart returns the crashes of a part, told apart.
func (t *Table) tellApart(f Fingerprint) toldApart {
	s := t.parts[f]
	if s.toldApartVersion != t.version {
		s.toldApart, s.toldApartVersion = toldApart{others: slices.Clone(s.crashes)}, t.version
		for _, id := range t.requestsUnder(s.crashes) {
			s.toldApart.add(id, t.find(id))
		}
	}
	return s.toldApart
}

// add adds a request to the causes if it ran at several of the servers that ended under no other one of them.
func (a *toldApart) add(id ID, request *suspect) {
	under, heaviest := 0, 0
	for _, c := range a.others {
		if request.ranAt(c.inc) {
			under, heaviest = under+1, max(heaviest, c.weight())
		}
	}
	if under < 2 || len(a.causes) >= maxCauses {
		return
	}
	a.causes, a.weight = append(a.causes, id), a.weight+heaviest
	a.others = slices.DeleteFunc(a.others, func(c crash) bool { return request.ranAt(c.inc) })
}

// Causes returns the messages for the requests that may have caused the crashes of a quarantined part as a whole: a
// host that knows the crashes only rejects more requests with the part.
func (t *Table) Causes(now time.Time, id ID) []*pb.Suspect {
	s := t.find(id)
	if s == nil || !id.Fingerprint.isPart() || s.weight() < quarantineWeight {
		return nil
	}
	var out []*pb.Suspect
	for _, cause := range t.tellApart(id.Fingerprint).causes {
		out = append(out, t.Suspect(now, cause))
	}
	return out
}

// requestsUnder returns the requests that crashed several servers, one of the given ones at least; those with the
// most crashes first.
func (t *Table) requestsUnder(crashes []crash) []ID {
	ended := make(map[instance.Incarnation]bool, len(crashes))
	for _, c := range crashes {
		ended[c.inc] = true
	}
	var out []ID
	for account, requests := range t.accounts {
		for f, request := range requests {
			if len(request.crashes) > 1 && slices.ContainsFunc(request.crashes, func(c crash) bool { return ended[c.inc] }) {
				out = append(out, ID{account, f})
			}
		}
	}
	slices.SortFunc(out, func(a, b ID) int {
		with, than := t.find(a).crashes, t.find(b).crashes
		return cmp.Or(cmp.Compare(len(than), len(with)), slices.CompareFunc(with, than, crash.compare))
	})
	return out
}
