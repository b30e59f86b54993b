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

// Symptom: hosts stay apart for minutes after a network partition is mended.
// Sequence: a host is out of reach for an hour while heartbeats go on; it is back.
// Cause: gRPC's pause between attempts had grown to two minutes.
func TestReconnectsSoonAfterLongPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var listener atomic.Pointer[bufconn.Listener] // nil: cut
		pool := New(Config{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			l := listener.Load()
			if l == nil {
				return nil, errors.New("no way there")
			}
			return l.DialContext(ctx)
		}})
		defer func() { _ = pool.Close() }()
		client := pool.Client("10.0.0.1:7000")
		for minutes := range 5 { // the pauses are random: one cut may end right before an attempt
			for end := time.Now().Add(time.Hour + time.Duration(minutes)*time.Minute); time.Now().Before(end); time.Sleep(10 * time.Second) {
				_ = call(client)
			}
			stop := serveMemory(&listener)
			mended := time.Now()
			for call(client) != nil {
				time.Sleep(100 * time.Millisecond)
			}
			if took := time.Since(mended); took > 2*reconnectMax {
				t.Errorf("reached %v after the cut", took)
			}
			stop()
		}
	})
}

// serveMemory starts a server on an in-memory listener; stop ends it and the way there.
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
