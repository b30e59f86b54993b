package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// repliesPerWholeView is the average number of replies in a full mesh for each one that carries
// the whole view.
const repliesPerWholeView = 8

// wholeViewsPerAddressView is the average number of whole views for each one that includes all
// addresses.
const wholeViewsPerAddressView = 3

// sendsPerRound is how many times an updated entry is sent before others, for each round that an
// update takes to reach every host; once is enough in a large fleet, where all hosts pass it on. After that, the entry
// is only sent in turn.
const sendsPerRound = 3

// updateSends returns how many times an updated entry is sent before others.
func (t *Table) updateSends() int {
	if t.fullMesh() {
		return sendsPerRound * t.spreadRounds()
	}
	return t.spreadRounds()
}

// queueUpdate queues e as an update, to be sent before other entries. withAddresses is true if its
// addresses are to be sent too.
func (t *Table) queueUpdate(e *entry, withAddresses bool) {
	t.queued++
	e.updatesLeft = t.updateSends()
	e.updateAddresses = e.updateAddresses || withAddresses
}

// Request returns the heartbeat to send to the host named to, which is empty if the name is
// not known. The caller adds the parts that do not belong to membership.
func (t *Table) Request(to string) *pb.HeartbeatRequest {
	if t.fullMesh() {
		return t.message(t.updates(to))
	}
	return t.message(t.digest(to))
}

// Reply returns the state with which to reply to a heartbeat of a host. Replies carry the
// evidence about third hosts. In a full mesh each host observes all others itself and gets
// replies from all of them in each interval, so a whole view in some of the replies is enough.
func (t *Table) Reply(sender *pb.Holder) *pb.HeartbeatRequest {
	to := sender.GetHost()
	switch {
	case sender.GetIncarnation() == 0:
		return t.message(t.introduction(to))
	case !t.fullMesh():
		return t.message(t.digest(to))
	case t.rng.IntN(repliesPerWholeView) == 0:
		return t.message(t.wholeView(to))
	}
	return t.message(t.updates(to))
}

func (t *Table) message(hosts []*pb.HostState) *pb.HeartbeatRequest {
	t.seq++
	self := t.cfg.Self
	return &pb.HeartbeatRequest{
		From:           &pb.Holder{Host: self.Host, Incarnation: self.Incarnation},
		Zone:           self.Zone,
		Seq:            t.seq,
		Hosts:          hosts,
		ConfigRevision: t.configRevision,
		SparePermille:  t.spare,
		Traffic:        t.traffic,
		Leaving:        t.leaving,
		CallerAddress:  self.CallerAddress,
		PeerAddress:    self.PeerAddress,
		Control:        self.Control,
		Capacity:       self.Capacity.Proto(),
	}
}

// digestBytes returns the size of the host entries in a message to the host named to.
//
// After a failure of the whole fleet all hosts are new to all others at once. With digests of the
// usual size a large fleet would need many seconds until all hosts know each other.
func (t *Table) digestBytes(to string) int {
	if t.starting() || t.isNew(t.hosts[to]) {
		return max(t.cfg.DigestBytes, startDigestBytes)
	}
	if t.manyUrgent() {
		return max(t.cfg.DigestBytes, urgentDigestBytes)
	}
	return t.cfg.DigestBytes
}

// manyUrgent reports whether more urgent updates are queued than fit into a digest of the usual size.
func (t *Table) manyUrgent() bool {
	n := 0
	for _, e := range t.order {
		if e.updatesLeft > 0 && e.urgent() {
			n++
		}
	}
	return n > maxUsualUrgent
}

const (
	// maxUsualUrgent is the number of urgent updates above which digests have urgentDigestBytes: more than when a zone
	// of a usual fleet fails.
	maxUsualUrgent    = 64
	urgentDigestBytes = startDigestBytes
)

// digest returns entries of up to digestBytes.
func (t *Table) digest(to string) []*pb.HostState {
	d := t.newDigest(to, t.digestBytes(to))
	d.fill()
	return d.states
}

const (
	// maxIntroduced is the number of control hosts named to a host that is not registered: more than one, as some may
	// be lost, and few, as all hosts of a large fleet that starts ask its seeds.
	maxIntroduced = 3
	// introductionBytes is the least size of the host entries in such a reply: room for maxIntroduced of them.
	introductionBytes = 512
)

// introduction returns the entries for a host that is not registered yet and hears only from the hosts that it asks. It
// needs a control host first, which can register it: in a full mesh it gets all hosts, in a large fleet some live control
// hosts and what else fits.
func (t *Table) introduction(to string) []*pb.HostState {
	if t.fullMesh() {
		return t.allEntries(to, true)
	}
	d := t.newDigest(to, max(t.digestBytes(to), introductionBytes))
	for _, e := range t.someControlHosts() {
		d.add(e, true)
	}
	d.fill()
	return d.states
}

// someControlHosts returns up to maxIntroduced live control hosts, chosen at random.
func (t *Table) someControlHosts() []*entry {
	var hosts []*entry
	for _, e := range t.order {
		if e.control && !e.leaving && !e.doubted && t.health(e) == pb.HostHealth_HOST_HEALTH_ALIVE {
			hosts = append(hosts, e)
		}
	}
	t.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(len(hosts), maxIntroduced)]
}

func (t *Table) updates(to string) []*pb.HostState {
	var states []*pb.HostState
	for _, e := range t.pendingUpdates(len(t.order)) {
		if e.host != to && !e.unconfirmed {
			states = append(states, t.hostState(e, e.updateAddresses))
			t.markSent(e)
		}
	}
	return states
}

