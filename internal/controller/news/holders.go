package news

import "math/rand/v2"

// maxCandidates bounds the hosts that one round asks.
const maxCandidates = 24

// Holders are the other hosts that can hold a change for this one.
type Holders struct {
	// Control has the peer addresses of the hosts that run a replica, Others those of the other hosts, by
	// availability zone.
	Control []string
	Others  [][]string
	// Alone reports that no other host is known, not even a dead one.
	Alone bool
}

// candidates returns hosts in the order in which to ask them: control hosts and others by turns, others of one zone
// after the other. The order is random within these, so that the hosts share the work.
func (h Holders) candidates() []string {
	control, others := h.randomControl(), h.randomOthers()
	out := make([]string, 0, maxCandidates)
	for len(out) < maxCandidates && len(control)+len(others) > 0 {
		if len(control) > 0 {
			out, control = append(out, control[0]), control[1:]
		}
		if len(others) > 0 && len(out) < maxCandidates {
			out, others = append(out, others[0]), others[1:]
		}
	}
	return out
}

func (h Holders) randomControl() []string { return rotated(h.Control) }

// randomOthers returns up to maxCandidates of the others, one of each zone by turns.
func (h Holders) randomOthers() []string {
	var out []string
	if len(h.Others) == 0 {
		return nil
	}
	first := rand.IntN(len(h.Others))
	zones := make([][]string, 0, len(h.Others))
	for i := range h.Others {
		zones = append(zones, rotated(h.Others[(first+i)%len(h.Others)]))
	}
	for n := 0; n < maxCandidates; n++ {
		for _, zone := range zones {
			if n < len(zone) && len(out) < maxCandidates {
				out = append(out, zone[n])
			}
		}
	}
	return out
}

// rotated returns up to maxCandidates addresses of a list, from a random one on.
func rotated(addresses []string) []string {
	n := len(addresses)
	if n == 0 {
		return nil
	}
	out := make([]string, 0, min(n, maxCandidates))
	for i, first := 0, rand.IntN(n); i < cap(out); i++ {
		out = append(out, addresses[(first+i)%n])
	}
	return out
}
