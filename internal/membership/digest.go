package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// wholeViewEvery is the number of replies in a full mesh of which one, on average, is the whole
// view.
const wholeViewEvery = 8

// fullViewEvery is the number of whole views of which one, on average, has all addresses.
const fullViewEvery = 3

// newsPerRound is how often, per round of spreading, an entry with news is sent
// before it only takes its turn.
const newsPerRound = 3

// spread puts e among the entries that go first; full tells whether its addresses
// are news too.
func (t *Table) spread(e *entry, full bool) {
	t.changes++
	e.updatesLeft = newsPerRound * t.rounds()
	e.updateAddresses = e.updateAddresses || full
}

// Request makes the heartbeat for the host named to (empty: not known). The caller
// adds what is not membership's.
func (t *Table) Request(to string) *pb.HeartbeatRequest {
	if t.fullMesh() {
		return t.message(t.onlyNews(to))
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
	case t.rng.IntN(wholeViewEvery) == 0:
		return t.message(t.wholeView(to))
	}
	return t.message(t.onlyNews(to))
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
	d := &digestBuilder{table: t, to: to, room: t.cfg.DigestBytes, in: make(map[*entry]bool)}
	for _, e := range t.news() {
		if !d.add(e, e.updateAddresses) {
			return d.states
		}
		t.sentNews(e)
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

func (t *Table) onlyNews(to string) []*pb.HostState {
	var states []*pb.HostState
	for _, e := range t.news() {
		if e.host != to && !e.unconfirmed {
			states = append(states, t.state(e, e.updateAddresses))
			t.sentNews(e)
		}
	}
	return states
}

// wholeView has addresses where they are news, and all of them now and then for a peer
// that missed the news.
func (t *Table) wholeView(to string) []*pb.HostState {
	full := t.rng.IntN(fullViewEvery) == 0
	states := make([]*pb.HostState, 0, len(t.order))
	for _, e := range t.order {
		if e.host != to && !e.unconfirmed {
			states = append(states, t.state(e, full || e.updateAddresses))
		}
	}
	return states
}

func (t *Table) news() []*entry {
	var news []*entry
	for _, e := range t.order {
		if e.updatesLeft > 0 {
			news = append(news, e)
		}
	}
	slices.SortStableFunc(news, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(urgency(a), urgency(b)), cmp.Compare(b.updatesLeft, a.updatesLeft))
	})
	return news
}

// urgency is lower for hosts that callers must not be sent to: their news must not
// wait behind that of many hosts that join.
func urgency(e *entry) int {
	if e.leaving || e.doubted {
		return 0
	}
	return 1
}

func (t *Table) sentNews(e *entry) {
	e.updatesLeft--
	if e.updatesLeft == 0 {
		e.updateAddresses = false
	}
}

type digestBuilder struct {
	table  *Table
	to     string
	room   int
	in     map[*entry]bool
	states []*pb.HostState
}

// entryOverhead is the tag and length that a repeated field adds to each entry.
const entryOverhead = 2

// add appends e's state; false: no room.
func (d *digestBuilder) add(e *entry, full bool) bool {
	if d.in[e] || e.unconfirmed || e.host == d.to {
		return true
	}
	s := d.table.state(e, full)
	size := proto.Size(s) + entryOverhead
	if size > d.room {
		return false
	}
	d.room -= size
	d.in[e] = true
	d.states = append(d.states, s)
	return true
}

// state is the word about e. HeardMs is the age of the evidence if e is alive and
// the age of the last unanswered heartbeat if not. A doubt is told as suspicion from its first tick,
// so that hosts with later evidence can refute it before it counts.
func (t *Table) state(e *entry, full bool) *pb.HostState {
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
