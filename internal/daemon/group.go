package daemon

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controlclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// group is the control group as the operators' API and the grants see it: a refusal
// by the replicated state stands in the result and is no error, since it is the
// definite answer, while an error leaves the outcome open.
type group struct{ client *controlclient.Client }

// Propose commits a command.
func (g group) Propose(ctx context.Context, cmd *pb.Command) (*pb.CommandResult, error) {
	res, err := g.client.Propose(ctx, cmd)
	if res.GetError() != nil {
		return res, nil
	}
	return res, err
}

// Read answers from the leader's state.
func (g group) Read(ctx context.Context, q *pb.Query) (*pb.QueryResult, error) {
	res, err := g.client.Read(ctx, q)
	if err != nil && !errkind.Is(err, errkind.NoQuorum) {
		return &pb.QueryResult{Error: wire.EncodeError(err)}, nil
	}
	return res, err
}

// Hosts lists the registered hosts.
func (g group) Hosts(ctx context.Context) ([]*pb.HostInfo, error) {
	res, err := g.client.Read(ctx, &pb.Query{Body: &pb.Query_Hosts{Hosts: &pb.HostsQuery{}}})
	if err != nil {
		return nil, err
	}
	return res.GetHosts(), wire.DecodeError(res.GetError())
}

// ChangeMembers changes the group by one replica.
func (g group) ChangeMembers(ctx context.Context, r *pb.ChangeMembersRequest) (*pb.ChangeMembersReply, error) {
	status, err := g.client.ChangeMembers(ctx, r)
	if err != nil {
		return nil, err
	}
	return &pb.ChangeMembersReply{Group: status}, nil
}

// claimTimeout bounds the wait for a claim; the election of a new leader fits in. With
// the caller's deadline as the only bound, a caller without a quorum behind its host
// would wait its whole time for a refusal that was certain long before, and have none
// left to come back.
const claimTimeout = 3 * time.Second

// claims implements filter.Claims.
type claims struct {
	client *controlclient.Client
	self   *pb.Holder
}

// Claim asks for the single run of an identity.
func (c claims) Claim(ctx context.Context, identity, requestID string) (*pb.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	res, err := c.client.Propose(ctx, &pb.Command{Actor: c.self.GetHost(), Body: &pb.Command_Claim{
		Claim: &pb.Claim{Identity: identity, Holder: c.self, RequestId: requestID}}})
	return res.GetClaim(), err
}

// Finish records how the claimed run ended.
func (c claims) Finish(ctx context.Context, identity, requestID string, state pb.ClaimState) error {
	_, err := c.client.Propose(ctx, &pb.Command{Actor: c.self.GetHost(), Body: &pb.Command_FinishClaim{
		FinishClaim: &pb.FinishClaim{Identity: identity, RequestId: requestID, State: state}}})
	return err
}
