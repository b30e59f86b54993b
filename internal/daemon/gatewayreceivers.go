package daemon

import (
	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/rendezvous"
)

// receivers are the other hosts that may receive the announcements of backend servers: live ones that serve
// callers and are not leaving.
type receivers struct {
	// zones holds the names by availability zone, all those of all zones.
	zones map[string]rendezvous.Members
	all   rendezvous.Members
	// addresses are their peer addresses by name.
	addresses map[string]string
}

func newReceivers(peers []members.PeerInfo) *receivers {
	r := &receivers{zones: make(map[string]rendezvous.Members), addresses: make(map[string]string)}
	names := make(map[string][]string)
	var all []string
	for _, m := range peers {
		if m.CallerAddress == "" || m.Health != pb.HostHealth_HOST_HEALTH_ALIVE || m.Leaving {
			continue
		}
		names[m.Zone] = append(names[m.Zone], m.Host)
		all = append(all, m.Host)
		r.addresses[m.Host] = m.PeerAddress
	}
	for zone, hosts := range names {
		r.zones[zone] = rendezvous.New(hosts)
	}
	r.all = rendezvous.New(all)
	return r
}

// first returns the peer address of the receiver of a server, one in its zone if there is any.
func (r *receivers) first(a instance.Announcement) (address string, ok bool) {
	hosts := r.all
	if r.inZone(a.Zone) {
		hosts = r.zones[a.Zone]
	}
	names := hosts.First(rendezvous.Hash(a.ID), 1)
	if len(names) == 0 {
		return "", false
	}
	return r.addresses[names[0]], true
}

// inZone reports whether there is a receiver in an availability zone.
func (r *receivers) inZone(zone string) bool {
	hosts, ok := r.zones[zone]
	return ok && hosts.Len() > 0
}
