package owners

import "github.com/bluebellsail/bluebellsail/internal/capacity"

// weights returns the weights of the hosts with the given names, nil if all are the same, by the capacities
// of all hosts that serve callers; t.mu is held. Leaving and dead hosts count toward the mean, so that a host
// that ends moves only its own keys.
func (t *Table) weights(names []string) []float64 {
	known := make([]capacity.Capacity, 0, len(t.peers)+1)
	if t.cfg.Serves {
		known = append(known, t.cfg.Capacity)
	}
	for _, p := range t.peers {
		if p.CallerAddress != "" {
			known = append(known, p.Capacity)
		}
	}
	scale := capacity.NewScale(known)
	if scale.Neutral() {
		return nil
	}
	of := map[string]float64{t.self.Name: scale.Weight(t.cfg.Capacity)}
	for _, p := range t.peers {
		of[p.Host] = scale.Weight(p.Capacity)
	}
	weights := make([]float64, len(names))
	for i, name := range names {
		weights[i] = of[name]
	}
	return weights
}

// Unweighted finds owners without regard to their capacities.
type Unweighted struct{ *Table }

// Unweighted returns the table for keys whose hosts keep a promise that holds only while at most one of them
// takes itself for the owner: the limits of servers. The hosts agree on who is alive within a time that is
// known, but on weights only once all have heard of the same capacities and run versions that use them.
func (t *Table) Unweighted() Unweighted { return Unweighted{t} }

// FirstRanked is like Table.FirstRanked without weights.
func (u Unweighted) FirstRanked(key string, n int) []Host {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refresh()
	return u.answering(u.unweighted, key, n)
}

// Owner is like Table.Owner without weights.
func (u Unweighted) Owner(key string) (Host, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refresh()
	return u.owner(u.unweighted, key)
}
