package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"

	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	routesctl "github.com/bluebellsail/bluebellsail/internal/controller/routes"
	"github.com/bluebellsail/bluebellsail/internal/controller/versions"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
	"github.com/bluebellsail/bluebellsail/internal/rendezvous"
	"github.com/bluebellsail/bluebellsail/internal/retry"
	"github.com/bluebellsail/bluebellsail/internal/serverpath"
	"github.com/bluebellsail/bluebellsail/internal/surface"
)

// controlHosts has the peer addresses of the hosts that run a replica: of those that are not known to be dead, and of
// those among them that are not suspected either.
type controlHosts struct{ known, unsuspected []string }

func newControlHosts(peers []members.PeerInfo) controlHosts {
	return controlHosts{
		// Without spare capacity, as callers append to it.
		known: slices.Clip(peerAddresses(peers, func(m members.PeerInfo) bool { return m.Control })),
		unsuspected: peerAddresses(peers, func(m members.PeerInfo) bool {
			return m.Control && m.Health == pb.HostHealth_HOST_HEALTH_ALIVE
		}),
	}
}

// choose returns a host that is not suspected, or else any that is known; the leader if it is among them. It returns an
// empty string if none is known.
func (c controlHosts) choose(leader string) string {
	from := c.unsuspected
	if len(from) == 0 {
		from = c.known
	}
	if slices.Contains(from, leader) {
		return leader
	}
	if len(from) == 0 {
		return ""
	}
	return from[rand.IntN(len(from))]
}

func (g *gateway) controlHosts() controlHosts {
	return g.view.control.get(g.members.Peers(), newControlHosts)
}

// controlAddresses returns the peer addresses of the hosts that run a replica and are not
// known to be dead.
func (g *gateway) controlAddresses() []string { return g.controlHosts().known }

// controlGroup returns all control hosts that this host knows; ok is false until it is registered, and with that has heard
// of all.
func (g *gateway) controlGroup() (group versions.ControlGroup, ok bool) {
	group = g.view.controlGroup.get(g.members.Peers(), newControlGroup)
	group.Self = g.d.cfg.Has(procconfig.RoleControl)
	return group, g.grants.Load() != nil && (group.Self || len(group.Others) > 0)
}

func newControlGroup(peers []members.PeerInfo) (group versions.ControlGroup) {
	for _, m := range peers {
		if m.Control {
			group.Others = append(group.Others, m.PeerAddress)
		}
	}
	return group
}

// rankedHosts ranks hosts by rendezvous hashing.
type rankedHosts struct {
	members rendezvous.Members
	hosts   map[string]owners.Host
}

func newRankedControlHosts(peers []members.PeerInfo) rankedHosts {
	out := rankedHosts{hosts: make(map[string]owners.Host)}
	var names []string
	for _, m := range peers {
		if m.Control && m.PeerAddress != "" && m.Health != pb.HostHealth_HOST_HEALTH_DEAD {
			names = append(names, m.Host)
			out.hosts[m.Host] = owners.Host{Name: m.Host, Incarnation: m.Incarnation, Address: m.PeerAddress}
		}
	}
	out.members = rendezvous.New(names)
	return out
}

// rankedControlHosts returns the first n in rank for a key of the control hosts that are not known to be dead.
func (g *gateway) rankedControlHosts(key string, n int) []owners.Host {
	ranked := g.view.rankedControl.get(g.members.Peers(), newRankedControlHosts)
	var out []owners.Host
	for _, name := range ranked.members.First(rendezvous.Hash(key), n) {
		out = append(out, ranked.hosts[name])
	}
	return out
}

// controlHost returns the peer address of a host that runs a replica, of the leader if possible and of one that is
// suspected only if all are; empty if none is known that may be alive.
func (d *Daemon) controlHost() string {
	if d.gateway == nil {
		return ""
	}
	return d.gateway.controlHosts().choose(d.client.Leader())
}

// livePeers returns the peer addresses of all hosts that are not known to be dead.
func (g *gateway) livePeers() []string { return peerAddresses(g.members.Peers(), anyPeer) }

func anyPeer(members.PeerInfo) bool { return true }

