package peerconn

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Guards against hosts that stay apart for minutes after a network partition has ended. A host
// is unreachable for an hour while heartbeats continue; gRPC's pause between attempts would
// have grown to two minutes.
func TestReconnectsSoonAfterLongPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var listener atomic.Pointer[bufconn.Listener] // nil: unreachable
		pool := New(Config{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			l := listener.Load()
			if l == nil {
				return nil, errors.New("host unreachable")
			}
			return l.DialContext(ctx)
		}})
		defer func() { _ = pool.Close() }()
		client := pool.Client("10.0.0.1:7000")
		for minutes := range 5 { // the pauses are random, so one partition may end right before an attempt
			for end := time.Now().Add(time.Hour + time.Duration(minutes)*time.Minute); time.Now().Before(end); time.Sleep(10 * time.Second) {
				_ = call(client)
			}
			stop := serveMemory(&listener)
			mended := time.Now()
			for call(client) != nil {
				time.Sleep(100 * time.Millisecond)
			}
			if took := time.Since(mended); took > 2*reconnectMax {
				t.Errorf("reached %v after the partition", took)
			}
			stop()
		}
	})
}

// serveMemory starts a server on an in-memory listener; stop stops it and makes it
// unreachable.
func serveMemory(listener *atomic.Pointer[bufconn.Listener]) (stop func()) {
	const buffer = 1 << 16
	l := bufconn.Listen(buffer)
	server := grpc.NewServer(ServerOptions(nil, nil)...)
	pb.RegisterPeerServer(server, fakePeer{})
	go func() { _ = server.Serve(l) }()
	listener.Store(l)
	return func() {
		listener.Store(nil)
		server.Stop()
	}
}
