package settings

import (
	"time"

	"google.golang.org/grpc"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// relayInterval is how often a relay repeats its state to a watcher without a change.
const relayInterval = time.Second

// Relay implements the Watch of pb.ControlServer on hosts without a replica.
type Relay struct {
	pb.UnimplementedControlServer
	controller *Controller
}

// NewRelay serves what c holds.
func NewRelay(c *Controller) *Relay { return &Relay{controller: c} }

// Watch sends the view and then each newer one, until the watcher goes.
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

// event is what a watcher lacks: the changes since its revision, or the whole tree if
// they are no longer kept, or nothing. It names
// the revision in any case: a watcher takes no word of the quorum about another one
// than its own, and would stay unready beside a relay that has just what it has.
func (r *Relay) event(have uint64) (*pb.WatchEvent, error) {
	v := r.controller.View()
	age, confirmed := r.controller.ContactAge()
	e := &pb.WatchEvent{Revision: v.Revision(), Confirmed: confirmed, ConfirmedAgeMs: age.Milliseconds()}
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
