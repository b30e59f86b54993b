package control

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// Pointer answers the calls that only a leader carries out on a host without a replica: it does nothing and names a control
// host, as a replica that is not the leader names the leader. A host whose seeds run no replica so finds the group.
type Pointer struct {
	// ControlHost returns the address of a control host; empty if none is known.
	ControlHost func() string
}

// Propose names a control host.
func (p Pointer) Propose(context.Context, *pb.ProposeRequest) (*pb.ProposeReply, error) {
	return &pb.ProposeReply{LeaderAddress: p.ControlHost()}, nil
}

// Read names a control host in the trailer.
func (p Pointer) Read(ctx context.Context, _ *pb.Query) (*pb.QueryResult, error) {
	return &pb.QueryResult{Error: p.refusal(ctx)}, nil
}

// ChangeMembers names a control host in the trailer.
func (p Pointer) ChangeMembers(ctx context.Context, _ *pb.ChangeMembersRequest) (*pb.ChangeMembersReply, error) {
	return &pb.ChangeMembersReply{Error: p.refusal(ctx)}, nil
}

func (p Pointer) refusal(ctx context.Context) *pb.Error {
	_ = grpc.SetTrailer(ctx, metadata.Pairs(LeaderAddressKey, p.ControlHost()))
	return wire.EncodeError(errkind.New(errkind.NoQuorum, "this host runs no replica").WithRan(errkind.RanNo))
}
