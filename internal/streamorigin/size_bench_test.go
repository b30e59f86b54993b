package streamorigin

import (
	"runtime"
	"strconv"
	"testing"
	"time"
)

// BenchmarkFullTable measures what an entry costs in a table that is full: the time to add one, which drops the
// oldest, and the memory of each.
func BenchmarkFullTable(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tab, now := NewTable(DefaultCapacity), time.Unix(1000, 0)
	add := func(n int) {
		tab.Put(now, KeyOf("school", strconv.Itoa(n)), Origin{Service: "pool", Version: "v1." + strconv.Itoa(n%3)}, now.Add(time.Minute))
	}
	for n := range DefaultCapacity {
		add(n)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for n := range b.N {
		add(DefaultCapacity + n)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/DefaultCapacity, "B/entry")
	runtime.KeepAlive(tab)
}
