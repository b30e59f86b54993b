package control

import (
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Guards against an order that is acknowledged and lost: while the hosts of a fleet are replaced by those
// of a new version, a replica of the old one applies the order as a refusal and becomes the leader.
func TestOrderWaitsForReplicasOfTheOldVersion(t *testing.T) {
	revision := uint64(0)
	for version, set := range []*pb.SetEvacuation{
		0: {Zone: "z", Evacuated: true},
		1: {Zone: "z", Evacuated: true, IfRevision: &revision},
	} {
		withCluster(t, nil, func(t *testing.T, c *cluster) {
			evacuate := &pb.Command{Body: &pb.Command_SetEvacuation{SetEvacuation: set}}
			old := c.follower()
			c.mu.Lock()
			c.old[old.address] = uint32(version)
			c.mu.Unlock()
			time.Sleep(time.Second)
			leader := c.leader()
			_, err := leader.r.Propose(t.Context(), evacuate)
			if e := errkind.From(err); !errkind.Is(err, errkind.HostNotReady) || e.Ran() != errkind.RanNo {
				t.Errorf("beside a replica of version %d: %v", version, err)
			}
			c.mustSet(3, 0) // older kinds of records are committed
			c.mu.Lock()
			delete(c.old, old.address)
			c.mu.Unlock()
			time.Sleep(time.Second)
			if _, err := c.leader().r.Propose(t.Context(), evacuate); err != nil {
				t.Errorf("once all are new: %v", err)
			}
		})
	}
}
