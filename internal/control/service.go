package control

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// LeaderAddressKey is the trailer in which a replica that is not the leader sends the
// leader's address.
const LeaderAddressKey = "bluebellsail-leader-address"

// service implements pb.ControlServer for one replica.
type service struct {
	pb.UnimplementedControlServer
	r *Replica
}

// NewService returns the gRPC service of a replica.
func NewService(r *Replica) pb.ControlServer { return &service{r: r} }

// Propose commits a command. A reply with neither result nor error means that this
// replica is not the leader and did nothing.
func (s *service) Propose(ctx context.Context, req *pb.ProposeRequest) (*pb.ProposeReply, error) {
	if req.Command == nil {
		return nil, errors.New("control: the proposal has no command")
	}
	res, err := s.r.Propose(ctx, req.Command)
	if nl := asNotLeader(err); nl != nil {
		return &pb.ProposeReply{Leader: nl.Leader, LeaderAddress: nl.Address}, nil
	}
	return &pb.ProposeReply{Result: res, Error: wire.EncodeError(err)}, nil
}

// Read answers a query at the leader; on other replicas the trailer holds the leader's
// address.
func (s *service) Read(ctx context.Context, q *pb.Query) (*pb.QueryResult, error) {
	res, err := s.r.Read(ctx, q)
	if err != nil {
		return &pb.QueryResult{Error: s.refusal(ctx, err)}, nil
	}
	return res, nil
}

// ChangeMembers changes the membership at the leader; on other replicas the trailer
// holds the leader's address.
func (s *service) ChangeMembers(ctx context.Context, req *pb.ChangeMembersRequest) (*pb.ChangeMembersReply, error) {
	st, err := s.r.ChangeMembers(ctx, req)
	if err != nil {
		return &pb.ChangeMembersReply{Error: s.refusal(ctx, err)}, nil
	}
	return &pb.ChangeMembersReply{Group: st}, nil
}

// Watch streams this replica's settings.
func (s *service) Watch(req *pb.WatchRequest, out grpc.ServerStreamingServer[pb.WatchEvent]) error {
	sub := s.r.Subscribe(req.FromRevision)
	for {
		e, err := sub.Next(out.Context())
		if err != nil {
			return err
		}
		if err := out.Send(e); err != nil {
			return err
		}
	}
}

// Raft receives the messages of one peer.
func (s *service) Raft(in grpc.ClientStreamingServer[pb.RaftMessage, pb.RaftAck]) error {
	address := ""
	if md, ok := metadata.FromIncomingContext(in.Context()); ok && len(md.Get(addressKey)) > 0 {
		address = md.Get(addressKey)[0]
	}
	for {
		m, err := in.Recv()
		if err == io.EOF {
			return in.SendAndClose(&pb.RaftAck{})
		}
		if err != nil {
			return err
		}
		s.r.receive(m, address)
	}
}

// refusal returns the wire form of err. If err is a NotLeaderError, it also sends the
// leader's address in the trailer.
func (s *service) refusal(ctx context.Context, err error) *pb.Error {
	nl := asNotLeader(err)
	if nl == nil {
		return wire.EncodeError(err)
	}
	_ = grpc.SetTrailer(ctx, metadata.Pairs(LeaderAddressKey, nl.Address))
	return wire.EncodeError(nl.refusal())
}

func asNotLeader(err error) *NotLeaderError {
	var nl *NotLeaderError
	if errors.As(err, &nl) {
		return nl
	}
	return nil
}
