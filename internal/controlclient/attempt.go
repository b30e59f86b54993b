package controlclient

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/bluebellsail/bluebellsail/internal/control"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// answer is what one attempt at one replica gave. Exactly one of these holds:
// notLeader, broken != nil, or value and refusal as the replica gave them.
type answer[T any] struct {
	value   T
	refusal *pb.Error
	// notLeader: the replica did nothing; hint is the leader's address if it knows it.
	notLeader bool
	hint      string
	// broken: no answer came; the request may have been carried out.
	broken error
}

// fromLocal turns what the replica in this process returned into an answer.
func fromLocal[T any](value T, err error) answer[T] {
	var nl *control.NotLeaderError
	if errors.As(err, &nl) {
		return answer[T]{notLeader: true, hint: nl.Address}
	}
	return answer[T]{value: value, refusal: wire.EncodeError(err)}
}

func (c *Client) proposeAt(ctx context.Context, target string, cmd *pb.Command) answer[*pb.CommandResult] {
	if target == localTarget {
		return fromLocal(c.local.Propose(ctx, cmd))
	}
	svc, err := c.service(target)
	if err != nil {
		return answer[*pb.CommandResult]{broken: err}
	}
	reply, err := svc.Propose(ctx, &pb.ProposeRequest{Command: cmd})
	if err != nil {
		return answer[*pb.CommandResult]{broken: err}
	}
	if reply.Result == nil && reply.Error == nil {
		return answer[*pb.CommandResult]{notLeader: true, hint: reply.LeaderAddress}
	}
	return answer[*pb.CommandResult]{value: reply.Result, refusal: reply.Error}
}

func (c *Client) readAt(ctx context.Context, target string, q *pb.Query) answer[*pb.QueryResult] {
	if target == localTarget {
		return fromLocal(c.local.Read(ctx, q))
	}
	svc, err := c.service(target)
	if err != nil {
		return answer[*pb.QueryResult]{broken: err}
	}
	var trailer metadata.MD
	res, err := svc.Read(ctx, q, grpc.Trailer(&trailer))
	if err != nil {
		return answer[*pb.QueryResult]{broken: err}
	}
	if hint, ok := leaderHint(trailer); ok {
		return answer[*pb.QueryResult]{notLeader: true, hint: hint}
	}
	return answer[*pb.QueryResult]{value: res, refusal: res.Error}
}

func (c *Client) changeMembersAt(ctx context.Context, target string, req *pb.ChangeMembersRequest) answer[*pb.GroupStatus] {
	if target == localTarget {
		return fromLocal(c.local.ChangeMembers(ctx, req))
	}
	svc, err := c.service(target)
	if err != nil {
		return answer[*pb.GroupStatus]{broken: err}
	}
	var trailer metadata.MD
	res, err := svc.ChangeMembers(ctx, req, grpc.Trailer(&trailer))
	if err != nil {
		return answer[*pb.GroupStatus]{broken: err}
	}
	if hint, ok := leaderHint(trailer); ok {
		return answer[*pb.GroupStatus]{notLeader: true, hint: hint}
	}
	return answer[*pb.GroupStatus]{value: res.Group, refusal: res.Error}
}

// leaderHint reads the trailer of a replica that isn't the leader.
func leaderHint(trailer metadata.MD) (string, bool) {
	values := trailer.Get(control.LeaderAddressKey)
	if len(values) == 0 {
		return "", false
	}
	return values[0], true
}

// suspect tells whether an error may come from a connection that went silent.
func suspect(err error) bool {
	code := status.Code(err)
	return code == codes.DeadlineExceeded || code == codes.Unavailable
}
