package serverpaths

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/peertunnel"
)

const (
	// maxTunnels bounds the tunnels of other hosts that are open at once. Each takes some 50 KiB.
	maxTunnels = 256
	// connectTimeout bounds the connection to a server for a tunnel. It is shorter than
	// tunnelTimeout, so that the host that asked learns why no connection opened.
	connectTimeout = 200 * time.Millisecond
	// drainPoll is how often Drain checks whether tunnels are open.
	drainPoll = 20 * time.Millisecond
)

// tunnels counts the tunnels of other hosts through this one.
type tunnels struct {
	mu      sync.Mutex
	open    int
	leaving bool
}

// enter reserves room for a tunnel.
func (t *tunnels) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving || t.open >= maxTunnels {
		return false
	}
	t.open++
	return true
}

func (t *tunnels) exit() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
}

func (t *tunnels) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// Serve handles a tunnel of another host.
func (p *Paths) Serve(s peertunnel.Stream) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	open := first.GetOpen()
	if !p.tunnels.enter() {
		return peertunnel.Refuse(s, pb.TunnelRefusal_TUNNEL_REFUSAL_BUSY, "the host has no room for a tunnel or is leaving")
	}
	defer p.tunnels.exit()
	if !p.cfg.Known(open.GetAddress()) {
		return peertunnel.Refuse(s, pb.TunnelRefusal_TUNNEL_REFUSAL_UNKNOWN_SERVER, "no server is known at "+open.GetAddress())
	}
	return p.serveTunnel(s, open)
}

// serveTunnel connects to the server directly and copies bytes until either side ends.
func (p *Paths) serveTunnel(s peertunnel.Stream, open *pb.TunnelOpen) error {
	if !p.hasDirectPath(open.GetAddress()) {
		return peertunnel.Refuse(s, pb.TunnelRefusal_TUNNEL_REFUSAL_NO_PATH, "the host itself uses tunnels to reach the server")
	}
	ctx, cancel := context.WithTimeout(s.Context(), min(connectTimeout, time.Duration(open.GetTimeoutMs())*time.Millisecond))
	defer cancel()
	conn, err := p.cfg.Direct(ctx, "tcp", open.GetAddress())
	if err != nil {
		return peertunnel.Refuse(s, peertunnel.RefusalOf(err), err.Error())
	}
	p.metrics.served.Add(1)
	return peertunnel.Serve(s, conn)
}

// hasDirectPath reports whether a direct connection to a server is likely to open.
func (p *Paths) hasDirectPath(address string) bool { return p.plan(address).Direct }

// Drain refuses further tunnels of other hosts and waits until those that are open have ended, or ctx
// ends. A host that exits earlier truncates the answers of other hosts' requests.
func (p *Paths) Drain(ctx context.Context) {
	p.tunnels.mu.Lock()
	p.tunnels.leaving = true
	p.tunnels.mu.Unlock()
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for p.tunnels.count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
