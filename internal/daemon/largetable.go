package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/surface"
)

const (
	// maxTableTransfer is the longest time for which the routing table may occupy this host's link while it is sent to an
	// operator, if another host is faster. Operators' clients wait one second, and the link carries other traffic.
	maxTableTransfer = 250 * time.Millisecond
	// widerLink is how many times as wide the link of a host must be for an operator to be redirected there.
	widerLink = 2
)

// redirectLargeRead returns a redirect to a control host with a wider link if this host can't send the routing table to an
// operator in time, and nil otherwise.
func (g *gateway) redirectLargeRead() error {
	if !g.servesCallers() {
		return nil
	}
	table, err := g.routes.Current()
	if err != nil {
		return nil // the read itself tells why there is no table
	}
	link := capacityOf(g.d.cfg.Limits).LinkKbps
	if transferTime(table.Size(), link) <= maxTableTransfer {
		return nil
	}
	wider := widerControlHosts(g.members.Peers(), link)
	if len(wider) == 0 {
		return nil
	}
	address, ok := g.registryOf(wider[rand.IntN(len(wider))])
	if !ok {
		return nil
	}
	return &surface.Redirect{Address: address, Refusal: errkind.New(errkind.HostNotReady, "the routing table is too large for this host's link")}
}

// transferTime returns how long a link takes to carry a number of bytes; 0 if its bandwidth is not known.
func transferTime(bytes int, linkKbps uint32) time.Duration {
	if linkKbps == 0 {
		return 0
	}
	return time.Duration(8*int64(bytes)) * time.Millisecond / time.Duration(linkKbps)
}

// widerControlHosts returns the peer addresses of the control hosts that are not suspected and whose links are much wider
// than the given one, or not limited.
func widerControlHosts(peers []members.PeerInfo, linkKbps uint32) []string {
	return peerAddresses(peers, func(m members.PeerInfo) bool {
		wider := m.Capacity.LinkKbps == 0 || uint64(m.Capacity.LinkKbps) >= widerLink*uint64(linkKbps)
		return m.Control && m.Health == pb.HostHealth_HOST_HEALTH_ALIVE && !m.Leaving && wider
	})
}
