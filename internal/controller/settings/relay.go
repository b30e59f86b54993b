package settings

import (
	"time"

	"google.golang.org/grpc"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// relayInterval is how often a relay sends its state to a watcher while nothing changes.
const relayInterval = time.Second

// Relay implements the Watch of pb.ControlServer on hosts without a replica.
type Relay struct {
	pb.UnimplementedControlServer
	controller *Controller
}

// NewRelay returns a Relay of the view of c.
func NewRelay(c *Controller) *Relay { return &Relay{controller: c} }

// Watch sends the view and then each newer one, until the watcher disconnects.
func (r *Relay) Watch(req *pb.WatchRequest, stream grpc.ServerStreamingServer[pb.WatchEvent]) error {
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	sent := req.FromRevision
	for {
		changed := r.controller.Changed()
		event, err := r.event(sent)
		if err != nil {
			return err
		}
		if err := stream.Send(event); err != nil {
			return err
		}
		sent = max(sent, event.Revision)
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

// event returns the event for a watcher at revision have: the changes since then, the whole
// tree if those are no longer kept, or neither if there are none. It always has the revision:
// a watcher accepts a confirmation only for its own revision, and would otherwise never become
// ready with a relay that has the same revision.
func (r *Relay) event(have uint64) (*pb.WatchEvent, error) {
	v := r.controller.View()
	age, confirmed := r.controller.ContactAge()
	e := &pb.WatchEvent{
		Revision: v.Revision(), Confirmed: confirmed, ConfirmedAgeMs: age.Milliseconds(), Evacuations: r.controller.evacuated(),
	}
	if v.Revision() <= have {
		return e, nil
	}
	if changes, ok := r.controller.changesAfter(have); ok && len(changes) > 0 {
		e.Changes = changes
		e.Revision = changes[len(changes)-1].Revision
		return e, nil
	}
	return e, addSnapshot(e, v)
}

func addSnapshot(e *pb.WatchEvent, v *settings.View) error {
	body, err := v.SnapshotJSON()
	e.SnapshotJson = body
	return err
}
