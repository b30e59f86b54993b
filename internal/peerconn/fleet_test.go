package peerconn

import (
	"context"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// anyPeer answers every heartbeat; its settings watch ends at once.
type anyPeer struct {
	pb.UnimplementedPeerServer
	pb.UnimplementedControlServer
}

func (anyPeer) Heartbeat(context.Context, *pb.HeartbeatRequest) (*pb.HeartbeatReply, error) {
	return &pb.HeartbeatReply{}, nil
}
func (anyPeer) Watch(*pb.WatchRequest, grpc.ServerStreamingServer[pb.WatchEvent]) error { return nil }

// Guards against a status that lists hosts of another fleet: a process starts on an address at
// which another fleet had a host, and must not accept that fleet's heartbeats.
func TestOtherFleetsAreRejected(t *testing.T) {
	l := testutil.Listen(t)
	server := grpc.NewServer(append(ServerOptions(nil, nil), Fleet("recife").ServerOptions()...)...)
	pb.RegisterPeerServer(server, anyPeer{})
	pb.RegisterControlServer(server, anyPeer{})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	for fleet, want := range map[string]codes.Code{"recife": codes.OK, "santiago": codes.PermissionDenied} {
		p := New(Config{Fleet: Fleet(fleet)})
		t.Cleanup(func() { _ = p.Close() })
		_, err := p.Client(l.Addr().String()).Heartbeat(t.Context(), &pb.HeartbeatRequest{})
		if status.Code(err) != want {
			t.Errorf("heartbeat of fleet %s: %v, want %s", fleet, err, want)
		}
		stream, err := p.Control(l.Addr().String()).Watch(t.Context(), &pb.WatchRequest{})
		testutil.NoError(t, err)
		if _, err = stream.Recv(); (status.Code(err) == codes.PermissionDenied) != (want == codes.PermissionDenied) {
			t.Errorf("watch of fleet %s: %v", fleet, err)
		}
	}
}
