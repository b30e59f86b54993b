// Package serverpaths opens the connections to backend servers: directly, or through a tunnel that
// another host opens when this host can't reach the server. The decisions are made by package
// serverpath. It also serves the tunnels of other hosts.
//
// Everything above a connection stays at the host that took the request: budget, rate limits,
// cooldowns, retries and the bill. A tunnel is never opened through two hosts, since a peer connects
// to the server directly or not at all.
package serverpaths

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/peertunnel"
	"github.com/bluebellsail/bluebellsail/internal/serverpath"
)

const (
	// tunnelTimeout bounds the opening of one tunnel. The peer connects to the server in
	// milliseconds; a host short of processor time pauses for up to 80 ms.
	tunnelTimeout = 250 * time.Millisecond
	// maxPeers is how many peers are tried for one connection.
	maxPeers = 3
)

// errHung is the error of a connection that is not tried, since the last ones hung on all paths.
var errHung error = hungError{}

type hungError struct{}

// Error implements error.
func (hungError) Error() string {
	return "connections to the server hung on all paths; none has opened since"
}

// Timeout implements net.Error.
func (hungError) Timeout() bool { return true }

// Temporary implements net.Error.
func (hungError) Temporary() bool { return true }

// errNoPeer is the error of a tunnel when no peer may be used.
var errNoPeer = errors.New("no other host has a path to servers")

// Config configures Paths.
type Config struct {
	// Direct opens a direct connection.
	Direct engineclient.DialFunc
	// Peers returns the hosts that may open tunnels.
	Peers  func() []serverpath.Peer
	Client func(address string) pb.PeerClient
	// Known reports whether a backend server is known at an address. Tunnels are opened to no other.
	Known func(address string) bool
	// HealthPath returns the path of the health check of the server at an address; ok is false if that is
	// not known.
	HealthPath func(address string) (path string, ok bool)
	// OnCutOff is called when this host begins to count as cut off from all servers; nil: no call.
	OnCutOff func()
	Seed     uint64
	Log      zerolog.Logger
}

// Paths opens connections to backend servers. It is safe for concurrent use.
type Paths struct {
	cfg Config

	mu    sync.Mutex
	table *serverpath.Table
	// cutOff is whether this host counted as cut off when it was last checked.
	cutOff bool
	// wanted is the server to which a connection was last opened.
	wanted string

	silence silence
	tunnels tunnels
	metrics metrics
}

// New returns Paths on which all direct paths count as working.
func New(cfg Config) *Paths {
	p := &Paths{cfg: cfg, table: serverpath.New(rand.New(rand.NewPCG(cfg.Seed, 1))), silence: newSilence()}
	p.metrics.init(&p.tunnels)
	return p
}

// result is the outcome of opening a connection on one path.
type result struct {
	conn   net.Conn
	err    error
	tunnel bool
}

// DialContext opens a connection to a server.
func (p *Paths) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	plan := p.plan(address)
	if !plan.Direct && !plan.Tunnel {
		return nil, errHung
	}
	r := &race{p: p, network: network, address: address, results: make(chan result, 2)}
	return r.run(ctx, plan)
}

func (p *Paths) plan(address string) serverpath.Plan {
	defer p.checkCutOff() // failures that are too old no longer count
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = address
	return p.table.Plan(time.Now(), address)
}

// race opens one connection on up to two paths; the first that opens is used.
type race struct {
	p                *Paths
	network, address string
	results          chan result
	pending          int
	directTried      bool
	// The errors of the paths; nil while a path has not failed.
	directErr, tunnelErr error
}

func (r *race) run(ctx context.Context, plan serverpath.Plan) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, plan.Wait)
	defer cancel()
	if r.directTried = plan.Direct; plan.Direct {
		r.start(func() result { return r.direct(ctx) })
	}
	tunnelDue := time.NewTimer(plan.TunnelAfter)
	defer tunnelDue.Stop()
	startTunnel := func() {
		if plan.Tunnel {
			plan.Tunnel = false
			r.start(func() result { return r.tunnel(ctx) })
		}
	}
	for {
		res, ok := r.next(ctx, tunnelDue.C)
		switch {
		case !ok && ctx.Err() != nil:
			r.discardRest()
			return nil, ctx.Err()
		case !ok:
			startTunnel()
		case res.err == nil:
			r.won(res)
			return res.conn, nil
		case res.tunnel:
			r.tunnelErr = res.err
		default:
			r.directErr = res.err
			startTunnel()
		}
		if r.pending == 0 && !plan.Tunnel {
			return nil, r.lost()
		}
	}
}

// next waits for a result; false if due fires or ctx ends before there is one.
func (r *race) next(ctx context.Context, due <-chan time.Time) (result, bool) {
	select {
	case res := <-r.results:
		r.pending--
		return res, true
	case <-due:
	case <-ctx.Done():
	}
	// After a pause of the process both may be ready.
	select {
	case res := <-r.results:
		r.pending--
		return res, true
	default:
		return result{}, false
	}
}

// start opens a connection on one path in the background.
func (r *race) start(open func() result) {
	r.pending++
	go func() {
		res := result{err: errors.New("the opening of the connection panicked")}
		defer func() { r.results <- res }()
		defer panics.Log(r.p.cfg.Log, "opening a connection to a server")
		res = open()
	}()
}

// direct opens a direct connection. It goes on for as long as it may take after a tunnel has won, to
// find out whether the path works.
func (r *race) direct(ctx context.Context) result {
	conn, err := r.p.cfg.Direct(context.WithoutCancel(ctx), r.network, r.address)
	if err != nil {
		return result{err: err}
	}
	r.p.directOpened(r.address)
	return result{conn: r.p.observe(conn, r.address)}
}

// tunnel opens a tunnel through the first peer that has a path to the server.
func (r *race) tunnel(ctx context.Context) result {
	var tried []string
	err := errNoPeer
	for range maxPeers {
		peer, ok := r.p.choosePeer(tried)
		if !ok {
			break
		}
		tried = append(tried, peer.Address)
		var conn *peertunnel.Conn
		if conn, err = r.openTunnel(ctx, peer); err == nil {
			r.p.pausePeers(tried[:len(tried)-1])
			return result{conn: conn, tunnel: true}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return result{err: err, tunnel: true}
}

func (r *race) openTunnel(parent context.Context, peer serverpath.Peer) (*peertunnel.Conn, error) {
	ctx, cancel := context.WithTimeout(parent, tunnelTimeout)
	defer cancel()
	conn, err := peertunnel.Open(ctx, r.p.cfg.Client(peer.Address), peer.Address, r.address)
	if err != nil && parent.Err() == nil {
		r.p.tunnelFailed(peer, r.address, err)
	}
	return conn, err
}

// won records which path has won.
func (r *race) won(res result) {
	if !res.tunnel {
		r.p.metrics.direct.Add(1)
	} else {
		r.p.metrics.tunnel.Add(1)
		r.p.tunnelWon(r.address, res.conn.(*peertunnel.Conn).Peer(), r.directTried, r.directErr)
	}
	r.discardRest()
}

// discardRest closes the connections of other paths that open later.
func (r *race) discardRest() {
	for range r.pending {
		go func() {
			if late := <-r.results; late.conn != nil {
				_ = late.conn.Close()
			}
		}()
	}
}

// lost returns the error of a connection that opened on no path: that of the direct path, if it was
// tried, since its causes are better known.
func (r *race) lost() error {
	r.p.metrics.failed.Add(1)
	if r.directErr == nil {
		return r.tunnelErr
	}
	r.p.nothingOpened(r.address, r.directErr)
	return r.directErr
}
