package daemon

import (
	"github.com/bluebellsail/bluebellsail/internal/capacity"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
)

// capacityOf returns what a process with the given limits tells the other hosts of its capacity.
func capacityOf(l procconfig.Limits) capacity.Capacity {
	return capacity.FromLimits(l.ProcessorShare, l.MemoryMB, l.LinkMbps)
}
