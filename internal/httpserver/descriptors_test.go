package httpserver

import (
	"net/http"
	"runtime"
	"testing"

	"github.com/lesismal/nbio"
)

// Guards against a process with a memory limit that is busy without any requests, on a machine
// where a process may open millions of descriptors: each server has a table with as many
// entries, which the runtime counts as live.
func TestDescriptorTablesAreBounded(t *testing.T) {
	const servers, most = 6, 16 << 20 // bytes; without the bound it is 96 MiB
	limitDescriptors()
	if nbio.MaxOpenFiles > maxDescriptors {
		t.Fatalf("tables for %d descriptors", nbio.MaxOpenFiles)
	}
	nbio.MaxOpenFiles = maxDescriptors // as on a machine without a limit
	before := heap()
	kept := make([]*Server, 0, servers)
	for range servers {
		kept = append(kept, start(t, Config{Handler: http.NotFoundHandler()}))
	}
	if grown := heap() - before; grown > most {
		t.Errorf("%d servers use %d bytes", len(kept), grown)
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
