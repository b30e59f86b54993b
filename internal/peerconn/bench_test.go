package peerconn

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Benchmarks print figures for docs/CAPACITY.md and assert nothing.

// countingListener counts the bytes transferred, without TCP headers.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, &l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func benchServer(b *testing.B) (*countingListener, string) {
	b.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	listener := &countingListener{Listener: inner}
	server := grpc.NewServer(ServerOptions(nil, nil)...)
	pb.RegisterPeerServer(server, fakePeer{})
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(server.Stop)
	return listener, inner.Addr().String()
}

// BenchmarkHeartbeatCall measures the time of a heartbeat over loopback and the bytes that
// gRPC adds to the request and reply together.
func BenchmarkHeartbeatCall(b *testing.B) {
	listener, address := benchServer(b)
	pool := New(Config{})
	defer func() { _ = pool.Close() }()
	client := pool.Client(address)
	request := &pb.HeartbeatRequest{From: &pb.Holder{Host: "host-0001", Incarnation: 7}, Seq: 1, PeerAddress: "10.0.0.1:7000"}
	reply, err := client.Heartbeat(context.Background(), request)
	if err != nil {
		b.Fatal(err)
	}
	own := proto.Size(request) + proto.Size(reply)
	before := listener.bytes.Load()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Heartbeat(context.Background(), request); err != nil {
			b.Fatal(err)
		}
	}
	added := float64(listener.bytes.Load()-before)/float64(b.N) - float64(own)
	b.ReportMetric(added, "grpcB/call")
}

// BenchmarkConnectionMemory measures the heap and stack used by both ends of one connection
// together.
func BenchmarkConnectionMemory(b *testing.B) {
	const connections = 50
	_, address := benchServer(b)
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var pools []*Pool
		for range connections {
			pool := New(Config{})
			pools = append(pools, pool)
			if err := call(pool.Client(address)); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		used := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
		b.ReportMetric(float64(used)/connections, "B/conn")
		for _, pool := range pools {
			_ = pool.Close()
		}
	}
}
