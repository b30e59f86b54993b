package quarantine

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

// Entries are the requests that something is held against, as this host knows them.
func (g *Guard) Entries() []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Entries(time.Now())
}

// Release has all hosts forget what is held against a request; false: nothing was.
func (g *Guard) Release(f quarantine.Fingerprint) bool {
	for _, e := range g.Entries() {
		if e.ID.Fingerprint == f {
			return g.clear(e.ID)
		}
	}
	return false
}
