package members

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// transitWindow is how long the least offset and round trip of a peer are kept, at
	// least; twice as long at most. Clocks whose rates differ by 0.01 % part by 12 ms in it.
	transitWindow = time.Minute
	// transitSlack covers that.
	transitSlack = 12 * time.Millisecond
	// transitSamples is the number of heartbeats heard before a bound is given.
	transitSamples = 3
)

// transits bounds how long the heartbeats of each peer were on their way, without
// clocks that agree.
//
// What goes wrong without it: a heartbeat is held up in the network for seconds, and
// the ages of backend servers in it are what they were when it left. A server that has
// gone since then looks fresh, and gets new work after it left.
//
// The difference between this host's clock and the sender's is least for the heartbeat
// that was fastest, whose way took no longer than the shortest round trip. Whatever a
// later heartbeat's difference is above that least one, it took longer by so much.
type transits struct {
	peers map[string]*transit
}

type transit struct {
	incarnation uint64
	samples     int
	offset      windowMin
	roundTrip   windowMin
}

// windowMin is the least value of the present and the former window.
type windowMin struct {
	begun         time.Duration
	now, before   time.Duration
	some, earlier bool
}

func (m *windowMin) add(at, v time.Duration) {
	if m.some && at-m.begun >= transitWindow {
		m.before, m.earlier = m.now, at-m.begun < 2*transitWindow
		m.some = false
	}
	if !m.some {
		m.begun, m.now, m.some = at, v, true
		return
	}
	m.now = min(m.now, v)
}

// least is false without any value.
func (m *windowMin) least() (time.Duration, bool) {
	if m.some && m.earlier {
		return min(m.now, m.before), true
	}
	return m.now, m.some
}

func newTransits() *transits { return &transits{peers: map[string]*transit{}} }

func (t *transits) of(host string) *transit {
	p := t.peers[host]
	if p == nil {
		p = &transit{}
		t.peers[host] = p
	}
	return p
}

// answered notes the round trip of this host's own heartbeat to a peer.
func (t *transits) answered(at time.Duration, host string, roundTrip time.Duration) {
	t.of(host).roundTrip.add(at, roundTrip)
}

// bound returns how long a heartbeat was on its way at most, or
// backend.TransitUnknown. at is this host's monotonic clock, sent the sender's.
func (t *transits) bound(at time.Duration, from *pb.Holder, sent time.Duration) time.Duration {
	p := t.of(from.GetHost())
	if p.incarnation != from.GetIncarnation() {
		*p = transit{incarnation: from.GetIncarnation(), roundTrip: p.roundTrip}
	}
	p.samples++
	p.offset.add(at, at-sent)
	roundTrip, ok := p.roundTrip.least()
	if !ok || p.samples < transitSamples {
		return backend.TransitUnknown
	}
	least, _ := p.offset.least()
	return at - sent - least + roundTrip + transitSlack
}
