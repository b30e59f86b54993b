package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// noEvidence is the tick of a host for which there is no evidence.
	noEvidence = 0
	// ageRounding is added to every age from another host. The ticks of two hosts don't begin
	// at the same time, so an age in whole ticks can be too small by almost one. A message
	// that became younger at each hop would circulate forever, and would keep a doubt or a
	// dead host alive.
	ageRounding = 1
)

// MergeRegistered merges the hosts that are registered with the control group. Removed hosts
// are permanently dropped. One that registered a moment ago was running then. The others count as suspected until a
// host reports them, and are not
// passed on: a registration is no evidence that a host is alive, and if a joining host spread
// doubts about all others, the whole fleet would send probes.
func (t *Table) MergeRegistered(hosts []*pb.HostInfo) {
	for _, info := range hosts {
		if info.GetHost() == t.cfg.Self.Host {
			continue
		}
		if info.GetRemoved() {
			t.remove(info.GetHost(), info.GetIncarnation())
			continue
		}
		e := t.hosts[info.GetHost()]
		if e == nil || e.incarnation < info.GetIncarnation() {
			e = t.resetEntry(&pb.Holder{Host: info.GetHost(), Incarnation: info.GetIncarnation()})
			t.setIdentity(e, identity{info.GetZone(), info.GetCallerAddress(), info.GetPeerAddress(), info.GetControl()})
			e.unconfirmed = true
			e.updatesLeft = 0
		}
		e.registered = true
		if ms := info.GetRegisteredMs(); ms > 0 && e.incarnation == info.GetIncarnation() {
			t.markAlive(e, t.now-t.ticks(ms)-ageRounding)
		}
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
	t.queued++
	t.changedUrgently()
	t.order = slices.DeleteFunc(t.order, isIt)
	t.neighbors = slices.DeleteFunc(t.neighbors, isIt)
}

// resetEntry creates the entry of a new host, or resets that of a previous incarnation. Apart
// from zone, addresses and capacity, no state of the previous incarnation applies to the new one,
// especially not its leaving flag.
func (t *Table) resetEntry(h *pb.Holder) *entry {
	e := t.hosts[h.GetHost()]
	if e != nil {
		t.changedUrgently()
	} else {
		t.changed()
		e = &entry{host: h.GetHost()}
		t.hosts[e.host] = e
		at, _ := slices.BinarySearchFunc(t.order, e.host, func(x *entry, host string) int {
			return strings.Compare(x.host, host)
		})
		t.order = slices.Insert(t.order, at, e)
	}
	*e = entry{
		host: e.host, hash: xxhash.Sum64String(e.host), incarnation: h.GetIncarnation(),
		identity: e.identity, lastAlive: noEvidence, created: t.now,
		// Until the new one tells its capacity it counts as equal to the previous one, as its owners would
		// change twice otherwise.
		capacity: e.capacity, absurd: e.absurd,
	}
	t.queueUpdate(e, true)
	return e
}

// ReceiveRequest merges a heartbeat request from another host. Its age is not known, because it
// may have been delayed in the network. So its host entries are no evidence; only their
// incarnations, flags and doubts are merged.
func (t *Table) ReceiveRequest(m *pb.HeartbeatRequest) {
	e := t.senderEntry(m)
	if e == nil {
		return
	}
	if m.GetSeq() <= e.seq {
		return // a duplicate, or delayed and older than one already received
	}
	t.mergeHeader(e, m)
	t.requestReceived(e)
	for _, s := range m.GetHosts() {
		t.mergeState(s, noEvidence)
	}
}

// requestReceived counts the arrival of a request as evidence that its sender is alive. A
// single request does not revive a dead host.
//
// A request that was buffered in a stalled connection can arrive long after its host died. If
// it revived the host, callers would be sent to the host again, which would appear alive for a
// few seconds. A second request in a later tick, or a reply to the probe, can't be that old.
func (t *Table) requestReceived(e *entry) {
	recent := t.now-e.lastRequest < t.cfg.DeadAfter && e.lastRequest < t.now
	e.lastRequest = t.now
	if t.dead(e) && !recent {
		e.probe = true
		return
	}
	t.markAlive(e, t.now)
}

// ReceiveReply merges the reply to a heartbeat that was sent at tick sentAt to the host named
// to, which is empty if the name is not known. A reply by another host, or by an incarnation
// that isn't registered yet, shows that the incarnation to which the heartbeat was sent has
// stopped. The contents of the reply were true at sentAt or later, so its ages count from
// there: evidence may be taken for older than it is, but never for younger, however many hosts
// it passes through.
func (t *Table) ReceiveReply(sentAt int64, to string, reply *pb.HeartbeatReply) {
	t.contactAnswered(true)
	m := reply.GetState()
	if m.GetFrom().GetHost() != to || m.GetFrom().GetIncarnation() == 0 {
		t.markUnanswered(sentAt, to)
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

// MarkUnanswered records that the heartbeat sent to a host at tick sentAt got no reply in time.
func (t *Table) MarkUnanswered(sentAt int64, host string) {
	t.contactAnswered(false)
	t.markUnanswered(sentAt, host)
}

func (t *Table) markUnanswered(sentAt int64, host string) {
	e := t.hosts[host]
	if e == nil || e.lastAlive > sentAt {
		return
	}
	if !e.doubted && !e.missed && !t.fullMesh() {
		// In a large fleet a doubt spreads to all, and so does its refutation. A second heartbeat at the next tick
		// makes sure.
		e.missed, e.probe = true, true
		return
	}
	t.recordUnanswered(e, sentAt)
}

// senderEntry returns the entry of the host that sent m. It returns nil if m must be ignored,
// because the sender is this host, has no incarnation or is a removed or previous one.
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
	t.setIdentity(e, identity{m.GetZone(), m.GetCallerAddress(), m.GetPeerAddress(), m.GetControl()})
	t.setCapacity(e, m.GetCapacity())
	t.setSpare(e, m.GetSparePermille())
	t.mergeTraffic(e, m.GetTraffic())
	t.setRevision(e, m.GetConfigRevision())
	if m.GetLeaving() {
		t.setLeaving(e)
	}
}

// identity is what stays the same for an incarnation of a host.
type identity struct {
	zone, callerAddress, peerAddress string
	control                          bool
}

func (t *Table) setIdentity(e *entry, is identity) {
	if e.identity != is {
		e.identity = is
		t.changed()
	}
}

// setRevision sets the settings revision that a host has reported, which never goes back.
func (t *Table) setRevision(e *entry, revision uint64) {
	if revision > e.revision {
		e.revision = revision
		t.changed()
	}
}

// setSpare sets a host's spare capacity. Whether it has any is a change of the view, how much is its load.
func (t *Table) setSpare(e *entry, spare uint32) {
	if (spare == 0) != (e.spare == 0) {
		t.changed()
	}
	e.spare = spare
}

// mergeTraffic sets a host's traffic. A large change is queued as an update, because the hosts
// that return addresses to callers need to know of it within a second or two.
func (t *Table) mergeTraffic(e *entry, traffic uint32) {
	const factor = 2 // a change by more than this factor, up or down, is an update
	before, now := max(e.traffic, fullWeightTraffic), max(traffic, fullWeightTraffic)
	e.traffic = traffic
	if now > factor*before || before > factor*now {
		t.queueUpdate(e, false)
	}
}

// setLeaving marks a host as leaving. The mark is never removed, so that a stale message can't
// make a leaving host eligible again.
func (t *Table) setLeaving(e *entry) {
	if e.leaving {
		return
	}
	e.leaving = true
	t.changedUrgently()
	t.queueUpdate(e, false)
}

// mergeState merges another host's report about a third one. sentAt is the tick from which ages
// count, or noEvidence if the ages are not evidence.
func (t *Table) mergeState(s *pb.HostState, sentAt int64) {
	known := t.hosts[s.GetHolder().GetHost()] != nil
	alive := s.GetHealth() == pb.HostHealth_HOST_HEALTH_ALIVE
	if !known && (!alive || s.GetPeerAddress() == "") {
		return // a dead host that was dropped here, or one without an address: no entry is made
	}
	e := t.accept(s.GetHolder())
	if e == nil {
		return
	}
	if s.GetPeerAddress() != "" {
		t.setIdentity(e, identity{s.GetZone(), s.GetCallerAddress(), s.GetPeerAddress(), s.GetControl()})
		if s.GetCapacity() != nil && !e.told {
			t.setCapacity(e, s.GetCapacity())
		}
	}
	t.setRevision(e, s.GetConfigRevision())
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
	aliveAt := sentAt - t.ticks(s.GetHeardMs()) - ageRounding
	if aliveAt > e.lastAlive {
		t.setSpare(e, s.GetSparePermille())
		t.mergeTraffic(e, s.GetTraffic())
	}
	t.markAlive(e, aliveAt)
}

// mergeDoubt adopts a doubt that is later than this host's evidence. If this host has later
// evidence, it spreads that instead; if the doubted host is its neighbor, it sends a probe.
func (t *Table) mergeDoubt(e *entry, s *pb.HostState) {
	unanswered := t.now - t.ticks(s.GetHeardMs()) - ageRounding
	if e.lastAlive >= unanswered {
		t.refute(e)
		return
	}
	if !t.dead(e) && slices.Contains(t.neighbors, e) {
		e.probe = true
	}
	t.recordUnanswered(e, unanswered)
}

// recordUnanswered records that a heartbeat sent at tick at was not answered. The duration of a
// doubt counts from the first such heartbeat, while the last one is reported to other hosts:
// only a host that still gets no reply keeps a doubt alive.
func (t *Table) recordUnanswered(e *entry, at int64) {
	e.lastUnanswered = max(e.lastUnanswered, at)
	if e.doubted {
		return
	}
	e.doubted, e.refuted = true, false
	t.changed()
	e.doubtStart = at
	e.doubtNoticed = t.now
	if !e.unconfirmed {
		t.queueUpdate(e, false)
	}
}

// markAlive records evidence that e was running at tick at, which ends an earlier doubt.
func (t *Table) markAlive(e *entry, at int64) {
	t.confirm(e)
	if at > e.lastAlive {
		e.lastAlive, e.missed = at, false
	}
	if !e.doubted || e.lastAlive <= e.doubtStart {
		return
	}
	e.doubted = false
	t.changedUrgently()
	t.refute(e)
}

// refute queues the word that a host is running although another one doubts it.
func (t *Table) refute(e *entry) {
	e.refuted = true
	t.queueUpdate(e, false)
}

// confirm records that a host that was only registered so far has been reported by a host.
func (t *Table) confirm(e *entry) {
	if !e.unconfirmed {
		return
	}
	e.unconfirmed = false
	t.changed()
	t.queueUpdate(e, true)
}

// ticks converts an age in milliseconds to ticks, rounded up so that evidence never gets younger.
func (t *Table) ticks(ms int64) int64 {
	interval := int64(t.cfg.Interval / time.Millisecond)
	if ms <= 0 {
		return 0
	}
	return min((ms+interval-1)/interval, firstTick/2)
}
