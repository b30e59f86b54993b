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
	withCluster(t, nil, func(t *testing.T, c *cluster) {
		evacuate := &pb.Command{Body: &pb.Command_SetEvacuation{SetEvacuation: &pb.SetEvacuation{Zone: "z", Evacuated: true}}}
		old := c.follower()
		c.mu.Lock()
		c.old[old.address] = true
		c.mu.Unlock()
		time.Sleep(time.Second)
		leader := c.leader()
		_, err := leader.r.Propose(t.Context(), evacuate)
		if e := errkind.From(err); !errkind.Is(err, errkind.HostNotReady) || e.Ran() != errkind.RanNo {
			t.Errorf("beside a replica of the old version: %v", err)
		}
		c.mustSet(3, 0) // older kinds of records are committed
		c.mu.Lock()
		c.old[old.address] = false
		c.mu.Unlock()
		time.Sleep(time.Second)
		if _, err := c.leader().r.Propose(t.Context(), evacuate); err != nil {
			t.Errorf("once all are new: %v", err)
		}
	})
}
