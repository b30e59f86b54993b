package sources

import (
	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/loadview"
)

// EngineMemory describes the memory of the engines to which a host assigns requests. What requests of
// others are estimated to hold counts as held.
func EngineMemory(engines []balance.EngineMemory, into *loadview.Host) {
	for _, e := range engines {
		s := into.ServerNamed(e.Service, e.Server.ID)
		s.Memory = &loadview.Use{Used: int64(e.Held + e.UncountedTokens), Of: int64(e.Capacity)}
		s.Assigned, s.Uncounted, s.Slots = e.Requests, e.Uncounted, e.Slots
	}
}
