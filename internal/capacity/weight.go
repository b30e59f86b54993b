package capacity

import "math"

const (
	// stepsPerOctave is the number of steps into which the doubling of a capacity is divided. Weights differ
	// by whole steps, of 9%, so that small differences of what two hosts know seldom change a weight.
	stepsPerOctave = 8
	// minWeight and maxWeight bound a host's weight. A host keeps some callers and duties however small it
	// says that it is, and none gets most of them however large.
	minWeight, maxWeight = 0.25, 4
)

// Neutral is the weight of a host that has the mean capacity of its fleet, or tells none.
const Neutral = 1.0

// Scale turns capacities into weights relative to the mean of a fleet. All weights of the zero Scale are
// Neutral.
type Scale struct {
	// mean is the mean of each dimension in steps, over the hosts that tell it; known tells whether any does.
	mean  [dimensions]int
	known [dimensions]bool
}

// NewScale returns the scale of the fleet whose hosts have the given capacities, in any order.
//
// The mean of each dimension is the geometric one, so that a host that tells a hundred times what the others
// tell hardly moves it.
func NewScale(hosts []Capacity) Scale {
	if allEqual(hosts) {
		return Scale{}
	}
	var s Scale
	var sum, count [dimensions]int
	for _, c := range hosts {
		for i, amount := range c.amounts() {
			if amount > 0 {
				sum[i] += steps(amount)
				count[i]++
			}
		}
	}
	for i := range s.mean {
		if s.known[i] = count[i] > 0; s.known[i] {
			s.mean[i] = (2*sum[i] + count[i]) / (2 * count[i])
		}
	}
	return s
}

func allEqual(hosts []Capacity) bool {
	for _, c := range hosts {
		if c != hosts[0] {
			return false
		}
	}
	return true
}

// steps returns the logarithm of an amount above 0 in steps, rounded. The logarithm of a whole number is
// never halfway between two steps, so all platforms round to the same one.
func steps(amount uint32) int { return int(math.Round(stepsPerOctave * math.Log2(float64(amount)))) }

// Neutral reports whether the scale gives all hosts the same weight because their capacities are equal.
func (s Scale) Neutral() bool { return s == Scale{} }

// Weight returns the weight of a host: its scarcest dimension relative to the mean, between minWeight and
// maxWeight. A dimension that the host does not tell counts as the mean.
func (s Scale) Weight(c Capacity) float64 {
	scarcest, any := 0, false
	for i, amount := range c.amounts() {
		if !s.known[i] {
			continue
		}
		relative := 0
		if amount > 0 {
			relative = steps(amount) - s.mean[i]
		}
		if !any || relative < scarcest {
			scarcest, any = relative, true
		}
	}
	return min(max(math.Exp2(float64(scarcest)/stepsPerOctave), minWeight), maxWeight)
}

// Weights returns the weights of all hosts of a fleet.
func Weights(hosts []Capacity) []float64 {
	s := NewScale(hosts)
	weights := make([]float64, len(hosts))
	for i, c := range hosts {
		weights[i] = s.Weight(c)
	}
	return weights
}
