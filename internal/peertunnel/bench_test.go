package peertunnel

import (
	"io"
	"runtime"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// benchServer serves connections that send each byte back.
func benchServer(b *testing.B) string {
	b.Helper()
	l := testutil.Listen(b)
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// BenchmarkExchange opens a tunnel, sends a request of 1 KB and reads an answer of 1 KB: the time of both
// hosts and of the server.
func BenchmarkExchange(b *testing.B) {
	client, _ := startPeer(b, peer{})
	address := benchServer(b)
	buf := make([]byte, 1<<10)
	for b.Loop() {
		c, err := Open(b.Context(), client, "peer", address)
		testutil.NoError(b, err)
		_, err = c.Write(buf)
		testutil.NoError(b, err)
		_, err = io.ReadFull(c, buf)
		testutil.NoError(b, err)
		testutil.NoError(b, c.Close())
	}
}

// BenchmarkMemory measures the memory of an open tunnel, both hosts and the server's end together.
func BenchmarkMemory(b *testing.B) {
	const tunnels = 200
	client, _ := startPeer(b, peer{})
	address := benchServer(b)
	for b.Loop() {
		before := memoryInUse()
		conns := make([]*Conn, tunnels)
		for i := range conns {
			c, err := Open(b.Context(), client, "peer", address)
			testutil.NoError(b, err)
			conns[i] = c
		}
		b.ReportMetric(float64(memoryInUse()-before)/tunnels, "B/tunnel")
		for _, c := range conns {
			testutil.NoError(b, c.Close())
		}
	}
}

// memoryInUse returns the bytes in use of heap and stacks.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
