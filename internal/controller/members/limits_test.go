package members

import (
	"sync"
	"testing"
	"testing/synctest"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// fakeLimits has limits of servers by their addresses. Its registry must not learn of a limited server first.
type fakeLimits struct {
	registry *fakeRegistry

	mu        sync.Mutex
	limits    map[string]*pb.ServerLimit
	knewFirst bool
}

func (l *fakeLimits) set(address string, limit *pb.ServerLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits[address] = limit
}

func (l *fakeLimits) Limits() []*pb.ServerLimit { return nil }

func (l *fakeLimits) LimitsOf(servers []*pb.ServerState) (out []*pb.ServerLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range servers {
		if limit := l.limits[s.GetAddress()]; limit != nil {
			out = append(out, limit)
		}
	}
	return out
}

func (l *fakeLimits) Merge(limits []*pb.ServerLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limit := range limits {
		if seq, _, _ := l.registry.summary(limit.GetRun().GetId()); l.limits[limit.GetRun().GetId()] == nil && seq > 0 {
			l.knewFirst = true
		}
		l.limits[limit.GetRun().GetId()] = limit
	}
}

// Guards against a host that has just started, learns of the servers from a peer, and sends them requests
// before it learns of the limits that they advertise.
func TestServersComeWithTheirLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limited = "10.1.0.1:8000"
		f := startFleet(t, 3)
		f.limits[2].set(limited, &pb.ServerLimit{Run: &pb.ServerRun{Id: limited}, Limited: true, PerSecond: 2})
		f.registries[2].Merge([]*pb.ServerState{
			{Address: limited, Incarnation: 1, Seq: 9}, {Address: "10.1.0.2:8000", Incarnation: 1, Seq: 9},
		}, 0, "")
		sleepIntervals(8)
		for i, l := range f.limits[:2] {
			l.mu.Lock()
			if len(l.limits) != 1 || l.limits[limited].GetPerSecond() != 2 || l.knewFirst {
				t.Errorf("host %d has the limits %v, the server before its limit: %v", i, l.limits, l.knewFirst)
			}
			l.mu.Unlock()
		}
	})
}
