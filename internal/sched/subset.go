package sched

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellsail/bluebellsail/internal/backend"
)

// member is a server of this host's subset of a target.
type member struct {
	server *backend.Server
	// cover is the number of hosts that use the server, position this host's position among them.
	cover, position int
	// hash is the hash of the server's address.
	hash uint64
}

// rank returns the rendezvous hash of a host for a server.
func rank(serverHash, hostHash uint64) uint64 {
	x := serverHash ^ (hostHash * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}

// coverage returns the number of hosts that use each server of a target, such that a host uses
// about subset servers. Each server is covered by exactly that many hosts.
func coverage(hosts, servers, subset int) int {
	if servers <= subset {
		return hosts
	}
	return min(hosts, (hosts*subset+servers-1)/servers)
}

// subsetOf returns the servers that host uses: those for which it is among the first cover hosts
// by rendezvous hash. The servers rank the hosts and not the reverse, so that each server has the
// same number of hosts, and a change of one host or server moves only its own share.
func subsetOf(host string, hosts []string, servers []*backend.Server, subset int) []member {
	cover := coverage(len(hosts), len(servers), subset)
	hashes := make([]uint64, len(hosts))
	for i, h := range hosts {
		hashes[i] = xxhash.Sum64String(h)
	}
	self := xxhash.Sum64String(host)
	out := make([]member, 0, min(len(servers), 2*subset))
	for _, s := range servers {
		hash := hashOf(s.Address())
		position := positionOf(self, hashes, hash)
		if position >= cover {
			continue
		}
		out = append(out, member{server: s, cover: cover, position: position, hash: hash})
	}
	return out
}

// positionOf returns the number of hosts that rank before self for a server.
func positionOf(self uint64, hosts []uint64, server uint64) int {
	own := rank(server, self)
	position := 0
	for _, h := range hosts {
		if h != self && rank(server, h) > own {
			position++
		}
	}
	return position
}

// share returns this host's own share of the server's room.
func (m *member) share(room int) int { return shareOf(room, m.cover, m.position) }

// shareOf splits slots among cover hosts; the remainder goes to the first positions.
func shareOf(slots, cover, position int) int {
	share := slots / cover
	if position < slots%cover {
		share++
	}
	return share
}

// SetHosts sets the hosts that share the servers. This host is always included.
func (c *Core) SetHosts(hosts []string) {
	hosts = slices.Clone(hosts)
	if !slices.Contains(hosts, c.cfg.Host) {
		hosts = append(hosts, c.cfg.Host)
	}
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	if slices.Equal(hosts, c.hosts) {
		return
	}
	c.hosts = hosts
	for _, p := range c.pools {
		p.stale = true
	}
}
