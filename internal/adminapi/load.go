package adminapi

import (
	"context"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/loadview"
)

// Loads describes the load of the fleet.
type Loads interface {
	// Load asks all hosts for their room, and who has it, waits for it and was refused. service is empty for
	// all services. Hosts that don't answer are named in the result.
	Load(ctx context.Context, service string) (*loadview.Fleet, error)
}

// load returns the room of a service, or of all services.
func (h *Handler) load(ctx context.Context, q *request) (any, error) {
	if h.cfg.Loads == nil {
		return nil, errkind.New(errkind.NotFound, "this host serves no routed requests")
	}
	return h.cfg.Loads.Load(ctx, q.http.PathValue("service"))
}
