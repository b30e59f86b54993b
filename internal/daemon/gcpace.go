package daemon

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// gcPercent lets the heap grow to four times the live heap before a collection, as long as that is a
	// few megabytes: collections cost processor time. minGCPercent is the least growth.
	gcPercent    = 300
	minGCPercent = 50
	// garbageRoom is the heap in bytes that garbage may take before a collection. A host of a large fleet
	// knows all hosts and backend servers, and four times that would be most of its memory.
	garbageRoom = 12 << 20
	// gcPaceEvery is the interval at which the growth is adapted to the live heap.
	gcPaceEvery = 2 * time.Second
)

// gcPercentFor returns the growth of a live heap, in percent, before a collection.
func gcPercentFor(live uint64) int {
	if live == 0 {
		return gcPercent
	}
	return min(max(int(garbageRoom*100/live), minGCPercent), gcPercent)
}

// paceGC adapts the growth of the heap to its live size until ctx ends.
func paceGC(ctx context.Context) {
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	current := gcPercent
	every(ctx, gcPaceEvery, func() {
		metrics.Read(live)
		if next := gcPercentFor(live[0].Value.Uint64()); next != current {
			current = next
			debug.SetGCPercent(next)
		}
	})
}
