package members

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// transitWindow is the minimum time for which the smallest offset and round trip of a
	// peer are kept; the maximum is twice as long, in which clocks whose rates differ by
	// 0.01 % drift apart by 12 ms.
	transitWindow = time.Minute
	// transitSlack covers that drift.
	transitSlack = 12 * time.Millisecond
	// transitSamples is the number of heartbeats that must have been received before a bound
	// is returned, unless the peer has replied to one of this host's.
	transitSamples = 3
)

// transitTracker bounds the transit times of the heartbeats of each peer without
// synchronized clocks.
//
// A heartbeat can be delayed in the network for seconds, and the ages of backend servers in
// it are those at the time when it was sent. Without the bound, a server that has left in the
// meantime would look fresh and get new work.
//
// The offset between this host's clock on arrival and the sender's on sending is smallest for
// the fastest heartbeat, whose transit took no longer than the shortest round trip. A later
// heartbeat took longer than the fastest one by the amount by which its offset is larger.
type transitTracker struct {
	peers map[string]*peerTransit
}

type peerTransit struct {
	incarnation uint64
	samples     int
	offset      windowMin
	roundTrip   windowMin
}

// windowMin is the minimum of the values in the current and the previous window.
type windowMin struct {
	start                   time.Duration
	current, previous       time.Duration
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

// minimum returns the minimum; false if there is no value.
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

// recordRoundTrip records the round trip of a heartbeat of this host to a peer.
func (t *transitTracker) recordRoundTrip(at time.Duration, host string, roundTrip time.Duration) {
	t.peer(host).roundTrip.add(at, roundTrip)
}

// recordReply records when a peer sent its reply to a heartbeat, by its clock, and when that arrived,
// by this host's. The transit of the reply took no longer than the round trip, so that a bound is
// known from the first reply on.
func (t *transitTracker) recordReply(at time.Duration, from *pb.Holder, sent time.Duration) {
	p := t.run(from)
	p.samples = max(p.samples, transitSamples)
	p.offset.add(at, at-sent)
}

// run returns the state of a peer for an incarnation.
func (t *transitTracker) run(from *pb.Holder) *peerTransit {
	p := t.peer(from.GetHost())
	if p.incarnation != from.GetIncarnation() {
		*p = peerTransit{incarnation: from.GetIncarnation(), roundTrip: p.roundTrip}
	}
	return p
}

// knowsRoundTrip reports whether a round trip of a heartbeat to a peer is known.
func (t *transitTracker) knowsRoundTrip(host string) bool {
	p := t.peers[host]
	if p == nil {
		return false
	}
	_, ok := p.roundTrip.minimum()
	return ok
}

// bound returns an upper bound of a heartbeat's transit time, or backend.TransitUnknown. at is
// the time of arrival by this host's monotonic clock, sent that of sending by the sender's.
func (t *transitTracker) bound(at time.Duration, from *pb.Holder, sent time.Duration) time.Duration {
	p := t.run(from)
	p.samples++
	p.offset.add(at, at-sent)
	roundTrip, ok := p.roundTrip.minimum()
	if !ok || p.samples < transitSamples {
		return backend.TransitUnknown
	}
	least, _ := p.offset.minimum()
	return at - sent - least + roundTrip + transitSlack
}
