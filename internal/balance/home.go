package balance

import "github.com/bluebellsail/bluebellsail/internal/rendezvous"

// home returns the instance at which the shared beginning of w's prompt is at home: the
// first by rendezvous hash. All hosts compute the same one without a word between them,
// so that one engine reads the part and all requests with it find it there.
func (c *Core) home(w *Work) string {
	if !w.Engine || len(w.Prompt) < 2 {
		return ""
	}
	part := w.Prompt[len(w.Prompt)-2].ID
	best, first := uint64(0), ""
	for _, inst := range c.reg.Serving(w.Service) {
		if rank := rendezvous.Rank(part, rendezvous.Hash(inst.ID)); first == "" || rank > best {
			best, first = rank, inst.ID
		}
	}
	return first
}
