package sources

import (
	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/controller/slowreaders"
	"github.com/bluebellsail/bluebellsail/internal/loadview"
)

// Capacity describes the weight of the host among those that serve callers.
func Capacity(v members.CapacityView, into *loadview.Host) { into.Machine.Weight = v.Self.Weight }

// Link describes the use of the host's link: the bytes a second in each direction, and what it carries.
// refusing is set while new connections are refused because it is full.
func Link(in, out int64, carries float64, refusing bool, into *loadview.Host) {
	const bytesPerKilobit = 125
	into.Machine.Link = &loadview.Use{Used: max(in, out) / bytesPerKilobit, Of: int64(carries / bytesPerKilobit)}
	into.Machine.LinkRefusing = refusing
}

// SlowReaders describes what is held for callers and servers that read slowly.
func SlowReaders(v slowreaders.View, into *loadview.Host) {
	into.Machine.SlowReaders = &loadview.Use{Used: v.Held, Of: v.Bound}
	for _, a := range v.Accounts {
		into.AccountNamed(a.Name).HeldBytes += a.Callers + a.Servers
	}
}
