// Package inflight keeps in-flight records: what a host must know of a request to connect a
// retry with it, to take it over, or to bill it after its owner's death. It holds a host's
// own records and the copies of other hosts' records, and decides which hosts get copies.
//
// Store is a pure state machine without goroutines, sockets or a clock.
package inflight

import (
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// entryOverhead is the estimated size of an entry in bytes without its encoded record.
const entryOverhead = 400

// unsettledRetention is how long a copy is kept if its bill isn't known to be settled: its
// owner may be dead, and the owner's recovery may have to wait for the end of a long partition.
const unsettledRetention = 24 * time.Hour

// Config configures a store. The zero value of a field means its default.
type Config struct {
	Self *pb.Holder
	Zone string
	// Retention is how long a finished record is kept; default 10m.
	Retention time.Duration
	// MaxRecords and MaxBytes bound own records and copies together; defaults 100,000
	// and 64 MiB.
	MaxRecords int
	MaxBytes   int
}

// Store holds in-flight records. It is not safe for concurrent use.
type Store struct {
	cfg  Config
	ring ring
	// own holds this host's records by request id; current holds the latest one of each
	// identity.
	own     map[string]*entry
	current map[string]*entry
	// copies holds other hosts' records by identity.
	copies map[string][]*entry
	// orphans holds the copies whose owner is dead, by request id.
	orphans map[string]*entry
	fenced  map[holderKey]struct{}
	// finished holds entries in the order in which they finished, oldest first.
	finished []*entry
	// answers holds the entries with a stored answer, oldest first.
	answers []*entry
	// dirty holds the request ids of own and orphaned records whose copies may not all be
	// current.
	dirty map[string]struct{}
	// avoidUntil holds the time until which nothing is sent to a host that could not be
	// reached.
	avoidUntil map[string]time.Time
	count      int
	bytes      int
}

type holderKey struct {
	host        string
	incarnation uint64
}

func keyOf(h *pb.Holder) holderKey { return holderKey{h.GetHost(), h.GetIncarnation()} }

// entry is one record with its replication state.
type entry struct {
	rec *pb.InflightRecord
	// startedAt is when the request began, by this host's clock.
	startedAt  time.Time
	finishedAt time.Time // zero while the request runs
	size       int
	removed    bool
	// unconfirmed is true while this host hasn't decided whether to keep its record or to
	// yield to another host's record of the same identity.
	unconfirmed bool
	// wantedCopies is the number of copies to be held by other hosts; copyHolders is what
	// each host to which the record was sent is known to hold. Own and orphaned records only.
	wantedCopies int
	copyHolders  map[string]copyState
	// departed is the same as copyHolders for hosts that left the list of live ones.
	departed map[string]copyState
	// declined holds the hosts that refused the record.
	declined map[string]struct{}
}

// copyState is the newest version that a host's incarnation acknowledged. Version 0 means
// that the record was sent and not answered, so the host may or may not hold it.
type copyState struct {
	incarnation, version uint64
}

// New returns an empty store.
func New(cfg Config) *Store {
	if cfg.Retention == 0 {
		cfg.Retention = 10 * time.Minute
	}
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = 100_000
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = 64 << 20
	}
	return &Store{
		cfg: cfg, own: make(map[string]*entry), current: make(map[string]*entry), copies: make(map[string][]*entry),
		orphans: make(map[string]*entry), fenced: make(map[holderKey]struct{}), dirty: make(map[string]struct{}),
		avoidUntil: make(map[string]time.Time),
	}
}

// Len returns the number of records.
func (s *Store) Len() int { return s.count }

// Bytes returns the estimated size of all records.
func (s *Store) Bytes() int { return s.bytes }

// Begin stores a new own record that needs n copies. If this host already has a record of the
// identity, Begin returns that record instead. Until ConfirmBegin, lookups return the new
// record in state NONE, although it is copied as RUNNING. Begin returns KeyConflict if the
// identity is known with another body.
func (s *Store) Begin(now time.Time, rec *pb.InflightRecord, n int) (*pb.InflightRecord, error) {
	if e := s.find(rec.GetIdentity()); e != nil {
		if err := conflict(e.rec, rec); err != nil {
			return nil, err
		}
		return e.lookupResult(now), nil
	}
	if err := s.Adopt(now, rec, n); err != nil {
		return nil, err
	}
	s.own[rec.GetRequestId()].unconfirmed = true
	return nil, nil
}

