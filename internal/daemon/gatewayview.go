package daemon

import (
	"sync/atomic"

	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/controller/news"
	"github.com/bluebellsail/bluebellsail/internal/controller/versions"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// viewed is a value that is derived from the view of the fleet, and derived anew only when the view has changed:
// many times a second, to derive one from a thousand hosts would take most of what an idle host may use. It is
// safe for concurrent use. The value must not be modified.
type viewed[T any] struct {
	last atomic.Pointer[viewedValue[T]]
}

type viewedValue[T any] struct {
	peers []members.PeerInfo
	value T
}

// get returns the value for a view of the fleet; derive derives it.
func (v *viewed[T]) get(peers []members.PeerInfo, derive func([]members.PeerInfo) T) T {
	if last := v.last.Load(); last != nil && samePeers(last.peers, peers) {
		return last.value
	}
	value := derive(peers)
	v.last.Store(&viewedValue[T]{peers, value})
	return value
}

// samePeers reports whether two views of the fleet are the same slice.
func samePeers(a, b []members.PeerInfo) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// derivedView is what a gateway derives from the view of the fleet.
type derivedView struct {
	// others are the hosts from which a routing table can be fetched, but for seeds that are not in the view.
	others  viewed[knownSources]
	control viewed[controlHosts]
	// controlGroup has the control hosts, dead ones included.
	controlGroup viewed[versions.ControlGroup]
	// rankedControl are the control hosts that are not known to be dead.
	rankedControl viewed[rankedHosts]
	// alive has the names of the hosts that serve callers and are neither suspected nor dead, in order.
	alive viewed[[]string]
	// serving is the number of hosts that serve callers, dead ones included.
	serving   viewed[int]
	receivers viewed[*receivers]
	// holders are the hosts that can hold a change.
	holders viewed[news.Holders]
}

func aliveGateways(peers []members.PeerInfo) []string {
	var out []string
	for _, m := range peers {
		if m.CallerAddress != "" && m.Health == pb.HostHealth_HOST_HEALTH_ALIVE {
			out = append(out, m.Host)
		}
	}
	return out
}

func countGateways(peers []members.PeerInfo) int {
	n := 0
	for _, m := range peers {
		if m.CallerAddress != "" {
			n++
		}
	}
	return n
}
