// Package surface is the seam between a fleet that serves by a routing table and the
// protocol that its callers, backend servers and operators speak. A program that serves
// such a fleet brings a Protocol; the daemon brings the ports. A Protocol only decodes
// and encodes.
package surface

import (
	"context"
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// Protocol makes the HTTP handlers of a process.
type Protocol interface {
	relay.Dialect
	// Registry serves the announcements of backend servers and the operator of the
	// routing table.
	Registry(Servers, Tables) http.Handler
	// Directory tells callers where to send requests.
	Directory(Directory) http.Handler
	// Readiness answers whether ready is nil.
	Readiness(ready func() error) http.Handler
}

// Servers takes what backend servers say of themselves. Errors are *errkind.Error.
type Servers interface {
	// Announce takes an announcement. It returns where the server should send its later
	// ones; empty: to this host. An error says why it names no server to use; it then
	// changes nothing.
	Announce(a instance.Announcement) (next string, err error)
	// End takes that a run of a backend server ends.
	End(run instance.Incarnation) error
	// EndKnown takes that a backend server ends that does not say in which of its runs: in
	// the one that this host knows.
	EndKnown(id string) error
}

// Tables reads and replaces the routing table. Errors are *errkind.Error.
type Tables interface {
	// Replace commits a table under the operator's revision and returns once it is
	// acknowledged. document is what the operator sent; Present returns it unchanged.
	Replace(ctx context.Context, c *pb.ReplaceRoutes) error
	// Present is the newest table that was acknowledged to anybody, with its document.
	Present(ctx context.Context) (*pb.Routes, error)
}

// Directory names the addresses for callers.
type Directory interface {
	// Addresses for a caller of an availability zone, and how long it may keep them. caller
	// tells callers apart.
	Addresses(zone, caller string) Addresses
}

// Addresses is an answer of a Directory.
type Addresses struct {
	// List has the addresses to use, "ip:port".
	List []string
	// TTLMs is how long the answer may be kept, in milliseconds.
	TTLMs int64
}