// ConfirmBegin confirms an own record stored by Begin.
func (s *Store) ConfirmBegin(requestID string) {
	if e, ok := s.own[requestID]; ok {
		e.unconfirmed = false
	}
}

// Adopt stores a new own record even if the identity is known: this host takes over the
// request of a dead one, and rec continues that host's record under a new request id. The
// version continues from rec's, as version 1 is refused by hosts that know the identity.
func (s *Store) Adopt(now time.Time, rec *pb.InflightRecord, n int) error {
	rec = proto.CloneOf(rec)
	rec.Holder = s.cfg.Self
	rec.Version++
	e := &entry{rec: rec, startedAt: now, wantedCopies: n, copyHolders: make(map[string]copyState)}
	if rec.GetState() == pb.InflightState_INFLIGHT_STATE_NONE {
		rec.State = pb.InflightState_INFLIGHT_STATE_RUNNING
	}
	e.size = proto.Size(rec) + entryOverhead
	if err := s.makeRoom(e.size, 1); err != nil {
		return err
	}
	if old, ok := s.own[rec.GetRequestId()]; ok {
		s.remove(old)
	}
	s.own[rec.GetRequestId()] = e
	s.current[rec.GetIdentity()] = e
	s.count++
	s.bytes += e.size
	s.dirty[rec.GetRequestId()] = struct{}{}
	return nil
}

// conflict returns an error if one idempotency key is used with two different bodies.
func conflict(known, asked *pb.InflightRecord) error {
	if known.GetBodyHash() == asked.GetBodyHash() {
		return nil
	}
	return errkind.New(errkind.KeyConflict, "the idempotency key of %s was already used with another body", known.GetIdentity())
}

// Update replaces an own record. It returns false, and changes nothing, if the record is
// unknown or already finished.
func (s *Store) Update(now time.Time, rec *pb.InflightRecord) bool {
	e, ok := s.own[rec.GetRequestId()]
	if !ok || e.rec.GetIdentity() != rec.GetIdentity() || !e.finishedAt.IsZero() {
		return false
	}
	next := proto.CloneOf(rec)
	next.Holder, next.Version = s.cfg.Self, e.rec.GetVersion()+1
	s.replace(now, e, next)
	return true
}

// MarkSettled records that the ledger acknowledged the bill or the transfer of an own
// record, which is therefore done.
func (s *Store) MarkSettled(now time.Time, requestID string) bool {
	e, ok := s.own[requestID]
	if !ok || e.rec.GetSettled() {
		return false
	}
	next := proto.CloneOf(e.rec)
	next.Settled = true
	if next.GetState() == pb.InflightState_INFLIGHT_STATE_RUNNING {
		next.State = pb.InflightState_INFLIGHT_STATE_DONE
	}
	next.Version++
	s.replace(now, e, next)
	return true
}

// Abandon marks an own record whose request certainly did not run; the copies are updated.
// Until they are, the record is kept as abandoned, and lookups ignore it.
//
// A transfer from or to a fenced holder can't be abandoned: the holder's recovery counts it.
func (s *Store) Abandon(now time.Time, requestID string) bool {
	e, ok := s.own[requestID]
	if !ok || !e.finishedAt.IsZero() || s.involvesFenced(e.rec) {
		return false
	}
	next := proto.CloneOf(e.rec)
	// A running record contains the estimated prompt tokens. If they were kept, they would
	// count as tokens used, and the owner's recovery would bill a request that did not run.
	next.PromptTokens, next.OutputTokens = 0, 0
	next.State = pb.InflightState_INFLIGHT_STATE_ABANDONED
	next.Version++
	s.replace(now, e, next)
	return true
}

func (s *Store) replace(now time.Time, e *entry, next *pb.InflightRecord) {
	s.setRecord(now, e, next)
	s.dirty[next.GetRequestId()] = struct{}{}
}

func (s *Store) setRecord(now time.Time, e *entry, next *pb.InflightRecord) {
	size := proto.Size(next) + entryOverhead
	s.bytes += size - e.size
	e.rec, e.size = next, size
	if e.finishedAt.IsZero() && next.GetState() != pb.InflightState_INFLIGHT_STATE_RUNNING {
		e.finishedAt = now
		s.finished = append(s.finished, e)
	}
	if len(next.GetAnswer()) > 0 {
		s.answers = append(s.answers, e)
	}
	s.trimAnswers()
}

