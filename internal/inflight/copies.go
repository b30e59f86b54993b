package inflight

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// avoidDuration is how long a host that could not be reached gets no copies.
const avoidDuration = time.Second

// transferPrefix marks the identities of records that copy a transfer.
const transferPrefix = "\x00transfer/"

// TransferIdentity is the identity of the record that copies a transfer.
func TransferIdentity(id string) string { return transferPrefix + id }

// CopyBatch is the records that one host should get.
type CopyBatch struct {
	Host    Host
	Records []*pb.InflightRecord
}

// PutCopy stores another host's record, if it is newer than what is here. It comes from
// the record's owner, or from a guardian of a dead one.
//
// AlreadyExists: the record is the first of a request whose identity another request
// has; KeyConflict: with another body; StaleFence: its holder's grants are being
// released, so a bill from it could no longer be taken in; Overloaded: no room.
func (s *Store) PutCopy(now time.Time, rec *pb.InflightRecord, from *pb.Holder) error {
	fromOwner := keyOf(from) == keyOf(rec.GetHolder())
	if fromOwner && s.involvesFenced(rec) {
		return errkind.New(errkind.StaleFence, "holder %s/%d is dead", rec.GetHolder().GetHost(), rec.GetHolder().GetIncarnation())
	}
	if e := s.copyOf(rec); e != nil {
		if rec.GetVersion() > e.rec.GetVersion() {
			s.setRecord(now, e, proto.CloneOf(rec))
		}
		return nil
	}
	if known := s.find(rec.GetIdentity()); known != nil && rec.GetVersion() == 1 {
		if err := conflict(known.rec, rec); err != nil {
			return err
		}
		return errkind.New(errkind.AlreadyExists, "identity %s is known", rec.GetIdentity())
	}
	return s.addCopy(now, rec)
}

func (s *Store) addCopy(now time.Time, rec *pb.InflightRecord) error {
	size := proto.Size(rec) + entryOverhead
	if err := s.makeRoom(size, 1); err != nil {
		return err
	}
	age := time.Duration(rec.GetAgeMs()) * time.Millisecond
	e := &entry{rec: &pb.InflightRecord{}, startedAt: now.Add(-age)}
	s.copies[rec.GetIdentity()] = append(s.copies[rec.GetIdentity()], e)
	s.count++
	s.setRecord(now, e, proto.CloneOf(rec))
	s.trackOrphan(e)
	return nil
}

// trackOrphan makes this host answer for a copy whose owner is dead: it sees to it that another
// host holds the record as well.
//
// What goes wrong otherwise: the owner's recovery waits, for a cut or a running request,
// the copy's host dies meanwhile, and the bill is lost with the only copy.
func (s *Store) trackOrphan(e *entry) {
	needless := !e.finishedAt.IsZero() && s.expendable(e)
	if len(s.ring.hosts) == 0 || needless || s.ownerAlive(e.rec) {
		return
	}
	if e.copyHolders == nil {
		e.copyHolders = make(map[string]copyState)
	}
	e.wantedCopies = 1
	s.orphans[e.rec.GetRequestId()] = e
	s.dirty[e.rec.GetRequestId()] = struct{}{}
}

// replicatedEntry is an own or a guarded record.
func (s *Store) replicatedEntry(requestID string) (*entry, bool) {
	if e, ok := s.own[requestID]; ok {
		return e, true
	}
	e, ok := s.orphans[requestID]
	return e, ok
}

func (s *Store) copyOf(rec *pb.InflightRecord) *entry {
	for _, e := range s.copies[rec.GetIdentity()] {
		if e.rec.GetRequestId() == rec.GetRequestId() && keyOf(e.rec.GetHolder()) == keyOf(rec.GetHolder()) {
			return e
		}
	}
	return nil
}

func (s *Store) removeCopy(identity string, e *entry) {
	left := slices.DeleteFunc(s.copies[identity], func(x *entry) bool { return x == e })
	if len(left) == 0 {
		delete(s.copies, identity)
		return
	}
	s.copies[identity] = left
}

// involvesFenced tells whether a record belongs to a fenced holder or moves its tokens.
func (s *Store) involvesFenced(rec *pb.InflightRecord) bool {
	t := rec.GetTransfer()
	return s.isFenced(rec.GetHolder()) || s.isFenced(t.GetFrom()) || s.isFenced(t.GetTo())
}

func (s *Store) isFenced(h *pb.Holder) bool {
	_, ok := s.fenced[keyOf(h)]
	return ok
}

