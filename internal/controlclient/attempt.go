package controlclient

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/bluebellsail/bluebellsail/internal/control"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// attemptResult is the result of one attempt at one replica. Exactly one of these
// holds: notLeader, err != nil, or value and refusal as the replica returned them.
type attemptResult[T any] struct {
	value   T
	refusal *pb.Error
	// notLeader is set if the replica did nothing because it is not the leader;
	// leaderHint is the leader's address if the replica knows it.
	notLeader  bool
	leaderHint string
	// err is set if no answer was received; the request may have been carried out
	// unless notRun is set.
	err error
	// notRun is set if the failed attempt never got a stream on a connection, so that no
	// replica can have received the request, or if the host runs no replica.
	notRun bool
}

// localResult converts the return values of the replica in this process to an
// attemptResult.
func localResult[T any](value T, err error) attemptResult[T] {
	var nl *control.NotLeaderError
	if errors.As(err, &nl) {
		return attemptResult[T]{notLeader: true, leaderHint: nl.Address}
	}
	return attemptResult[T]{value: value, refusal: wire.EncodeError(err)}
}

// callRemote calls a replica in another process. ask must pass the options on to its
// call. They return the trailer, in which a replica that is not the leader sends the
// leader's address, and the peer, which gRPC sets only if the call got a stream.
func callRemote[T any](c *Client, target string, ask func(pb.ControlClient, ...grpc.CallOption) attemptResult[T]) attemptResult[T] {
	svc, err := c.service(target)
	if err != nil {
		return attemptResult[T]{err: err, notRun: true}
	}
	var trailer metadata.MD
	var reached peer.Peer
	a := ask(svc, grpc.Trailer(&trailer), grpc.Peer(&reached))
	if hint, ok := leaderHint(trailer); ok && a.err == nil {
		return attemptResult[T]{notLeader: true, leaderHint: hint}
	}
	a.notRun = a.err != nil && (reached.Addr == nil || status.Code(a.err) == codes.Unimplemented)
	return a
}

func (c *Client) proposeAt(ctx context.Context, target string, cmd *pb.Command) attemptResult[*pb.CommandResult] {
	if target == localTarget {
		return localResult(c.local.Propose(ctx, cmd))
	}
	return callRemote(c, target, func(svc pb.ControlClient, opts ...grpc.CallOption) attemptResult[*pb.CommandResult] {
		reply, err := svc.Propose(ctx, &pb.ProposeRequest{Command: cmd}, opts...)
		if err == nil && reply.Result == nil && reply.Error == nil {
			return attemptResult[*pb.CommandResult]{notLeader: true, leaderHint: reply.LeaderAddress}
		}
		return attemptResult[*pb.CommandResult]{value: reply.GetResult(), refusal: reply.GetError(), err: err}
	})
}

func (c *Client) readAt(ctx context.Context, target string, q *pb.Query) attemptResult[*pb.QueryResult] {
	if target == localTarget {
		return localResult(c.local.Read(ctx, q))
	}
	return callRemote(c, target, func(svc pb.ControlClient, opts ...grpc.CallOption) attemptResult[*pb.QueryResult] {
		res, err := svc.Read(ctx, q, opts...)
		return attemptResult[*pb.QueryResult]{value: res, refusal: res.GetError(), err: err}
	})
}

func (c *Client) changeMembersAt(ctx context.Context, target string, req *pb.ChangeMembersRequest) attemptResult[*pb.GroupStatus] {
	if target == localTarget {
		return localResult(c.local.ChangeMembers(ctx, req))
	}
	return callRemote(c, target, func(svc pb.ControlClient, opts ...grpc.CallOption) attemptResult[*pb.GroupStatus] {
		reply, err := svc.ChangeMembers(ctx, req, opts...)
		return attemptResult[*pb.GroupStatus]{value: reply.GetGroup(), refusal: reply.GetError(), err: err}
	})
}

// leaderHint returns the leader's address from the trailer of a replica that is not the
// leader.
func leaderHint(trailer metadata.MD) (string, bool) {
	values := trailer.Get(control.LeaderAddressKey)
	if len(values) == 0 {
		return "", false
	}
	return values[0], true
}

// maybeUnresponsive reports whether an error may result from a connection that has
// become unresponsive.
func maybeUnresponsive(err error) bool {
	code := status.Code(err)
	return code == codes.DeadlineExceeded || code == codes.Unavailable
}
