package inflight

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// avoidDuration is how long no copies are sent to a host that could not be reached.
const avoidDuration = time.Second

// transferPrefix is the prefix of the identities of records that copy a transfer.
const transferPrefix = "\x00transfer/"

// TransferIdentity returns the identity of the record that copies a transfer.
func TransferIdentity(id string) string { return transferPrefix + id }

// CopyBatch holds the records to be sent to one host.
type CopyBatch struct {
	Host    Host
	Records []*pb.InflightRecord
}

// PutCopy stores another host's record, if it is newer than the stored version. It is sent
// by the record's owner, or by a copy holder if the owner is dead.
//
// It returns AlreadyExists if the record is the first version of a request whose identity
// belongs to another request, KeyConflict if that request also has another body, StaleFence
// if the holder's grants are being released, so that a bill from it could no longer be
// accepted, and Overloaded if there is no room.
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
		return errkind.New(errkind.AlreadyExists, "identity %s belongs to another request", rec.GetIdentity())
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

// trackOrphan makes this host responsible for a copy whose owner is dead: it makes sure that
// another host holds the record as well.
//
// Otherwise, if the copy's host dies while the owner's recovery is waiting because of a
// partition or a running request, the bill is lost with the only copy.
func (s *Store) trackOrphan(e *entry) {
	unneeded := !e.finishedAt.IsZero() && s.expendable(e)
	if len(s.ring.hosts) == 0 || unneeded || s.ownerAlive(e.rec) {
		return
	}
	if e.copyHolders == nil {
		e.copyHolders = make(map[string]copyState)
	}
	e.wantedCopies = 1
	s.orphans[e.rec.GetRequestId()] = e
	s.dirty[e.rec.GetRequestId()] = struct{}{}
}

// replicatedEntry returns an own or an orphaned record, which this host copies to others.
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
	remaining := slices.DeleteFunc(s.copies[identity], func(x *entry) bool { return x == e })
	if len(remaining) == 0 {
		delete(s.copies, identity)
		return
	}
	s.copies[identity] = remaining
}

// involvesFenced reports whether a record belongs to a fenced holder or transfers its tokens.
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
// Without the fence, a record that arrives after the answer would be a bill that the
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

// SetHosts replaces the list of live hosts. Own and orphaned records whose copies were on a
// host that has left the list or restarted need new copies; copies whose owner is no longer
// live become orphans.
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

