package daemon

import (
	"context"
	"slices"

	routesctl "github.com/bluebellsail/bluebellsail/internal/controller/routes"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/surface"
)

// controlAddresses are the peer addresses of the hosts that run a replica and are not
// known to be dead.
func (g *gateway) controlAddresses() []string {
	var out []string
	for _, m := range g.members.Peers() {
		if m.Control && m.PeerAddress != "" && m.Health != pb.HostHealth_HOST_HEALTH_DEAD {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

// sources are the hosts that a routing table can be fetched from.
func (g *gateway) sources() []routesctl.Source {
	var out []routesctl.Source
	for _, m := range g.members.Peers() {
		if m.PeerAddress != "" && m.Health == pb.HostHealth_HOST_HEALTH_ALIVE {
			out = append(out, routesctl.Source{Address: m.PeerAddress, Revision: m.ConfigRevision, Control: m.Control})
		}
	}
	return out
}

// fetchRoutes asks a host for its routing table.
func (g *gateway) fetchRoutes(ctx context.Context, address string, req *pb.FetchRoutesRequest) (*pb.FetchRoutesReply, error) {
	return g.d.pool.Client(address).FetchRoutes(ctx, req)
}

// gateways counts the hosts that serve callers, this one included, dead ones too: they
// may serve beyond a partition.
func (g *gateway) gateways() int {
	n := 1
	for _, m := range g.members.Peers() {
		if m.CallerAddress != "" {
			n++
		}
	}
	return n
}

// Addresses implements surface.Directory.
func (g *gateway) Addresses(zone string) surface.Addresses {
	ttl := g.d.cfg.Routed.AddressTTL.Std()
	out := surface.Addresses{TTLMs: ttl.Milliseconds()}
	for _, a := range g.members.Addresses(zone, ttl) {
		if a.Address != "" {
			out.List = append(out.List, a.Address)
		}
	}
	return out
}

// gatewayPeers implements grants.Asker.
type gatewayPeers struct{ g *gateway }

// AskTokens asks a host for tokens.
func (p gatewayPeers) AskTokens(ctx context.Context, host string, req *pb.AskTokensRequest) (*pb.AskTokensReply, error) {
	all := p.g.members.Peers()
	for _, m := range all {
		if m.Host == host && m.PeerAddress != "" {
			return p.g.d.pool.Client(m.PeerAddress).AskTokens(ctx, req)
		}
	}
	return nil, errkind.New(errkind.NotFound, "no address of host %s", host)
}

// Peers are the hosts that serve callers and seem reachable.
func (p gatewayPeers) Peers() []string {
	var out []string
	for _, m := range p.g.members.Peers() {
		if m.CallerAddress != "" && m.Health == pb.HostHealth_HOST_HEALTH_ALIVE {
			out = append(out, m.Host)
		}
	}
	slices.Sort(out)
	return out
}

// noCopies implements grants.TransferRecorder for fleets that never free a dead host's
// grants: what it held counts as spent, so no copy of a transfer has to tell otherwise.
type noCopies struct{}

// CopyTransfer has nothing to copy.
func (noCopies) CopyTransfer(context.Context, *pb.Transfer) error { return nil }

// AbandonTransfer has no copy to take back.
func (noCopies) AbandonTransfer(context.Context, *pb.Transfer) error { return nil }

// TransferSettled has no copy to let go.
func (noCopies) TransferSettled(*pb.Transfer) {}
