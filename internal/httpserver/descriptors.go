package httpserver

import (
	"sync"

	"github.com/lesismal/nbio"
)

// maxDescriptors bounds the descriptor numbers of a server's connections. The system assigns
// the lowest free number, so this also bounds the connections of the process; that many would
// need more memory than a host has.
const maxDescriptors = 1 << 16

// limitDescriptors limits nbio's table of connections to maxDescriptors entries per server.
//
// nbio's table has eight bytes for each descriptor that the system lets the process open, two
// million at most. On a machine without a limit, the six servers of a process have 100 MB of
// such tables. They are hardly ever used, but the Go runtime counts them as live: with a
// memory limit below that, it runs garbage collections continuously, each of which scans all
// of them, and the host's processor is busy without any requests.
var limitDescriptors = sync.OnceFunc(func() { nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, maxDescriptors) })
