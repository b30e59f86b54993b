package balance

import (
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

// NoRoom is the error for a request for which no server that may get it has room at present.
type NoRoom struct {
	Service string
	// Account is set if the client account has its share of the room. Other accounts may find room.
	Account bool
}

// Error implements error.
func (e *NoRoom) Error() string {
	return "no backend server of " + e.Service + " has room for the request"
}

// withRoom returns the servers that have room for w, or a *NoRoom if there is none.
func (c *Core) withRoom(now time.Time, w *Work, servers []*instance.Instance) ([]*instance.Instance, error) {
	if w.IgnoreRoom {
		return servers, nil
	}
	if c.dividesSlots(w) {
		return c.withPlainRoom(now, w, servers)
	}
	if !c.cfg.Overload.Queue && !c.cfg.Overload.Memory {
		return servers, nil
	}
	servers = slices.DeleteFunc(servers, func(inst *instance.Instance) bool {
		return !c.hasRoom(now, w, inst, c.server(inst.Incarnation()))
	})
	if len(servers) == 0 {
		return nil, &NoRoom{Service: w.Service}
	}
	return servers, nil
}

// hasRoom reports whether a server can begin w without a wait for a slot or for memory, as far as this
// host knows.
func (c *Core) hasRoom(now time.Time, w *Work, inst *instance.Instance, s *server) bool {
	if !w.Engine {
		return true
	}
	if c.cfg.Overload.Queue && inst.Slots > 0 && !s.others.hasSlot(now, c.began, s.running, inst.Slots) {
		return false
	}
	return c.hasMemory(now, w, s)
}
