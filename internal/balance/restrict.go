package balance

import (
	"slices"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

// Restricted reports whether only some of the service's servers may ever get the request.
func (w *Work) Restricted() bool { return len(w.Regions) > 0 || len(w.Versions) > 0 }

// mayServe reports whether regions and software versions allow w at an instance.
func (c *Core) mayServe(w *Work, inst *instance.Instance) bool {
	return c.inRegion(w, inst.Zone) && ofVersion(w, inst.Version)
}

// inRegion reports whether the servers of a zone may get w.
func (c *Core) inRegion(w *Work, zone string) bool {
	return len(w.Regions) == 0 || slices.Contains(w.Regions, c.cfg.Regions[zone])
}

// ofVersion reports whether the servers of a software version may get w.
func ofVersion(w *Work, version string) bool {
	return len(w.Versions) == 0 || slices.Contains(w.Versions, version)
}

// Allowed reports whether w may be sent to an incarnation of a server, as far as regions and software
// versions restrict it. A server that is not known may not get a restricted request.
func (c *Core) Allowed(w *Work, inc instance.Incarnation) bool {
	if !w.Restricted() {
		return true
	}
	inst, known := c.reg.Get(inc.ID)
	return known && inst.Started == inc.Started && c.mayServe(w, inst)
}

// Version returns the software version of the chosen incarnation of a server. known is false if the choice
// and the registry differ on it, or if the registry holds a later incarnation under the server's ID: that
// one may be what answers.
func (c *Core) Version(chosen instance.Announcement) (version string, known bool) {
	inst, held := c.reg.Get(chosen.ID)
	switch {
	case !held || inst.Started < chosen.Started:
		return chosen.Version, chosen.Version != ""
	case inst.Started > chosen.Started:
		return "", false
	}
	return inst.Version, chosen.Version == "" || chosen.Version == inst.Version
}
