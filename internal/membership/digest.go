package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// newsPerRound is how often, per round of spreading, an entry with news is sent
// before it only takes its turn.
const newsPerRound = 3

// spread puts e among the entries that go first; full tells whether its addresses
// are news too.
func (t *Table) spread(e *entry, full bool) {
	t.changes++
	e.newsLeft = newsPerRound * t.rounds()
	e.newsFull = e.newsFull || full
}

// Message makes the heartbeat, or the state of a reply, for the host named to
// (empty: not known). The caller adds what is not membership's.
func (t *Table) Message(to string) *pb.HeartbeatRequest {
	t.seq++
	self := t.cfg.Self
	return &pb.HeartbeatRequest{
		From:           &pb.Holder{Host: self.Host, Incarnation: self.Incarnation},
		Zone:           self.Zone,
		Seq:            t.seq,
		Hosts:          t.digest(to),
		ConfigRevision: t.rev,
		SparePermille:  t.spare,
		Leaving:        t.leaving,
		CallerAddress:  self.CallerAddress,
		PeerAddress:    self.PeerAddress,
	}
}

// digest is everybody in a full mesh; otherwise entries with news, those sent least
// often first, and then others in turn, up to DigestBytes.
func (t *Table) digest(to string) []*pb.HostState {
	if t.fullMesh() {
		return t.wholeView(to)
	}
	d := &digestBuilder{table: t, to: to, room: t.cfg.DigestBytes, in: make(map[*entry]bool)}
	for _, e := range t.news() {
		if !d.add(e, e.newsFull) {
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

func (t *Table) wholeView(to string) []*pb.HostState {
	states := make([]*pb.HostState, 0, len(t.order))
	for _, e := range t.order {
		if e.host != to && !e.unheard {
			states = append(states, t.state(e, true))
		}
	}
	return states
}

func (t *Table) news() []*entry {
	var news []*entry
	for _, e := range t.order {
		if e.newsLeft > 0 {
			news = append(news, e)
		}
	}
	slices.SortStableFunc(news, func(a, b *entry) int { return cmp.Compare(b.newsLeft, a.newsLeft) })
	return news
}

func (t *Table) sentNews(e *entry) {
	e.newsLeft--
	if e.newsLeft == 0 {
		e.newsFull = false
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
	if d.in[e] || e.unheard || e.host == d.to {
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
		HeardMs:        t.age(e.heard),
	}
	if e.doubted {
		s.HeardMs = t.age(e.unanswered)
		if s.Health == pb.HostHealth_HOST_HEALTH_ALIVE {
			s.Health = pb.HostHealth_HOST_HEALTH_SUSPECT
		}
	}
	if full {
		s.Zone = e.zone
		s.CallerAddress = e.caller
		s.PeerAddress = e.peer
	}
	return s
}

// maxAge bounds ages in messages; older evidence says nothing more.
const maxAge = 24 * time.Hour

func (t *Table) age(tick int64) int64 {
	most := int64(maxAge / t.cfg.Interval)
	return min(t.now-tick, most) * int64(t.cfg.Interval/time.Millisecond)
}
