// Package surface defines the interface between a fleet that serves by a routing table and the
// protocol used by its callers, backend servers and operators. A program that serves such a fleet
// implements Protocol; the daemon implements the other interfaces. A Protocol only decodes and
// encodes.
package surface

import (
	"context"
	"net/http"

	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
	"github.com/bluebellsail/bluebellsail/internal/relay"
)

// Protocol creates the HTTP handlers of a process.
type Protocol interface {
	relay.Dialect
	// Registry serves the announcements of backend servers and the operator's requests about the
	// routing table and evacuations.
	Registry(Servers, Tables, Evacuations) http.Handler
	// Directory serves the addresses to which callers send their requests.
	Directory(Directory) http.Handler
	// Readiness serves the process's readiness: it is ready if ready returns nil.
	Readiness(ready func() error) http.Handler
	// Overload returns the decisions for overload that the names of features call for; see
	// procconfig.Routed. Unknown names are ignored.
	Overload(features []string) procconfig.Overload
}

// Servers accepts the announcements of backend servers. Errors are of type *errkind.Error.
type Servers interface {
	// Announce processes an announcement. It returns the address to which the server should send
	// its later announcements; empty for this host. If the announcement does not describe a usable
	// server, it returns an error that says why and changes nothing. If the server leaves, Announce returns once other
	// hosts hold the change; an error of the kind NotReplicated means that none is known to.
	Announce(ctx context.Context, a instance.Announcement) (next string, err error)
	// End records that an incarnation of a backend server ends, and returns once other hosts hold the change, as
	// Announce does.
	End(ctx context.Context, run instance.Incarnation) error
	// EndCurrent is End for a backend server that does not report which incarnation ends. It is the one that this host
	// knows.
	EndCurrent(ctx context.Context, id string) error
}

// Tables reads and replaces the routing table. Errors are of type *errkind.Error.
type Tables interface {
	// Replace commits a table under the operator's revision and returns once it is acknowledged.
	// The command contains the operator's document, which Present returns unchanged.
	Replace(ctx context.Context, c *pb.ReplaceRoutes) error
	// Present returns the newest acknowledged table with its document.
	Present(ctx context.Context) (*pb.Routes, error)
}

// Evacuations begins and ends evacuations of availability zones. Errors are of type *errkind.Error, *Redirect or
// *Precondition.
type Evacuations interface {
	// SetEvacuation commits an order and returns once it is acknowledged. An order that changes nothing is
	// acknowledged too. One that would change something is carried out only if it names the present revision; else the error is
	// a *Precondition.
	SetEvacuation(ctx context.Context, o EvacuationOrder) error
}

// EvacuationOrder begins or ends the evacuation of a zone.
type EvacuationOrder struct {
	Zone      string
	Evacuated bool
	// Revision is that of the evacuated zones that the order changes; nil if it names none.
	Revision *uint64
}

// Directory provides the addresses that callers use.
type Directory interface {
	// Addresses returns the addresses for a caller, and how long it may keep them.
	Addresses(Lookup) Addresses
}

// Lookup is a caller's question for addresses.
type Lookup struct {
	// Host is the host name to which the caller's requests will go.
	Host string
	// Zone and Region are where the caller is; empty if it does not say.
	Zone, Region string
	// Caller distinguishes callers.
	Caller string
}

// Addresses is an answer of a Directory.
type Addresses struct {
	// List contains the addresses to use, "ip:port".
	List []string
	// TTLMs is how long the answer may be cached, in milliseconds.
	TTLMs int64
}
