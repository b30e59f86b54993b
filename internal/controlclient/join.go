package controlclient

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/control"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// joinRetryDelay is the pause before a join looks at the membership again: the last step
// failed, or the replica has to catch up.
const joinRetryDelay = 200 * time.Millisecond

// Join adds a waiting replica to the group and returns once the leader reports it as
// repaired: a voter that has caught up. A former replica at the same address is removed,
// because its disk is known to be lost or another replica would still run at that
// address. Join may be called again after an error or a restart; it continues where it
// was.
func (c *Client) Join(ctx context.Context, self *pb.Member) error {
	for {
		changed, done := c.takeJoinStep(ctx, self)
		if done {
			return nil
		}
		if changed {
			continue
		}
		select {
		case <-time.After(joinRetryDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// takeJoinStep carries out the next step. It reports whether that changed the membership,
// and whether nothing is left to do. Errors need no handling, because the next step reads
// the membership again.
func (c *Client) takeJoinStep(ctx context.Context, self *pb.Member) (changed, done bool) {
	res, err := c.Read(ctx, &pb.Query{Body: &pb.Query_Members{Members: &pb.MembersQuery{}}})
	if err != nil {
		return false, false
	}
	req, done := joinStep(res.GetGroup(), self)
	if req == nil {
		return false, done
	}
	_, err = c.ChangeMembers(ctx, req)
	return err == nil, false
}

// joinStep returns the next change of the membership; nil: wait.
func joinStep(group *pb.GroupStatus, self *pb.Member) (req *pb.ChangeMembersRequest, done bool) {
	var own *pb.MemberStatus
	for _, m := range group.GetMembers() {
		if m.Member.Id == self.Id {
			own = m
			continue
		}
		// Remove the former replica first. Otherwise the group would have an even
		// number of voters, one of which can never answer.
		if m.Member.Address == self.Address {
			return &pb.ChangeMembersRequest{Verb: control.VerbRemove, Member: m.Member}, false
		}
	}
	switch {
	case own == nil:
		return &pb.ChangeMembersRequest{Verb: control.VerbAddLearner, Member: self}, false
	case own.Member.Learner && own.Match >= group.Commit && own.Active:
		// Leaders of earlier versions don't promote a learner by themselves.
		return &pb.ChangeMembersRequest{Verb: control.VerbPromote, Member: self}, false
	}
	return nil, own.Repaired
}
