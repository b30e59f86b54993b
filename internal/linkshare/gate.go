package linkshare

import "time"

const (
	// connectionShare is the share of the link, in the direction towards this host, beyond which the host
	// refuses new connections of callers. Requests come in clumps of bodies: with a larger share they
	// wait for one another, and so does the answer to each call that serves them.
	connectionShare = 0.65
	// excess is how long that share may be exceeded by the whole link before connections are refused.
	excess = 40 * time.Millisecond
	// longDelay is by how much the delay of messages has to exceed the shortest one known to show that
	// the link is full, whatever was counted.
	longDelay = 80 * time.Millisecond
	// minOpen and minClosed are the least times for which the gate is open and closed. Each time that it
	// closes, connections that are about to be opened are reset after their callers have sent their
	// requests, for nothing.
	minOpen   = 200 * time.Millisecond
	minClosed = 100 * time.Millisecond
	// maxClosed bounds the time for which connections are refused at once.
	maxClosed = 1500 * time.Millisecond
	// usualWindow is the time after which the shortest delay is forgotten, at the latest after another one:
	// the hosts and servers that answered as fast may have gone.
	usualWindow = 30 * time.Second
)

// Gate decides whether a host accepts new connections of callers. A caller that is refused while it
// connects has not sent its request yet: it costs the link two small packets, and the caller turns to
// another host. Once a request is on its way, the link carries it whether it is served or not.
//
// A Gate is not safe for concurrent use.
type Gate struct {
	// rate is connectionShare of the link, limit the excess allowed; in bytes.
	rate, limit float64
	at          time.Time
	received    int64
	// excess is what was received beyond rate and not made up for since, in bytes.
	excess float64
	closed bool
	// usual is the shortest delay known, next that since the time learned; 0 if none is.
	usual, next time.Duration
	learned     time.Time
	// until is when the gate may open or close again.
	until time.Time
}

// NewGate makes an open gate for a link that carries the given bytes a second in each direction.
func NewGate(bytesPerSecond float64) *Gate {
	return &Gate{rate: connectionShare * bytesPerSecond, limit: bytesPerSecond * excess.Seconds()}
}

// Update takes the bytes received on the link in all and how long messages are on their way now, 0 if that
// is not known, and reports whether connections are accepted from now on.
func (g *Gate) Update(now time.Time, received int64, delay time.Duration) (open bool) {
	if !g.at.IsZero() {
		g.excess = max(0, g.excess+float64(received-g.received)-g.rate*now.Sub(g.at).Seconds())
	}
	g.at, g.received = now, received
	g.learn(now, delay)
	delay -= min(g.usual, delay)
	switch {
	case now.Before(g.until):
	case g.closed:
		g.closed, g.excess, g.until = false, 0, now.Add(minOpen)
	case g.excess > g.limit || delay > longDelay:
		g.closed, g.until = true, now.Add(g.hold(delay))
	}
	return !g.closed
}

// learn keeps the shortest delay known.
func (g *Gate) learn(now time.Time, delay time.Duration) {
	if delay <= 0 {
		return
	}
	if now.Sub(g.learned) >= usualWindow {
		if g.next > 0 {
			g.usual = g.next
		}
		g.next, g.learned = 0, now
	}
	if g.next == 0 || delay < g.next {
		g.next = delay
	}
	if g.usual == 0 || delay < g.usual {
		g.usual = delay
	}
}

// hold returns for how long connections are refused: until the excess is made up for and what waits on
// the link has arrived.
func (g *Gate) hold(delay time.Duration) time.Duration {
	madeUp := time.Duration(g.excess / g.rate * float64(time.Second))
	return min(max(madeUp, 2*delay, minClosed), maxClosed)
}
