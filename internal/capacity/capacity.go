// Package capacity turns what the hosts of a fleet may use of processor, memory and network link into
// weights, by which callers and duties are dealt out. It is pure: hosts that know the same capacities
// compute the same weights without communication.
package capacity

import (
	"math"
	"strings"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Capacity is what a host may use, as its settings limit it. A field that is 0 is not limited or not
// known.
type Capacity struct {
	// ProcessorPermille is in thousandths of a processor, MemoryMB in megabytes of 1,000,000 bytes and
	// LinkKbps in kilobits per second in each direction.
	ProcessorPermille, MemoryMB, LinkKbps uint32
}

// Limits of a plausible capacity. A larger value is ignored.
const (
	MaxProcessorPermille = 1 << 26 // some 67,000 processors
	MaxMemoryMB          = 1 << 30 // some 1 PB
	MaxLinkKbps          = 1 << 30 // some 1 Tbit/s
)

// Dimensions is a set of the dimensions of a capacity.
type Dimensions uint8

// The dimensions of a capacity.
const (
	Processor Dimensions = 1 << iota
	Memory
	Link

	AllDimensions = Processor | Memory | Link
)

// String returns the names of the dimensions, separated by commas.
func (d Dimensions) String() string {
	var names []string
	for i, name := range [dimensions]string{"processor", "memory", "link"} {
		if d&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, ",")
}

// FromLimits returns the capacity of a process that may use share of one processor, memoryMB megabytes and
// linkMbps megabits per second; a limit of 0 is not known. Limits beyond what is plausible count as the
// largest plausible ones.
func FromLimits(share, memoryMB, linkMbps float64) Capacity {
	return Capacity{
		ProcessorPermille: rounded(1000*share, MaxProcessorPermille),
		MemoryMB:          rounded(memoryMB, MaxMemoryMB),
		LinkKbps:          rounded(1000*linkMbps, MaxLinkKbps),
	}
}

// rounded returns x as a whole number from 1 to most, and 0 if it is not above 0.
func rounded(x, most float64) uint32 {
	if !(x > 0) {
		return 0
	}
	return uint32(math.Round(min(max(x, 1), most)))
}

// FromProto returns the capacity in a message, which may be nil, without the dimensions that are absurd.
func FromProto(m *pb.Capacity) (c Capacity, absurd Dimensions) {
	c = Capacity{ProcessorPermille: m.GetProcessorPermille(), MemoryMB: m.GetMemoryMb(), LinkKbps: m.GetLinkKbps()}
	if c.ProcessorPermille > MaxProcessorPermille {
		c.ProcessorPermille, absurd = 0, absurd|Processor
	}
	if c.MemoryMB > MaxMemoryMB {
		c.MemoryMB, absurd = 0, absurd|Memory
	}
	if c.LinkKbps > MaxLinkKbps {
		c.LinkKbps, absurd = 0, absurd|Link
	}
	return c, absurd
}

// Proto returns the capacity as a message, nil if nothing is known.
func (c Capacity) Proto() *pb.Capacity {
	if c == (Capacity{}) {
		return nil
	}
	return &pb.Capacity{ProcessorPermille: c.ProcessorPermille, MemoryMb: c.MemoryMB, LinkKbps: c.LinkKbps}
}

// Missing returns the dimensions that are not known.
func (c Capacity) Missing() (missing Dimensions) {
	for i, amount := range c.amounts() {
		if amount == 0 {
			missing |= 1 << i
		}
	}
	return missing
}

// dimensions is the number of dimensions of a capacity.
const dimensions = 3

// amounts returns the dimensions in the order of the constants of Dimensions.
func (c Capacity) amounts() [dimensions]uint32 {
	return [dimensions]uint32{c.ProcessorPermille, c.MemoryMB, c.LinkKbps}
}
