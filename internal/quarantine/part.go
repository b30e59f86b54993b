package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

const (
	// maxPartsPerAccount bounds the parts remembered that were first accused by crashes of one account.
	maxPartsPerAccount = 64
	// maxKeptPartCrashes bounds the crashes recorded per part.
	maxKeptPartCrashes = 32
	// crowdedTrialDelay is how much later a request may run as a trial for each further part that it has and
	// that no server is known to have answered: a request with fewer of them tells more.
	crowdedTrialDelay = time.Second
	// suspectTrialDelay is how much later a request may run as a trial of a part if it is suspected itself: if a
	// server ends again, that tells nothing of the part.
	suspectTrialDelay = 5 * time.Second
)

// partTrialPauses are the pauses before the trials of a quarantined part. No trial follows the last one.
var partTrialPauses = []time.Duration{2 * time.Second, 5 * time.Second, time.Hour}

// partTag begins the fingerprints of parts, so that hosts which know requests only pass them on unchanged.
const partTag = "bbs-part"

// PartFingerprint returns the fingerprint of a part of prompts.
func PartFingerprint(part uint64) Fingerprint {
	var f Fingerprint
	copy(f[:], partTag)
	binary.BigEndian.PutUint64(f[len(partTag):], part)
	return f
}

// Part returns the part that a fingerprint is of; ok is false if it is that of a request.
func (f Fingerprint) Part() (part uint64, ok bool) {
	if string(f[:len(partTag)]) != partTag {
		return 0, false
	}
	return binary.BigEndian.Uint64(f[len(partTag):]), true
}

func (f Fingerprint) isPart() bool { return string(f[:len(partTag)]) == partTag }

// partID returns the ID of a part, which belongs to no account: requests of any account may have it.
func partID(f Fingerprint) ID { return ID{Fingerprint: f} }

// Request identifies a request and the parts of its prompt that other requests may share.
type Request struct {
	ID ID
	// Parts are the fingerprints of these parts.
	Parts []Fingerprint
}

// NewRequest returns the request with the given ID and shared parts.
func NewRequest(id ID, parts []uint64) Request {
	r := Request{ID: id}
	for _, part := range parts {
		r.Parts = append(r.Parts, PartFingerprint(part))
	}
	return r
}

// Crash describes the end of a server that was running a request.
type Crash struct {
	Incarnation instance.Incarnation
	// Host is the host that observed it, Others the number of other requests that it had at the server.
	Host   string
	Others int
	// Software is what the server ran: service, version and model. Begun is set if the request had output
	// from the server.
	Software string
	Begun    bool
	// MemoryFull is set if the requests at the server were known to hold more than its memory.
	MemoryFull bool
}

// Restriction is how one of a request's identities restricts it.
type Restriction struct {
	ID     ID
	Status Status
}

// Restrictions returns the restrictions of a request, those of its whole content and of each part.
func (t *Table) Restrictions(now time.Time, r Request) []Restriction {
	var out []Restriction
	if st := t.Status(now, r.ID); st.Level != Free {
		out = append(out, Restriction{r.ID, st})
	}
	if len(t.parts) == 0 {
		return out
	}
	for _, f := range r.Parts {
		st := t.StatusIn(now, partID(f), r)
		if st.Level == Quarantined {
			st.NextTrial += t.trialDelay(now, f, r)
		}
		if st.Level != Free {
			out = append(out, Restriction{partID(f), st})
		}
	}
	return out
}

// trialDelay returns how much later a request may run as a trial of one of its parts than a request in which
// nothing else may be the cause.
func (t *Table) trialDelay(now time.Time, f Fingerprint, r Request) time.Duration {
	software := t.parts[f].last().software
	delay := time.Duration(0)
	if !t.hasNotCrashed(r.ID) {
		delay = suspectTrialDelay
	}
	for _, other := range r.Parts {
		if other != f && !t.answered.has(now, other, software) {
			delay += crowdedTrialDelay
		}
	}
	return delay
}

// RecordPartCrashes records a crash against those parts of a request that no server with the same software
// is known to have answered. It returns the IDs of these parts.
func (t *Table) RecordPartCrashes(now time.Time, r Request, c Crash) (accused []ID) {
	for _, f := range r.Parts {
		if t.answered.has(now, f, c.Software) {
			continue
		}
		s := t.findOrAddPart(now, f, r.ID.Account)
		if s.addCrash(crash{inc: c.Incarnation, at: now, host: c.Host, others: c.Others, software: c.Software, begun: c.Begun, memoryFull: c.MemoryFull}, maxKeptPartCrashes) {
			t.version++
			accused = append(accused, partID(f))
		}
	}
	return accused
}

// Unproved reports whether a request has parts that no server with the given software is known to have
// answered.
func (t *Table) Unproved(now time.Time, r Request, software string) bool {
	for _, f := range r.Parts {
		if !t.answered.has(now, f, software) {
			return true
		}
	}
	return false
}

// RecordAnswer records that a server has answered a request with output, which a part that crashes servers
// does not let it do. It returns the IDs of the parts that are cleared by that.
func (t *Table) RecordAnswer(now time.Time, r Request, software string) (cleared []ID) {
	for _, f := range r.Parts {
		t.answered.add(now, f, software)
		if t.Clear(now, partID(f)) {
			cleared = append(cleared, partID(f))
		}
	}
	return cleared
}

// Refuted reports whether a part has recorded crashes, and this host knows that servers with the same
// software as each of those that crashed have answered it.
func (t *Table) Refuted(now time.Time, id ID) bool {
	s := t.find(id)
	if s == nil || len(s.crashes) == 0 || !id.Fingerprint.isPart() {
		return false
	}
	for _, c := range s.crashes {
		if !t.answered.has(now, id.Fingerprint, c.software) {
			return false
		}
	}
	return true
}

// findOrAddPart returns the entry of a part, adding one if there is none. If the account has no room, the
// new entry replaces the least severe one that the account has added.
func (t *Table) findOrAddPart(now time.Time, f Fingerprint, account string) *suspect {
	if s := t.parts[f]; s != nil {
		return s
	}
	added := t.partsOf[account]
	if added == nil {
		added = make(map[Fingerprint]*suspect)
		t.partsOf[account] = added
	}
	if len(added) >= maxPartsPerAccount {
		least := leastSevere(added)
		delete(t.parts, least)
		delete(added, least)
	}
	s := &suspect{account: account, lastChange: now}
	t.parts[f], added[f] = s, s
	return s
}

func (t *Table) removePart(f Fingerprint) {
	account := t.parts[f].account
	delete(t.parts, f)
	delete(t.partsOf[account], f)
	if len(t.partsOf[account]) == 0 {
		delete(t.partsOf, account)
	}
}
