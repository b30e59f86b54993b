package balance

import "github.com/bluebellsail/bluebellsail/internal/instance"

// preferredServer returns the id of the preferred server for the shared beginning of w's prompt:
// the first by rendezvous hash. All hosts compute the same server without communication, so that
// one engine prefills the shared part and all requests with it find it cached there.
func (c *Core) preferredServer(w *Work) string {
	if !w.Engine || len(w.Prompt) < 2 {
		return ""
	}
	part := w.Prompt[len(w.Prompt)-2].ID
	first := c.reg.Preferred(w.Service, part, func(inst *instance.Instance) bool { return c.inRegion(w, inst.Zone) })
	if first == nil {
		return ""
	}
	return first.ID
}
