package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// noEvidence as a tick: no evidence at all.
	noEvidence = 0
	// ageRounding is added to every age from another host. Ticks of two hosts don't
	// begin together, so an age in whole ticks can be short by almost one. Word that
	// got younger on its way would go round for ever, and a doubt or a dead host
	// with it.
	ageRounding = 1
)

// MergeRegistered takes hosts that the control group has registered. Removed ones are dropped
// for good. The others count as suspect here until a word of them comes, and are
// not passed on: a registration says nothing of whether a host lives, and a
// newcomer that doubted everybody would make the whole fleet ask.
func (t *Table) MergeRegistered(hosts []*pb.HostInfo) {
	for _, info := range hosts {
		if info.GetHost() == t.cfg.Self.Host {
			continue
		}
		if info.GetRemoved() {
			t.remove(info.GetHost(), info.GetIncarnation())
			continue
		}
		if e := t.hosts[info.GetHost()]; e != nil && e.incarnation >= info.GetIncarnation() {
			e.registered = true
			continue
		}
		e := t.resetEntry(&pb.Holder{Host: info.GetHost(), Incarnation: info.GetIncarnation()})
		e.zone = info.GetZone()
		e.callerAddress = info.GetCallerAddress()
		e.peerAddress = info.GetPeerAddress()
		e.control = info.GetControl()
		e.registered = true
		e.unconfirmed = true
		e.updatesLeft = 0
	}
}

func (t *Table) remove(host string, incarnation uint64) {
	t.removed[host] = max(t.removed[host], incarnation)
	e := t.hosts[host]
	if e == nil || e.incarnation > t.removed[host] {
		return
	}
	t.drop(e)
}

func (t *Table) drop(e *entry) {
	delete(t.hosts, e.host)
	isIt := func(x *entry) bool { return x == e }
	t.changes++
	t.order = slices.DeleteFunc(t.order, isIt)
	t.neighbors = slices.DeleteFunc(t.neighbors, isIt)
}

// resetEntry makes an entry for a new host, or resets that of a former incarnation.
// Nothing of a former run holds for the new one, least of all its leaving flag.
func (t *Table) resetEntry(h *pb.Holder) *entry {
	e := t.hosts[h.GetHost()]
	if e == nil {
		e = &entry{host: h.GetHost()}
		t.hosts[e.host] = e
		at, _ := slices.BinarySearchFunc(t.order, e.host, func(x *entry, host string) int {
			return strings.Compare(x.host, host)
		})
		t.order = slices.Insert(t.order, at, e)
	}
	*e = entry{
		host: e.host, hash: xxhash.Sum64String(e.host), incarnation: h.GetIncarnation(),
		zone: e.zone, callerAddress: e.callerAddress, peerAddress: e.peerAddress, control: e.control, lastAlive: noEvidence,
	}
	t.queueUpdate(e, true)
	return e
}

// ReceiveRequest takes a heartbeat request that another host sent. Its age is not
// known: it may have been held up on the way. So its host entries bring no
// evidence, only incarnations, flags and doubts.
func (t *Table) ReceiveRequest(m *pb.HeartbeatRequest) {
	e := t.senderEntry(m)
	if e == nil {
		return
	}
	if m.GetSeq() <= e.seq {
		return // an older one than already taken, held up or sent twice
	}
	t.mergeHeader(e, m)
	t.requestReceived(e)
	for _, s := range m.GetHosts() {
		t.mergeState(s, noEvidence)
	}
}

// requestReceived counts the arrival of a request as evidence of its sender. A dead
// host is not revived by a single one.
//
// What goes wrong otherwise: a request that lay in a silent connection arrives
// long after its host died, and callers are sent there again. One would notice a
// host that turns alive for a few seconds after its death. A second request in a
// later tick, or a reply to the probe, can't come from a dead host's past.
func (t *Table) requestReceived(e *entry) {
	recent := t.now-e.lastRequest < t.cfg.DeadAfter && e.lastRequest < t.now
	e.lastRequest = t.now
	if t.dead(e) && !recent {
		e.probe = true
		return
	}
	t.markAlive(e, t.now)
}

// ReceiveReply takes the answer to a heartbeat that was sent to host to (empty: not
// known) at tick sentAt. An answer by another host, or by a run of the host that isn't
// registered yet, shows that the run which was asked is gone. All
// that it says was true at sentAt or later, so its ages count from there: evidence
// can only be taken for older than it is, never for younger, however many hosts it
// passes through.
func (t *Table) ReceiveReply(sentAt int64, to string, reply *pb.HeartbeatReply) {
	m := reply.GetState()
	if m.GetFrom().GetHost() != to || m.GetFrom().GetIncarnation() == 0 {
		t.MarkUnanswered(sentAt, to)
	}
	e := t.senderEntry(m)
	if e == nil {
		return
	}
	t.mergeHeader(e, m)
	t.markAlive(e, sentAt)
	for _, s := range m.GetHosts() {
		t.mergeState(s, sentAt)
	}
}

// MarkUnanswered takes that the heartbeat to a host, sent at tick sentAt, got no reply in time.
func (t *Table) MarkUnanswered(sentAt int64, host string) {
	e := t.hosts[host]
	if e == nil || e.lastAlive > sentAt {
		return
	}
	t.recordUnanswered(e, sentAt)
}

