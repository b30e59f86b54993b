package balance

import "github.com/cespare/xxhash/v2"

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
		if rank := mix(part, xxhash.Sum64String(inst.ID)); first == "" || rank > best {
			best, first = rank, inst.ID
		}
	}
	return first
}

// mix hashes two hashes into one.
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
