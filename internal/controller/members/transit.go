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

// transitTracker bounds how long the heartbeats of each peer were on their way, without
// clocks that agree.
//
// What goes wrong without it: a heartbeat is held up in the network for seconds, and
// the ages of backend servers in it are what they were when it left. A server that has
// gone since then looks fresh, and gets new work after it left.
//
// The difference between this host's clock and the sender's is least for the heartbeat
// that was fastest, whose way took no longer than the shortest round trip. Whatever a
// later heartbeat's difference is above that least one, it took longer by so much.
type transitTracker struct {
	peers map[string]*peerTransit
}

type peerTransit struct {
	incarnation uint64
	samples     int
	offset      windowMin
	roundTrip   windowMin
}

// windowMin is the least value of the present and the former window.
type windowMin struct {
	start         time.Duration
	current, previous   time.Duration
	hasCurrent, hasPrevious bool
}

func (m *windowMin) add(at, v time.Duration) {
	if m.hasCurrent && at-m.start >= transitWindow {
		m.previous, m.hasPrevious = m.current, at-m.start < 2*transitWindow
		m.hasCurrent = false
	}
	if !m.hasCurrent {
		m.start, m.current, m.hasCurrent = at, v, true
		return
	}
	m.current = min(m.current, v)
}

// minimum is false without any value.
func (m *windowMin) minimum() (time.Duration, bool) {
	if m.hasCurrent && m.hasPrevious {
		return min(m.current, m.previous), true
	}
	return m.current, m.hasCurrent
}

func newTransitTracker() *transitTracker { return &transitTracker{peers: map[string]*peerTransit{}} }

func (t *transitTracker) peer(host string) *peerTransit {
	p := t.peers[host]
	if p == nil {
		p = &peerTransit{}
		t.peers[host] = p
	}
	return p
}

// recordRoundTrip notes the round trip of this host's own heartbeat to a peer.
func (t *transitTracker) recordRoundTrip(at time.Duration, host string, roundTrip time.Duration) {
	t.peer(host).roundTrip.add(at, roundTrip)
}

// bound returns how long a heartbeat was on its way at most, or
// backend.TransitUnknown. at is this host's monotonic clock, sent the sender's.
func (t *transitTracker) bound(at time.Duration, from *pb.Holder, sent time.Duration) time.Duration {
	p := t.peer(from.GetHost())
	if p.incarnation != from.GetIncarnation() {
		*p = peerTransit{incarnation: from.GetIncarnation(), roundTrip: p.roundTrip}
	}
	p.samples++
	p.offset.add(at, at-sent)
	roundTrip, ok := p.roundTrip.minimum()
	if !ok || p.samples < transitSamples {
		return backend.TransitUnknown
	}
	least, _ := p.offset.minimum()
	return at - sent - least + roundTrip + transitSlack
}