// senderEntry returns the entry of the host that sent m; nil if m must be ignored:
// this host's own, without incarnation, of a removed host or a former run.
func (t *Table) senderEntry(m *pb.HeartbeatRequest) *entry {
	return t.accept(m.GetFrom())
}

func (t *Table) accept(h *pb.Holder) *entry {
	if h.GetHost() == "" || h.GetHost() == t.cfg.Self.Host || h.GetIncarnation() == 0 {
		return nil
	}
	if h.GetIncarnation() <= t.removed[h.GetHost()] {
		return nil
	}
	e := t.hosts[h.GetHost()]
	if e == nil || e.incarnation < h.GetIncarnation() {
		return t.resetEntry(h)
	}
	if e.incarnation > h.GetIncarnation() {
		return nil
	}
	return e
}

func (t *Table) mergeHeader(e *entry, m *pb.HeartbeatRequest) {
	e.seq = max(e.seq, m.GetSeq())
	e.zone = m.GetZone()
	e.callerAddress = m.GetCallerAddress()
	e.peerAddress = m.GetPeerAddress()
	e.control = m.GetControl()
	e.spare = m.GetSparePermille()
	t.mergeTraffic(e, m.GetTraffic())
	e.revision = max(e.revision, m.GetConfigRevision())
	if m.GetLeaving() {
		t.setLeaving(e)
	}
}

// mergeTraffic notes a host's traffic. That it has become busy, or is no more, is news:
// hosts that answer callers must hear it within a second or two.
func (t *Table) mergeTraffic(e *entry, traffic uint32) {
	const much = 2 // times as much, or as little, as was told
	before, now := max(e.traffic, fullWeightTraffic), max(traffic, fullWeightTraffic)
	e.traffic = traffic
	if now > much*before || before > much*now {
		t.queueUpdate(e, false)
	}
}

// setLeaving is one-way: stale word can't make a leaving host eligible again.
func (t *Table) setLeaving(e *entry) {
	if e.leaving {
		return
	}
	e.leaving = true
	t.queueUpdate(e, false)
}

// mergeState merges another host's word about a third. sentAt is the tick from
// which ages count; notHeard: the ages are no evidence.
func (t *Table) mergeState(s *pb.HostState, sentAt int64) {
	known := t.hosts[s.GetHolder().GetHost()] != nil
	alive := s.GetHealth() == pb.HostHealth_HOST_HEALTH_ALIVE
	if !known && (!alive || s.GetPeerAddress() == "") {
		return // nothing to make an entry of: a dead host that was forgotten here, or no address
	}
	e := t.accept(s.GetHolder())
	if e == nil {
		return
	}
	if s.GetPeerAddress() != "" {
		e.zone = s.GetZone()
		e.callerAddress = s.GetCallerAddress()
		e.peerAddress = s.GetPeerAddress()
		e.control = s.GetControl()
	}
	e.revision = max(e.revision, s.GetConfigRevision())
	if s.GetLeaving() {
		t.setLeaving(e)
	}
	if alive {
		t.mergeEvidence(e, s, sentAt)
		return
	}
	t.mergeDoubt(e, s)
}

func (t *Table) mergeEvidence(e *entry, s *pb.HostState, sentAt int64) {
	t.confirm(e)
	if sentAt == noEvidence {
		return
	}
	heard := sentAt - t.ticks(s.GetHeardMs()) - ageRounding
	if heard > e.lastAlive {
		e.spare = s.GetSparePermille()
		t.mergeTraffic(e, s.GetTraffic())
	}
	t.markAlive(e, heard)
}

// mergeDoubt adopts a doubt that is later than anything this host has heard. If this
// host has later evidence it spreads that instead; if it watches the host, it asks.
func (t *Table) mergeDoubt(e *entry, s *pb.HostState) {
	unanswered := t.now - t.ticks(s.GetHeardMs()) - ageRounding
	if e.lastAlive >= unanswered {
		t.queueUpdate(e, false)
		return
	}
	if !t.dead(e) && slices.Contains(t.neighbors, e) {
		e.probe = true
	}
	t.recordUnanswered(e, unanswered)
}

// recordUnanswered takes that a heartbeat of tick at stayed unanswered. The first one of a
// doubt counts for how long it lasts, the last one is told to others: only a host
// that still gets no reply keeps a doubt going.
func (t *Table) recordUnanswered(e *entry, at int64) {
	e.lastUnanswered = max(e.lastUnanswered, at)
	if e.doubted {
		return
	}
	e.doubted = true
	e.doubtStart = at
	e.doubtNoticed = t.now
	if !e.unconfirmed {
		t.queueUpdate(e, false)
	}
}

// markAlive takes evidence that e ran at tick at; it ends a doubt that began before.
func (t *Table) markAlive(e *entry, at int64) {
	t.confirm(e)
	e.lastAlive = max(e.lastAlive, at)
	if !e.doubted || e.lastAlive <= e.doubtStart {
		return
	}
	e.doubted = false
	t.queueUpdate(e, false)
}

// confirm takes that there is word of a host that was only registered so far.
func (t *Table) confirm(e *entry) {
	if !e.unconfirmed {
		return
	}
	e.unconfirmed = false
	t.queueUpdate(e, true)
}

// ticks converts an age in milliseconds, rounded up: evidence never gets younger.
func (t *Table) ticks(ms int64) int64 {
	interval := int64(t.cfg.Interval / time.Millisecond)
	if ms <= 0 {
		return 0
	}
	return min((ms+interval-1)/interval, firstTick/2)
}
