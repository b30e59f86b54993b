// Package serverpath decides how a host connects to a backend server: directly, or through a tunnel
// that a peer host opens to the server on its behalf.
//
// A host may be cut off from some or all servers while callers and other hosts reach it. The package
// does not tell such a partition from a slow link or a failed server beforehand. It has a direct
// connection and a tunnel race for each new connection, and remembers who won: a direct path that
// loses is used again only after a direct connection has opened, which is tried now and then beside
// the tunnels. The package is pure: time and randomness are passed in, and the caller serializes the
// calls.
package serverpath

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// tunnelDelay is how long a direct connection may take to open before a tunnel is opened beside
	// it. It takes milliseconds, unless this host or the server's is short of processor time.
	tunnelDelay = 100 * time.Millisecond
	// cutOffServers is the number of servers with a failed direct path from which this host counts
	// as cut off from all servers.
	cutOffServers = 2
	// probeEvery is how often a direct connection to a server is tried while tunnels are used.
	probeEvery = time.Second
	// fruitlessTime is how long no tunnel is opened to a server that no peer could reach either, and
	// how often such a server is tried if connections to it hang.
	fruitlessTime = time.Second
	// openTimeout bounds the opening of a connection on all paths together, hungWait the same if the
	// last connections hung on all paths.
	openTimeout = 600 * time.Millisecond
	hungWait    = 100 * time.Millisecond
	// memory is how long a direct path counts as failed after the last tunnel that won, or as working
	// on a host that counts as cut off after the last direct connection.
	memory = 10 * time.Second
	// peerPause is how long a peer that reaches no server, or did not answer, is not used.
	peerPause = time.Second
)

// Peer is a host that may open tunnels.
type Peer struct {
	// Address is its peer address.
	Address string
	// Spare is its spare capacity in thousandths.
	Spare uint32
}

// Plan is how to open one connection.
type Plan struct {
	// Direct is set if a direct connection is to be tried, Tunnel if a tunnel is to be tried unless
	// a direct connection has opened within TunnelAfter. If neither is set, the connection fails.
	Direct, Tunnel bool
	TunnelAfter    time.Duration
	// Wait is how long a request waits for the connection.
	Wait time.Duration
}

// Table holds what a host knows of its paths to servers.
type Table struct {
	servers map[string]*path
	// failing holds the servers whose direct path counts as failed, and those for which it no longer
	// does that CutOff has not looked at since.
	failing map[string]*path
	swept   time.Time
	// silenced is set while direct connections open and deliver nothing.
	silenced bool
	// pausedUntil holds until when a peer is not used, by its address.
	pausedUntil map[string]time.Time
	rng         *rand.Rand
}

// path is the direct path to one server.
type path struct {
	// failedAt is when a tunnel last won over the direct path, openedAt when a direct connection last
	// opened. At most one is set.
	failedAt, openedAt time.Time
	probedAt           time.Time
	// fruitlessUntil is until when no tunnel is opened. hung is set if connections hung on all paths.
	fruitlessUntil time.Time
	hung           bool
}

// New returns a Table in which all direct paths work.
func New(rng *rand.Rand) *Table {
	return &Table{servers: make(map[string]*path), failing: make(map[string]*path), pausedUntil: make(map[string]time.Time), rng: rng}
}

// Plan returns how to open a connection to a server.
func (t *Table) Plan(now time.Time, server string) Plan {
	t.sweep(now)
	cutOff, p := t.CutOff(now), t.path(server)
	switch {
	case t.silenced:
		return Plan{Tunnel: true, Wait: openTimeout}
	case p.hung && now.Sub(p.probedAt) < fruitlessTime:
		return Plan{}
	case p.hung:
		p.probedAt = now
		return Plan{Direct: true, Tunnel: true, Wait: hungWait}
	case now.Before(p.fruitlessUntil):
		return Plan{Direct: true, Wait: openTimeout}
	case !p.failed(now) && (!cutOff || now.Sub(p.openedAt) <= memory):
		return Plan{Direct: true, Tunnel: true, TunnelAfter: tunnelDelay, Wait: openTimeout}
	case now.Sub(p.probedAt) < probeEvery:
		return Plan{Tunnel: true, Wait: openTimeout}
	}
	p.probedAt = now
	return Plan{Direct: true, Tunnel: true, Wait: openTimeout}
}