// updateCopyHolders plans new copies in place of those on hosts that left the list of live
// ones. Such a host may only have been unreachable and return as the same incarnation with an
// old version; it is then sent the current one. If it still held an abandoned request as
// running when the owner died, the request would be billed although it did not run.
func (s *Store) updateCopyHolders(request string, e *entry, live map[string]uint64) {
	for host, h := range e.departed {
		incarnation, listed := live[host]
		if !listed {
			continue
		}
		delete(e.departed, host)
		if incarnation == h.incarnation {
			e.copyHolders[host] = h
			s.dirty[request] = struct{}{}
		}
	}
	for host, h := range e.copyHolders {
		incarnation, listed := live[host]
		if listed && incarnation == h.incarnation {
			continue
		}
		delete(e.copyHolders, host)
		s.dirty[request] = struct{}{}
		if !listed {
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

// departedOutdated reports whether a host that left the list of live ones holds an older
// version.
func (e *entry) departedOutdated() bool {
	for _, h := range e.departed {
		if h.version < e.rec.GetVersion() {
			return true
		}
	}
	return false
}

// Lookup returns the hosts that would hold n copies of the identity's record for any owner,
// without this host.
func (s *Store) Lookup(identity string, n int) []Host {
	hosts := s.ring.lookup(identity, n)
	return slices.DeleteFunc(hosts, func(h Host) bool { return h.Name == s.cfg.Self.GetHost() })
}

// Host returns the live host with the given name.
func (s *Store) Host(name string) (Host, bool) {
	for _, h := range s.ring.hosts {
		if h.Name == name {
			return h, true
		}
	}
	return Host{}, false
}

// Targets returns the hosts to which the current version of an own or orphaned record should
// be sent now: those that hold an older one, and as many new ones as copies are missing.
// Hosts in except are skipped.
func (s *Store) Targets(now time.Time, requestID string, except map[string]bool) []Host {
	e, ok := s.replicatedEntry(requestID)
	if !ok {
		return nil
	}
	excluded := func(name string) bool { return except[name] || now.Before(s.avoidUntil[name]) }
	var targets []Host
	for _, name := range slices.Sorted(maps.Keys(e.copyHolders)) {
		h, live := s.Host(name)
		if live && e.copyHolders[name].version < e.rec.GetVersion() && !excluded(name) {
			targets = append(targets, h)
		}
	}
	if e.rec.GetState() == pb.InflightState_INFLIGHT_STATE_ABANDONED {
		return targets
	}
	missing := e.wantedCopies - e.currentCopies() - len(targets)
	unsuitable := func(h Host) bool {
		_, has := e.copyHolders[h.Name]
		_, declined := e.declined[h.Name]
		return has || declined || excluded(h.Name) || e.isTransferParty(h.Name)
	}
	identity := e.rec.GetIdentity()
	fresh := s.ring.copies(identity, s.cfg.Self.GetHost(), s.cfg.Zone, missing, unsuitable)
	return append(targets, fresh...)
}

// currentCopies returns the number of hosts known to hold the record's current version.
func (e *entry) currentCopies() int {
	n := 0
	for _, h := range e.copyHolders {
		if h.version == e.rec.GetVersion() {
			n++
		}
	}
	return n
}

// isTransferParty reports whether host is the sender or receiver of the transfer that the
// record copies; the copy must survive the death of both.
func (e *entry) isTransferParty(host string) bool {
	t := e.rec.GetTransfer()
	return t != nil && (t.GetFrom().GetHost() == host || t.GetTo().GetHost() == host)
}

// Record returns the current version of an own or orphaned record, for sending.
func (s *Store) Record(now time.Time, requestID string) (*pb.InflightRecord, bool) {
	e, ok := s.replicatedEntry(requestID)
	if !ok {
		return nil, false
	}
	return e.snapshot(now), true
}

// MarkSending records that an own or orphaned record is being sent to a host: the host may
// hold it from now on, even if it doesn't answer.
func (s *Store) MarkSending(requestID string, to Host) {
	e, ok := s.replicatedEntry(requestID)
	if !ok {
		return
	}
	if h, known := e.copyHolders[to.Name]; !known || h.incarnation != to.Incarnation {
		e.copyHolders[to.Name] = copyState{incarnation: to.Incarnation}
	}
}

// MarkAcked records that a host's incarnation holds a version of an own or orphaned record.
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

// MarkDeclined records that a host refused an own or orphaned record; the record isn't sent
// to that host again.
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

// MarkUnreachable records that a host didn't answer: it is sent nothing for avoidDuration.
func (s *Store) MarkUnreachable(now time.Time, host string) {
	s.avoidUntil[host] = now.Add(avoidDuration)
}

// HeldBy reports whether a host holds the current version of an own or orphaned record.
func (s *Store) HeldBy(requestID, host string) bool {
	e, ok := s.replicatedEntry(requestID)
	return ok && e.copyHolders[host].version == e.rec.GetVersion()
}

// Complete reports whether every host that may hold an own or orphaned record holds its
// current version, and there are as many of them as wanted unless the record is abandoned.
func (s *Store) Complete(requestID string) bool {
	e, ok := s.replicatedEntry(requestID)
	return !ok || s.complete(e)
}

// Copies returns the number of hosts that hold the current version of an own or orphaned
// record.
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

// Plan returns at most limit records that have to be sent, grouped by host. Records whose
// copies are complete are removed from the dirty ones.
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
	var batches []CopyBatch
	for _, name := range slices.Sorted(maps.Keys(byHost)) {
		batches = append(batches, *byHost[name])
	}
	return batches
}
