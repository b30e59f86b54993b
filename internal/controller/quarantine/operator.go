package quarantine

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

// Entries returns the suspected and quarantined requests that this host knows.
func (g *Guard) Entries() []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Entries(time.Now())
}

// Release removes all records about a request at all hosts. It returns false if there are none.
func (g *Guard) Release(f quarantine.Fingerprint) bool {
	for _, e := range g.Entries() {
		if e.ID.Fingerprint == f {
			return g.clear(e.ID)
		}
	}
	return false
}