// CutOff reports whether this host counts as cut off from all servers.
func (t *Table) CutOff(now time.Time) bool {
	for server, p := range t.failing {
		if !p.failed(now) {
			delete(t.failing, server)
		}
	}
	return t.silenced || len(t.failing) >= cutOffServers
}

// SetSilenced records whether direct connections open and deliver nothing. While they do, none is opened
// for requests: one that opens would win over each tunnel.
func (t *Table) SetSilenced(silenced bool) { t.silenced = silenced }

// Silenced reports what SetSilenced recorded last.
func (t *Table) Silenced() bool { return t.silenced }

// sweep forgets servers to which no connection was opened lately.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < memory {
		return
	}
	t.swept = now
	for server, p := range t.servers {
		if !p.failed(now) && now.Sub(p.openedAt) > memory && now.Sub(p.probedAt) >= probeEvery && now.Sub(p.fruitlessUntil) > memory {
			delete(t.servers, server)
		}
	}
}

func (p *path) failed(now time.Time) bool { return now.Sub(p.failedAt) <= memory }

func (t *Table) path(server string) *path {
	p := t.servers[server]
	if p == nil {
		p = &path{}
		t.servers[server] = p
	}
	return p
}

// DirectOpened records that a direct connection to a server opened. It reports whether the path
// counted as failed.
func (t *Table) DirectOpened(now time.Time, server string) (regained bool) {
	p := t.servers[server]
	if p == nil {
		return false // forgotten since the connection was planned
	}
	regained = p.failed(now)
	*p = path{openedAt: now}
	return regained
}

// TunnelWon records that a tunnel to a server opened. directTried is set if a direct connection was
// tried as well and did not open first. It reports whether the direct path counted as working.
func (t *Table) TunnelWon(now time.Time, server string, directTried bool) (lost bool) {
	p := t.path(server)
	failed := p.failed(now)
	p.hung = false
	if !directTried && !failed {
		return false
	}
	if directTried {
		p.probedAt = now
	}
	p.failedAt, p.openedAt = now, time.Time{}
	t.failing[server] = p
	return !failed
}

// NothingOpened records that neither a direct connection nor a tunnel to a server opened. hung is set
// if the direct connection hung, as it does if the server's machine is down and also if all hosts are
// cut off from it. Until a connection has opened, requests then do not wait for one, but for one request
// in fruitlessTime, which waits for hungWait.
func (t *Table) NothingOpened(now time.Time, server string, hung bool) {
	*t.path(server) = path{fruitlessUntil: now.Add(fruitlessTime), hung: hung}
}

// PausePeer records that a peer reaches no server or did not answer.
func (t *Table) PausePeer(now time.Time, address string) { t.pausedUntil[address] = now.Add(peerPause) }

// ChoosePeer picks the peer for a tunnel among those that were not tried yet; false if none may be
// used. Of two random peers it takes the one with more spare capacity, so that the hosts of a zone
// that is cut off spread their requests over all others.
func (t *Table) ChoosePeer(now time.Time, peers []Peer, tried []string) (Peer, bool) {
	usable := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if now.Before(t.pausedUntil[p.Address]) || slices.Contains(tried, p.Address) {
			continue
		}
		delete(t.pausedUntil, p.Address)
		usable = append(usable, p)
	}
	if len(usable) == 0 {
		return Peer{}, false
	}
	a, b := usable[t.rng.IntN(len(usable))], usable[t.rng.IntN(len(usable))]
	if b.Spare > a.Spare {
		return b, true
	}
	return a, true
}
