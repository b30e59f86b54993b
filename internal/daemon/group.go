package daemon

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controlclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// group adapts the control group to the operators' API and the grants. A rejection by the
// replicated state is returned in the result and not as an error, since it is a definite
// answer, while an error leaves the outcome unknown.
type group struct{ client *controlclient.Client }

// Propose commits a command.
func (g group) Propose(ctx context.Context, cmd *pb.Command) (*pb.CommandResult, error) {
	res, err := g.client.Propose(ctx, cmd)
	if res.GetError() != nil {
		return res, nil
	}
	return res, err
}

// Read reads from the leader's state.
func (g group) Read(ctx context.Context, q *pb.Query) (*pb.QueryResult, error) {
	res, err := g.client.Read(ctx, q)
	if err != nil && !errkind.Is(err, errkind.NoQuorum) {
		return &pb.QueryResult{Error: wire.EncodeError(err)}, nil
	}
	return res, err
}

// Hosts lists the registered hosts.
func (g group) Hosts(ctx context.Context) ([]*pb.HostInfo, error) {
	return g.queryHosts(ctx, &pb.HostsQuery{})
}

// HostsAfter returns the hosts that are removed, and the first of those that have registered after an
// incarnation.
func (g group) HostsAfter(ctx context.Context, incarnation uint64) ([]*pb.HostInfo, error) {
	return g.queryHosts(ctx, &pb.HostsQuery{After: &incarnation})
}

func (g group) queryHosts(ctx context.Context, q *pb.HostsQuery) ([]*pb.HostInfo, error) {
	res, err := g.client.Read(ctx, &pb.Query{Body: &pb.Query_Hosts{Hosts: q}})
	if err != nil {
		return nil, err
	}
	return res.GetHosts(), wire.DecodeError(res.GetError())
}

// ChangeMembers adds, promotes or removes one replica of the group.
func (g group) ChangeMembers(ctx context.Context, r *pb.ChangeMembersRequest) (*pb.ChangeMembersReply, error) {
	status, err := g.client.ChangeMembers(ctx, r)
	if err != nil {
		return nil, err
	}
	return &pb.ChangeMembersReply{Group: status}, nil
}

// claimTimeout bounds the wait for a claim; the election of a new leader fits into it. With
// the caller's deadline as the only bound, a caller whose host reaches no quorum would wait
// until its deadline for a refusal that was certain long before, with no time left to retry.
const claimTimeout = 3 * time.Second

// claims implements filter.Claims.
type claims struct {
	client *controlclient.Client
	self   *pb.Holder
}

// Claim claims the exclusive right to run the request with the given identity.
func (c claims) Claim(ctx context.Context, identity, requestID string) (*pb.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	res, err := c.client.Propose(ctx, &pb.Command{Actor: c.self.GetHost(), Body: &pb.Command_Claim{
		Claim: &pb.Claim{Identity: identity, Holder: c.self, RequestId: requestID}}})
	return res.GetClaim(), err
}

// Finish records the final state of a claim.
func (c claims) Finish(ctx context.Context, identity, requestID string, state pb.ClaimState) error {
	_, err := c.client.Propose(ctx, &pb.Command{Actor: c.self.GetHost(), Body: &pb.Command_FinishClaim{
		FinishClaim: &pb.FinishClaim{Identity: identity, RequestId: requestID, State: state}}})
	return err
}
