package httpserver

import (
	"sync"

	"github.com/lesismal/nbio"
)

// maxDescriptors bounds the numbers of the descriptors that a server's connections may have.
// The system gives the lowest free ones, so it bounds the connections of the process too: they
// would need more memory than a host has long before.
const maxDescriptors = 1 << 16

// limitDescriptors has nbio keep a table for so many descriptors per server.
//
// What goes wrong without it: nbio's table has eight bytes for each descriptor that the system
// lets the process open, two million at most. On a machine that sets no bound, the six servers
// of a process have 100 MB of such tables. They are hardly ever touched, but the Go runtime
// counts them as live: with a memory limit below that it collects without end, and each
// collection reads all of them. One would notice a host whose processor is busy while it
// has no requests.
var limitDescriptors = sync.OnceFunc(func() { nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, maxDescriptors) })
