package serverpaths

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/peertunnel"
	"github.com/bluebellsail/bluebellsail/internal/serverpath"
)

func (p *Paths) choosePeer(tried []string) (serverpath.Peer, bool) {
	peers := p.cfg.Peers()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.ChoosePeer(time.Now(), peers, tried)
}

// directOpened records that the direct path to a server works.
func (p *Paths) directOpened(address string) {
	p.mu.Lock()
	regained := p.table.DirectOpened(time.Now(), address)
	p.mu.Unlock()
	if regained {
		p.cfg.Log.Info().Str("event", "server-path-regained").Str("address", address).Send()
		p.checkCutOff()
	}
}

// tunnelWon records that a tunnel reached a server first. directErr is the error of the direct
// connection; nil if it had not opened yet or was not tried.
func (p *Paths) tunnelWon(address, peer string, directTried bool, directErr error) {
	p.mu.Lock()
	lost := p.table.TunnelWon(time.Now(), address, directTried)
	p.mu.Unlock()
	if lost {
		p.cfg.Log.Warn().Str("event", "server-path-lost").Str("address", address).Str("via", peer).AnErr("error", directErr).Send()
		p.checkCutOff()
	}
}

// checkCutOff reports when this host begins or ceases to count as cut off from all servers.
func (p *Paths) checkCutOff() {
	p.mu.Lock()
	cutOff := p.table.CutOff(time.Now())
	changed := cutOff != p.cutOff
	p.cutOff = cutOff
	p.mu.Unlock()
	switch {
	case !changed:
	case cutOff:
		p.cfg.Log.Warn().Str("event", "servers-cut-off").Send()
		if p.cfg.OnCutOff != nil {
			p.cfg.OnCutOff()
		}
	default:
		p.cfg.Log.Info().Str("event", "servers-reachable").Send()
	}
}

// nothingOpened records that no path to a server worked. directErr is the error of the direct one.
func (p *Paths) nothingOpened(address string, directErr error) {
	var slow net.Error
	hung := errors.As(directErr, &slow) && slow.Timeout()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.NothingOpened(time.Now(), address, hung)
}

// tunnelFailed pauses the use of a peer if the failure is the peer's and not the server's.
func (p *Paths) tunnelFailed(peer serverpath.Peer, address string, err error) {
	if aboutServer(err) {
		return
	}
	p.pausePeers([]string{peer.Address})
	p.cfg.Log.Info().Str("event", "tunnel-failed").Str("peer", peer.Address).Str("address", address).Err(err).Send()
}

// aboutServer reports whether the failure of a tunnel may be that of the server alone.
func aboutServer(err error) bool {
	var refusal *peertunnel.RefusalError
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Refusal {
	case pb.TunnelRefusal_TUNNEL_REFUSAL_REFUSED, pb.TunnelRefusal_TUNNEL_REFUSAL_UNREACHABLE, pb.TunnelRefusal_TUNNEL_REFUSAL_UNKNOWN_SERVER:
		return true
	}
	return false
}

// pausePeers pauses the use of peers that have no path to servers.
func (p *Paths) pausePeers(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		p.table.PausePeer(time.Now(), address)
	}
}
