package quarantine

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

// Entries returns the suspected and quarantined requests that this host knows.
func (g *Guard) Entries() []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Entries(time.Now())
}

// Release removes all records about a request at all hosts, and returns once other hosts hold the change. It returns
// false if there are none.
func (g *Guard) Release(ctx context.Context, f quarantine.Fingerprint) (released bool, err error) {
	for _, e := range g.Entries() {
		if e.ID.Fingerprint == f && g.clear(e.ID) {
			return true, g.cfg.Replicate(ctx, g.suspect(e.ID))
		}
	}
	return false, nil
}

func (g *Guard) suspect(id quarantine.ID) *pb.Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Suspect(time.Now(), id)
}