// wholeView returns all entries, with the addresses of those whose addresses are an update.
// Now and then it includes all addresses, for peers that missed an update.
func (t *Table) wholeView(to string) []*pb.HostState {
	return t.allEntries(to, t.rng.IntN(wholeViewsPerAddressView) == 0)
}

// allEntries returns all entries, with all addresses or with those that are an update.
func (t *Table) allEntries(to string, withAddresses bool) []*pb.HostState {
	states := make([]*pb.HostState, 0, len(t.order))
	for _, e := range t.order {
		if e.host != to && !e.unconfirmed {
			states = append(states, t.hostState(e, withAddresses || e.updateAddresses))
		}
	}
	return states
}

// minEntryBytes is less than the size of any entry in a message.
const minEntryBytes = 16

// pendingUpdates returns the first entries to send as updates: at least limit of them, unless there are fewer.
//
// While a large fleet starts, nearly all hosts are updates for thousands of messages, each of which carries a few; to
// sort them all for each message would cost more than the rest of it.
func (t *Table) pendingUpdates(limit int) []*entry {
	// counts has the numbers of updates by sort key.
	counts := make([]int, 2*(t.updateSends()+1))
	pending := 0
	for _, e := range t.order {
		if e.updatesLeft > 0 {
			counts[updateKey(e, len(counts))]++
			pending++
		}
	}
	last := len(counts) - 1
	if pending > limit {
		last = 0
		for taken := counts[0]; taken < limit; taken += counts[last] {
			last++
		}
	}
	if pending == 0 {
		return nil
	}
	// From a random one on, as all hosts would begin with the same ones of those that are sent as often.
	var first []*entry
	offset := t.rng.IntN(len(t.order))
	for i := range t.order {
		e := t.order[(offset+i)%len(t.order)]
		if e.updatesLeft > 0 && updateKey(e, len(counts)) <= last {
			first = append(first, e)
		}
	}
	slices.SortStableFunc(first, func(a, b *entry) int {
		return cmp.Compare(updateKey(a, len(counts)), updateKey(b, len(counts)))
	})
	return first
}

// updateKey returns the sort key of an update, below keys: first by priority, then those sent least often.
func updateKey(e *entry, keys int) int {
	most := keys/2 - 1
	return updatePriority(e)*(keys/2) + most - min(e.updatesLeft, most)
}

// updatePriority returns the sort key of an update. It is lower for hosts that callers must not
// be sent to, and for those of which that was wrong: their updates must not wait behind those of many joining hosts.
func updatePriority(e *entry) int {
	if e.urgent() {
		return 0
	}
	return 1
}

// urgent reports whether an update tells that a host must not be used, or that it can be used after all.
func (e *entry) urgent() bool { return e.leaving || e.doubted || e.refuted }

func (t *Table) markSent(e *entry) {
	e.updatesLeft--
	if e.updatesLeft == 0 {
		e.updateAddresses, e.refuted = false, false
	}
}

type digestBuilder struct {
	table     *Table
	to        string
	remaining int
	included  map[*entry]bool
	states    []*pb.HostState
}

func (t *Table) newDigest(to string, size int) *digestBuilder {
	return &digestBuilder{table: t, to: to, remaining: size, included: make(map[*entry]bool)}
}

// fill appends entries while there is room: first the queued updates, those of leaving and
// doubted hosts before others and then those sent least often, and then other entries in turn.
func (d *digestBuilder) fill() {
	t := d.table
	for _, e := range t.pendingUpdates(d.remaining / minEntryBytes) {
		if !d.add(e, e.updateAddresses) {
			return
		}
		t.markSent(e)
	}
	for range t.order {
		t.nextDigest %= len(t.order)
		if !d.add(t.order[t.nextDigest], true) {
			break
		}
		t.nextDigest++
	}
}

// entryOverhead is the tag and length that a repeated field adds to each entry.
const entryOverhead = 2

// add appends the state of e, and returns false if there is no room for it.
func (d *digestBuilder) add(e *entry, withAddresses bool) bool {
	if d.included[e] || e.unconfirmed || e.host == d.to {
		return true
	}
	s := d.table.hostState(e, withAddresses)
	size := proto.Size(s) + entryOverhead
	if size > d.remaining {
		return false
	}
	d.remaining -= size
	d.included[e] = true
	d.states = append(d.states, s)
	return true
}

// hostState returns the message about e. HeardMs is the age of the evidence if e is alive, and
// the age of the last unanswered heartbeat if not. A doubted host is reported as suspected from
// the first tick of the doubt, so that hosts with later evidence can refute the doubt before it
// takes effect.
func (t *Table) hostState(e *entry, withAddresses bool) *pb.HostState {
	s := &pb.HostState{
		Holder:         &pb.Holder{Host: e.host, Incarnation: e.incarnation},
		Health:         t.health(e),
		Leaving:        e.leaving,
		ConfigRevision: e.revision,
		SparePermille:  e.spare,
		Traffic:        e.traffic,
		HeardMs:        t.age(e.lastAlive),
	}
	if e.doubted {
		s.HeardMs = t.age(e.lastUnanswered)
		if s.Health == pb.HostHealth_HOST_HEALTH_ALIVE {
			s.Health = pb.HostHealth_HOST_HEALTH_SUSPECT
		}
	}
	if withAddresses {
		s.Zone = e.zone
		s.CallerAddress = e.callerAddress
		s.PeerAddress = e.peerAddress
		s.Control = e.control
		s.Capacity = e.toldCapacity()
	}
	return s
}

// maxAge bounds the ages in messages; evidence older than that is all equivalent.
const maxAge = 24 * time.Hour

func (t *Table) age(tick int64) int64 {
	maxTicks := int64(maxAge / t.cfg.Interval)
	return min(t.now-tick, maxTicks) * int64(t.cfg.Interval/time.Millisecond)
}
