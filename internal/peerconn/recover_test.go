package peerconn

import (
	"context"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// panickingPeer panics in Heartbeat and Watch.
type panickingPeer struct {
	pb.UnimplementedPeerServer
	pb.UnimplementedControlServer
}

func (panickingPeer) Heartbeat(context.Context, *pb.HeartbeatRequest) (*pb.HeartbeatReply, error) {
	var none *pb.HeartbeatReply
	none.Seq++
	return none, nil
}

func (panickingPeer) Tell(context.Context, *pb.TellRequest) (*pb.TellReply, error) {
	return &pb.TellReply{}, nil
}

func (panickingPeer) Watch(*pb.WatchRequest, grpc.ServerStreamingServer[pb.WatchEvent]) error {
	panic("panic in Watch")
}

// Guards against a peer's message that ends the process: a handler panics on a message that it
// does not expect, and gRPC does not recover panics of handlers, so that all requests of the
// host would end without an answer.
func TestHandlerPanicBecomesCallError(t *testing.T) {
	var out testutil.LogBuffer
	listener := testutil.Listen(t)
	server := grpc.NewServer(append(ServerOptions(nil, nil), RecoverOptions(zerolog.New(&out))...)...)
	pb.RegisterPeerServer(server, panickingPeer{})
	pb.RegisterControlServer(server, panickingPeer{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	pool := New(Config{})
	t.Cleanup(func() { _ = pool.Close() })
	address := listener.Addr().String()

	if _, err := pool.Client(address).Heartbeat(t.Context(), &pb.HeartbeatRequest{}); status.Code(err) != codes.Internal {
		t.Errorf("the call ended with %v", err)
	}
	watch, err := pool.Control(address).Watch(t.Context(), &pb.WatchRequest{})
	testutil.NoError(t, err)
	if _, err := watch.Recv(); status.Code(err) != codes.Internal {
		t.Errorf("the stream ended with %v", err)
	}
	if _, err := pool.Client(address).Tell(t.Context(), &pb.TellRequest{}); err != nil {
		t.Errorf("the next call ended with %v", err)
	}
	for _, method := range []string{"/Heartbeat", "/Watch"} {
		if !strings.Contains(out.String(), method) {
			t.Errorf("no log line for %s: %s", method, out.String())
		}
	}
}