// Gather fences a dead holder and returns every record that it owned and every record
// of a transfer from or to it.
//
// Without the fence a record that arrives after the answer would be a bill that the
// recovery doesn't know: its tokens would be released and spent a second time.
func (s *Store) Gather(now time.Time, dead *pb.Holder) []*pb.InflightRecord {
	key := keyOf(dead)
	s.fenced[key] = struct{}{}
	var found []*pb.InflightRecord
	consider := func(e *entry) {
		t := e.rec.GetTransfer()
		if keyOf(e.rec.GetHolder()) == key || keyOf(t.GetFrom()) == key || keyOf(t.GetTo()) == key {
			found = append(found, e.snapshot(now))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.copies)) {
		for _, e := range s.copies[id] {
			consider(e)
		}
	}
	for _, request := range slices.Sorted(maps.Keys(s.own)) {
		consider(s.own[request])
	}
	return found
}

// SetHosts replaces the live hosts. Own and guarded records whose copies were on a host
// that is gone or restarted need new ones; copies whose owner is gone are guarded.
func (s *Store) SetHosts(hosts []Host) {
	s.ring = newRing(hosts)
	live := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		live[h.Name] = h.Incarnation
	}
	for _, entries := range s.copies {
		for _, e := range entries {
			s.trackOrphan(e)
		}
	}
	for request, e := range s.own {
		s.updateCopyHolders(request, e, live)
	}
	for request, e := range s.orphans {
		s.updateCopyHolders(request, e, live)
	}
}

// updateCopyHolders plans new copies for those on hosts that left the list. A host may only be cut
// off and come back as the same incarnation with an old version. It is told the rest then:
// if it still held an abandoned request as running when the owner died, the request would
// be billed though it did not run.
func (s *Store) updateCopyHolders(request string, e *entry, live map[string]uint64) {
	for host, h := range e.departed {
		incarnation, back := live[host]
		if !back {
			continue
		}
		delete(e.departed, host)
		if incarnation == h.incarnation {
			e.copyHolders[host] = h
			s.dirty[request] = struct{}{}
		}
	}
	for host, h := range e.copyHolders {
		incarnation, there := live[host]
		if there && incarnation == h.incarnation {
			continue
		}
		delete(e.copyHolders, host)
		s.dirty[request] = struct{}{}
		if !there {
			e.addDeparted(host, h)
		}
	}
}

func (e *entry) addDeparted(host string, h copyState) {
	if e.departed == nil {
		e.departed = make(map[string]copyState)
	}
	e.departed[host] = h
}

// departedOutdated tells whether a host that left the list holds an older version.
func (e *entry) departedOutdated() bool {
	for _, h := range e.departed {
		if h.version < e.rec.GetVersion() {
			return true
		}
	}
	return false
}

// Lookup is the hosts that would hold the identity's record for any owner, without self.
func (s *Store) Lookup(identity string, n int) []Host {
	hosts := s.ring.lookup(identity, n)
	return slices.DeleteFunc(hosts, func(h Host) bool { return h.Name == s.cfg.Self.GetHost() })
}

// Host returns the live host of a name.
func (s *Store) Host(name string) (Host, bool) {
	for _, h := range s.ring.hosts {
		if h.Name == name {
			return h, true
		}
	}
	return Host{}, false
}

// Targets are the hosts that should get the present version of an own record now: those
// that hold an older one, and as many new ones as copies are missing. Hosts in except
// are passed over.
func (s *Store) Targets(now time.Time, requestID string, except map[string]bool) []Host {
	e, ok := s.replicatedEntry(requestID)
	if !ok {
		return nil
	}
	skip := func(name string) bool { return except[name] || now.Before(s.avoidUntil[name]) }
	var targets []Host
	for _, name := range slices.Sorted(maps.Keys(e.copyHolders)) {
		h, live := s.Host(name)
		if live && e.copyHolders[name].version < e.rec.GetVersion() && !skip(name) {
			targets = append(targets, h)
		}
	}
	if e.rec.GetState() == pb.InflightState_INFLIGHT_STATE_ABANDONED {
		return targets
	}
	missing := e.wantedCopies - e.currentCopies() - len(targets)
	skipHost := func(h Host) bool {
		_, has := e.copyHolders[h.Name]
		_, declined := e.declined[h.Name]
		return has || declined || skip(h.Name) || e.isTransferParty(h.Name)
	}
	identity := e.rec.GetIdentity()
	fresh := s.ring.copies(identity, s.cfg.Self.GetHost(), s.cfg.Zone, missing, skipHost)
	return append(targets, fresh...)
}