// Find returns this host's record of an identity: an own one or a copy.
func (s *Store) Find(now time.Time, identity string) (*pb.InflightRecord, bool) {
	e := s.find(identity)
	if e == nil {
		return nil, false
	}
	return e.lookupResult(now), true
}

// find prefers a finished record to a running one, and among running ones this host's own,
// then one whose owner is alive: that owner may have taken over the request from the owner
// of another record.
func (s *Store) find(identity string) *entry {
	var found *entry
	best := 0
	consider := func(e *entry) {
		if e == nil {
			return
		}
		if p := s.preference(e); p > best {
			found, best = e, p
		}
	}
	consider(s.current[identity])
	for _, e := range s.copies[identity] {
		consider(e)
	}
	return found
}

// preference orders the records of one identity; 0 means that the record is ignored, as its
// request did not run.
func (s *Store) preference(e *entry) int {
	switch {
	case e.rec.GetState() == pb.InflightState_INFLIGHT_STATE_ABANDONED:
		return 0
	case !e.finishedAt.IsZero():
		return 3
	case s.ownerAlive(e.rec):
		return 2
	}
	return 1
}

func (s *Store) ownerAlive(rec *pb.InflightRecord) bool {
	owner := rec.GetHolder()
	if keyOf(owner) == keyOf(s.cfg.Self) {
		return true
	}
	h, ok := s.Host(owner.GetHost())
	return ok && h.Incarnation == owner.GetIncarnation()
}

// snapshot returns a copy of the record with its current age.
func (e *entry) snapshot(now time.Time) *pb.InflightRecord {
	rec := proto.CloneOf(e.rec)
	rec.AgeMs = now.Sub(e.startedAt).Milliseconds()
	return rec
}

// lookupResult returns the snapshot for a lookup of the identity.
func (e *entry) lookupResult(now time.Time) *pb.InflightRecord {
	rec := e.snapshot(now)
	if e.unconfirmed && rec.GetState() == pb.InflightState_INFLIGHT_STATE_RUNNING {
		rec.State = pb.InflightState_INFLIGHT_STATE_NONE
	}
	return rec
}

// Tick drops finished records whose retention has ended.
func (s *Store) Tick(now time.Time) {
	n, removed := 0, false
	for n < len(s.finished) && now.Sub(s.finished[n].finishedAt) >= s.cfg.Retention {
		e := s.finished[n]
		if now.Sub(e.finishedAt) >= s.retention(e) {
			s.remove(e)
			removed = true
		}
		n++
	}
	if removed {
		s.finished = slices.DeleteFunc(s.finished, func(e *entry) bool { return e.removed })
	}
}

// retention returns how long a finished record is kept: longer if it may still be needed for
// a bill.
func (s *Store) retention(e *entry) time.Duration {
	if s.expendable(e) {
		return s.cfg.Retention
	}
	return max(s.cfg.Retention, unsettledRetention)
}

// expendable reports whether a finished record is needed only to answer retries. A copy is
// needed until its bill is settled. An own record isn't needed for its bill, which package
// grant holds, but it is needed until every host that may hold an older version has the
// last one.
func (s *Store) expendable(e *entry) bool {
	if s.own[e.rec.GetRequestId()] == e {
		return s.complete(e) && !e.departedOutdated()
	}
	return e.rec.GetSettled() || !Billable(e.rec)
}

// Billable reports whether a finished record represents tokens used: it contains a usage, or
// a complete answer of a service, which is billed by its fixed price.
func Billable(rec *pb.InflightRecord) bool {
	if rec.GetTransfer() != nil {
		return rec.GetState() != pb.InflightState_INFLIGHT_STATE_ABANDONED
	}
	if rec.GetPromptTokens()+rec.GetOutputTokens() > 0 {
		return true
	}
	return rec.GetState() == pb.InflightState_INFLIGHT_STATE_DONE && rec.GetAnswerStatus() < http.StatusBadRequest
}

func (s *Store) remove(e *entry) {
	if e.removed {
		return
	}
	e.removed = true
	s.count--
	s.bytes -= e.size
	id, request := e.rec.GetIdentity(), e.rec.GetRequestId()
	if s.own[request] != e {
		if s.orphans[request] == e {
			delete(s.orphans, request)
			delete(s.dirty, request)
		}
		s.removeCopy(id, e)
		return
	}
	delete(s.own, request)
	delete(s.dirty, request)
	if s.current[id] == e {
		delete(s.current, id)
	}
}
