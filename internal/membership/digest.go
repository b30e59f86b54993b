package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// repliesPerWholeView is the number of replies in a full mesh of which one, on average, is the whole
// view.
const repliesPerWholeView = 8

// wholeViewsPerAddressView is the number of whole views of which one, on average, has all addresses.
const wholeViewsPerAddressView = 3

// sendsPerRound is how often, per round of spreading, an entry with news is sent
// before it only takes its turn.
const sendsPerRound = 3

// queueUpdate puts e among the entries that go first; full tells whether its addresses
// are news too.
func (t *Table) queueUpdate(e *entry, full bool) {
	t.changes++
	e.updatesLeft = sendsPerRound * t.spreadRounds()
	e.updateAddresses = e.updateAddresses || full
}

// Request makes the heartbeat for the host named to (empty: not known). The caller
// adds what is not membership's.
func (t *Table) Request(to string) *pb.HeartbeatRequest {
	if t.fullMesh() {
		return t.message(t.updates(to))
	}
	return t.message(t.digest(to))
}

// Reply makes the state that answers a heartbeat of the host named to. Replies are what brings
// evidence of third hosts. In a full mesh each host hears all others itself, so that one whole
// view among some replies is enough: it gets replies of all others in each interval.
func (t *Table) Reply(to string) *pb.HeartbeatRequest {
	switch {
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
	}
}

// digest is the entries with news, of leaving and doubted hosts first, then
// those sent least often, and then others in turn, up to DigestBytes.
func (t *Table) digest(to string) []*pb.HostState {
	d := &digestBuilder{table: t, to: to, remaining: t.cfg.DigestBytes, included: make(map[*entry]bool)}
	for _, e := range t.pendingUpdates() {
		if !d.add(e, e.updateAddresses) {
			return d.states
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
	return d.states
}

func (t *Table) updates(to string) []*pb.HostState {
	var states []*pb.HostState
	for _, e := range t.pendingUpdates() {
		if e.host != to && !e.unconfirmed {
			states = append(states, t.hostState(e, e.updateAddresses))
			t.markSent(e)
		}
	}
	return states
}

// wholeView has addresses where they are news, and all of them now and then for a peer
// that missed the news.
func (t *Table) wholeView(to string) []*pb.HostState {
	full := t.rng.IntN(wholeViewsPerAddressView) == 0
	states := make([]*pb.HostState, 0, len(t.order))
	for _, e := range t.order {
		if e.host != to && !e.unconfirmed {
			states = append(states, t.hostState(e, full || e.updateAddresses))
		}
	}
	return states
}

func (t *Table) pendingUpdates() []*entry {
	var news []*entry
	for _, e := range t.order {
		if e.updatesLeft > 0 {
			news = append(news, e)
		}
	}
	slices.SortStableFunc(news, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(updatePriority(a), updatePriority(b)), cmp.Compare(b.updatesLeft, a.updatesLeft))
	})
	return news
}

// updatePriority is lower for hosts that callers must not be sent to: their news must not
// wait behind that of many hosts that join.
func updatePriority(e *entry) int {
	if e.leaving || e.doubted {
		return 0
	}
	return 1
}

func (t *Table) markSent(e *entry) {
	e.updatesLeft--
	if e.updatesLeft == 0 {
		e.updateAddresses = false
	}
}

type digestBuilder struct {
	table  *Table
	to     string
	remaining   int
	included     map[*entry]bool
	states []*pb.HostState
}

// entryOverhead is the tag and length that a repeated field adds to each entry.
const entryOverhead = 2

// add appends e's state; false: no room.
func (d *digestBuilder) add(e *entry, full bool) bool {
	if d.included[e] || e.unconfirmed || e.host == d.to {
		return true
	}
	s := d.table.hostState(e, full)
	size := proto.Size(s) + entryOverhead
	if size > d.remaining {
		return false
	}
	d.remaining -= size
	d.included[e] = true
	d.states = append(d.states, s)
	return true
}

// hostState is the word about e. HeardMs is the age of the evidence if e is alive and
// the age of the last unanswered heartbeat if not. A doubt is told as suspicion from its first tick,
// so that hosts with later evidence can refute it before it counts.
func (t *Table) hostState(e *entry, full bool) *pb.HostState {
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
	if full {
		s.Zone = e.zone
		s.CallerAddress = e.callerAddress
		s.PeerAddress = e.peerAddress
		s.Control = e.control
	}
	return s
}

// maxAge bounds ages in messages; older evidence says nothing more.
const maxAge = 24 * time.Hour

func (t *Table) age(tick int64) int64 {
	most := int64(maxAge / t.cfg.Interval)
	return min(t.now-tick, most) * int64(t.cfg.Interval/time.Millisecond)
}