// currentCopies is the number of hosts known to hold the record's present version.
func (e *entry) currentCopies() int {
	n := 0
	for _, h := range e.copyHolders {
		if h.version == e.rec.GetVersion() {
			n++
		}
	}
	return n
}

// isTransferParty tells whether host takes part in the transfer that the record copies; its copy
// must survive the loss of both ends.
func (e *entry) isTransferParty(host string) bool {
	t := e.rec.GetTransfer()
	return t != nil && (t.GetFrom().GetHost() == host || t.GetTo().GetHost() == host)
}

// Record is the present version of an own record for sending.
func (s *Store) Record(now time.Time, requestID string) (*pb.InflightRecord, bool) {
	e, ok := s.replicatedEntry(requestID)
	if !ok {
		return nil, false
	}
	return e.snapshot(now), true
}

// MarkSending notes that a host is being sent an own record: it may hold it from now on,
// also if it doesn't answer.
func (s *Store) MarkSending(requestID string, to Host) {
	e, ok := s.replicatedEntry(requestID)
	if !ok {
		return
	}
	if h, known := e.copyHolders[to.Name]; !known || h.incarnation != to.Incarnation {
		e.copyHolders[to.Name] = copyState{incarnation: to.Incarnation}
	}
}

// MarkAcked notes that a host's incarnation holds a version of an own record.
func (s *Store) MarkAcked(requestID string, host string, incarnation, version uint64) {
	e, ok := s.replicatedEntry(requestID)
	if !ok {
		return
	}
	h, known := e.copyHolders[host]
	if known && h.incarnation == incarnation && h.version < version {
		e.copyHolders[host] = copyState{incarnation: incarnation, version: version}
	}
}

// MarkDeclined notes that a host refused an own record; it isn't asked again.
func (s *Store) MarkDeclined(requestID, host string) {
	e, ok := s.replicatedEntry(requestID)
	if !ok {
		return
	}
	delete(e.copyHolders, host)
	if e.declined == nil {
		e.declined = make(map[string]struct{})
	}
	e.declined[host] = struct{}{}
}

// MarkUnreachable notes that a host didn't answer: it gets nothing for a while.
func (s *Store) MarkUnreachable(now time.Time, host string) {
	s.avoidUntil[host] = now.Add(avoidDuration)
}

// HeldBy tells whether a host holds the present version of an own record.
func (s *Store) HeldBy(requestID, host string) bool {
	e, ok := s.replicatedEntry(requestID)
	return ok && e.copyHolders[host].version == e.rec.GetVersion()
}

// Complete tells whether every host that may hold an own record holds its present
// version and, unless it is abandoned, the wanted number do.
func (s *Store) Complete(requestID string) bool {
	e, ok := s.replicatedEntry(requestID)
	return !ok || s.complete(e)
}

// Copies is the number of hosts that hold the present version of an own record.
func (s *Store) Copies(requestID string) int {
	e, ok := s.replicatedEntry(requestID)
	if !ok {
		return 0
	}
	return e.currentCopies()
}

func (s *Store) complete(e *entry) bool {
	if e.currentCopies() < len(e.copyHolders) {
		return false
	}
	abandoned := e.rec.GetState() == pb.InflightState_INFLIGHT_STATE_ABANDONED
	return abandoned || e.currentCopies() >= e.wantedCopies
}

// Plan lists at most limit records that have to be sent, by host. Records that need
// nothing more leave the list of dirty ones.
func (s *Store) Plan(now time.Time, limit int) []CopyBatch {
	byHost := make(map[string]*CopyBatch)
	for _, request := range slices.Sorted(maps.Keys(s.dirty)) {
		if limit == 0 {
			break
		}
		if s.Complete(request) {
			delete(s.dirty, request)
			continue
		}
		targets := s.Targets(now, request, nil)
		if len(targets) == 0 {
			continue
		}
		limit--
		rec, _ := s.Record(now, request)
		for _, h := range targets {
			if byHost[h.Name] == nil {
				byHost[h.Name] = &CopyBatch{Host: h}
			}
			byHost[h.Name].Records = append(byHost[h.Name].Records, rec)
		}
	}
	var sends []CopyBatch
	for _, name := range slices.Sorted(maps.Keys(byHost)) {
		sends = append(sends, *byHost[name])
	}
	return sends
}