// peerAddresses returns the peer addresses of the hosts that are not known to be dead and for
// which holds returns true.
func peerAddresses(peers []members.PeerInfo, holds func(members.PeerInfo) bool) []string {
	var out []string
	for _, m := range peers {
		if m.PeerAddress != "" && m.Health != pb.HostHealth_HOST_HEALTH_DEAD && holds(m) {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

// sources returns the hosts from which a routing table can be fetched.
func (g *gateway) sources() []routesctl.Source {
	return g.view.others.get(g.members.Peers(), newKnownSources).withSeeds(*g.seeds.Load())
}

// knownSources are the hosts in a view of the fleet from which a routing table can be fetched, and the peer addresses
// of all hosts in it.
type knownSources struct {
	list      []routesctl.Source
	addresses map[string]bool
}

// newKnownSources returns the hosts from which a routing table can be fetched: the live ones, and all control
// hosts that are not known to be dead.
//
// A control host counts as suspected until a heartbeat reports it. After a failure of a whole large
// fleet that can take seconds, in which a host would find none that confirms its table.
func newKnownSources(peers []members.PeerInfo) knownSources {
	known := knownSources{addresses: make(map[string]bool, len(peers))}
	for _, m := range peers {
		known.addresses[m.PeerAddress] = true
		alive := m.Health == pb.HostHealth_HOST_HEALTH_ALIVE
		mayConfirm := m.Control && m.Health != pb.HostHealth_HOST_HEALTH_DEAD
		if m.PeerAddress != "" && (alive || mayConfirm) {
			known.list = append(known.list, routesctl.Source{Address: m.PeerAddress, Revision: m.ConfigRevision, Control: m.Control})
		}
	}
	known.list = slices.Clip(known.list)
	return known
}

// withSeeds returns the sources and those seeds that are not in the view: a host that has just started knows few
// others.
func (k knownSources) withSeeds(seeds []string) []routesctl.Source {
	out := k.list
	for _, seed := range seeds {
		if !k.addresses[seed] {
			out = append(out, routesctl.Source{Address: seed, Control: true})
		}
	}
	return out
}

// sourceAddresses returns the peer addresses of sources, without this host's own.
func (g *gateway) sourceAddresses() []string {
	var out []string
	for _, s := range g.sources() {
		if s.Address != g.d.cfg.PeerAddress() {
			out = append(out, s.Address)
		}
	}
	return out
}

// syncAddresses returns the peer addresses of hosts to compare the suspects with now and then: in a large fleet only
// those to which this host sends heartbeats. It would open a connection for each comparison with any other.
func (g *gateway) syncAddresses() []string {
	if g.suspects.Synced() && g.largeFleet() {
		if neighbors := g.members.NeighborAddresses(); len(neighbors) > 0 {
			return neighbors
		}
	}
	return g.sourceAddresses()
}

// fetchRoutes asks a host for its routing table.
func (g *gateway) fetchRoutes(ctx context.Context, address string, req *pb.FetchRoutesRequest) (*pb.FetchRoutesReply, error) {
	return g.d.pool.Client(address).FetchRoutes(ctx, req)
}

// gateways counts the hosts that serve callers, including this one and those that seem dead:
// they may be serving on the other side of a partition.
func (g *gateway) gateways() int {
	return 1 + g.view.serving.get(g.members.Peers(), countGateways)
}

// retryingFleet returns the hosts that share the fleet's allowance for retries; none while this host is not part of the
// fleet, or may not know of hosts that have joined because the control group doesn't answer it.
func (g *gateway) retryingFleet() retry.Fleet {
	joined := g.joined.Load()
	if joined == nil || !g.d.client.LastCallAnswered() {
		return retry.Fleet{}
	}
	return retry.Fleet{Hosts: g.gateways(), Joined: *joined}
}

// tunnelPeers returns the hosts that may open tunnels to backend servers: those that serve callers and
// are neither suspected nor leaving.
func (g *gateway) tunnelPeers() []serverpath.Peer {
	var out []serverpath.Peer
	for _, m := range g.members.Peers() {
		if m.CallerAddress != "" && m.PeerAddress != "" && m.Health == pb.HostHealth_HOST_HEALTH_ALIVE && !m.Leaving {
			out = append(out, serverpath.Peer{Address: m.PeerAddress, Spare: m.SparePermille})
		}
	}
	return out
}

// knowsServerAt reports whether a backend server has announced the address.
func (g *gateway) knowsServerAt(address string) bool { return g.balancer.ServerAt(address) }

// healthPathAt returns the health path of the server at an address.
func (g *gateway) healthPathAt(address string) (path string, ok bool) {
	name, known := g.balancer.ServiceAt(address)
	table, err := g.routes.Current()
	if !known || err != nil {
		return "", false
	}
	service, ok := table.Service(name)
	if !ok {
		return "", false
	}
	return service.HealthPath, true
}

// addressesPerCaller is how many hosts a caller gets: enough to continue when two of them are
// lost before it asks again, and few enough that the fleet controls how callers spread over
// the hosts.
const addressesPerCaller = 3

// Addresses implements surface.Directory.
func (g *gateway) Addresses(l surface.Lookup) surface.Addresses {
	ttl := g.d.cfg.Routed.AddressTTL.Std()
	out := surface.Addresses{TTLMs: ttl.Milliseconds()}
	for _, a := range g.members.Share(l.Zone, l.Caller, addressesPerCaller, ttl, g.preferredZones(l)...) {
		if a.Address != "" {
			out.List = append(out.List, a.Address)
		}
	}
	return out
}

// preferredZones returns conditions for the zones of the hosts to name to a caller, the best first; none
// if any host will do. Requests of routes that are restricted to some regions go to hosts in the caller's
// region, or else in a region that all of these routes allow, or else in one that one of them allows.
func (g *gateway) preferredZones(l surface.Lookup) []func(zone string) bool {
	table, err := g.routes.Current()
	if err != nil {
		return nil
	}
	restricted := table.RegionsOf(l.Host)
	if len(restricted) == 0 {
		return nil
	}
	regions := g.d.cfg.Regions
	own := l.Region
	if own == "" {
		own = regions[l.Zone]
	}
	allows := func(zone string) func([]string) bool {
		return func(allowed []string) bool { return slices.Contains(allowed, regions[zone]) }
	}
	return []func(string) bool{
		func(zone string) bool { return own != "" && regions[zone] == own },
		func(zone string) bool {
			return !slices.ContainsFunc(restricted, func(allowed []string) bool { return !allows(zone)(allowed) })
		},
		func(zone string) bool { return slices.ContainsFunc(restricted, allows(zone)) },
	}
}

// announceTo returns the registry address to which a backend server should send its next
// announcements, and whether that is this host's: it is if this host serves callers in the server's zone and is not
// leaving. Else it is that of a live host that serves callers, preferably in the server's zone, and the same one as
// long as that host is alive; empty if none is known.
//
// Without it half of the servers would announce themselves to hosts that only run a replica. In
// a partition between these and the hosts that serve callers, the latter would receive no
// announcements of those servers and consider them lost. And a server that announced itself to another
// host each time would change its receiver each time, which all hosts must hear of.
func (g *gateway) announceTo(a instance.Announcement) (next string, own bool) {
	serves := g.servesCallers() && !g.leaving.Load()
	if serves && a.Zone == g.d.cfg.Zone {
		return g.registryAddress(g.d.cfg.PeerAddress()), true
	}
	receivers := g.view.receivers.get(g.members.Peers(), newReceivers)
	address, known := receivers.first(a)
	if serves && (!known || !receivers.inZone(a.Zone)) {
		return g.registryAddress(g.d.cfg.PeerAddress()), true
	}
	return g.registryAddress(address), false
}

// largeFleet reports whether the fleet is too large for a full mesh. Before its registration a host that serves no
// callers takes it for large.
func (g *gateway) largeFleet() bool {
	if !g.servesCallers() && g.holder().GetIncarnation() == 0 {
		return true
	}
	return len(g.members.Peers()) > gatewayNeighbors
}

// registryAddress returns the registry address of the host with the given peer address: all
// hosts of a fleet have the registry at the same port.
func (g *gateway) registryAddress(peer string) string {
	ip, _, errIP := net.SplitHostPort(peer)
	_, port, errPort := net.SplitHostPort(g.d.cfg.Routed.Registry)
	if errIP != nil || errPort != nil {
		return "" // no address known; the server stays with this host
	}
	return net.JoinHostPort(ip, port)
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

// Peers returns the hosts that serve callers and are neither suspected nor dead.
func (p gatewayPeers) Peers() []string { return p.g.view.alive.get(p.g.members.Peers(), aliveGateways) }

// noTransferRecorder implements grants.TransferRecorder for fleets that never free a dead host's
// grants. What such a host held counts as spent, so copies of transfers are not needed.
type noTransferRecorder struct{}

// CopyTransfer does nothing.
func (noTransferRecorder) CopyTransfer(context.Context, *pb.Transfer) error { return nil }

// AbandonTransfer does nothing.
func (noTransferRecorder) AbandonTransfer(context.Context, *pb.Transfer) error { return nil }

// TransferSettled does nothing.
func (noTransferRecorder) TransferSettled(*pb.Transfer) {}
