package daemon

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/controller/voters"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// joinEvery is the interval between checks of whether this host's replica is outside the
	// control group.
	joinEvery = 100 * time.Millisecond
	// removedCheckEvery is the shortest interval between two questions to the group whether
	// it has removed this replica.
	removedCheckEvery = time.Second
)

// membersTimeout bounds a read or a change of the group's membership.
const membersTimeout = time.Second

// maintainMembership adds this host's replica to the control group whenever it is outside: as a new
// replica, under a new id after a lost disk, or when it was removed while it was unreachable.
// Until it has caught up it has no vote, and the leader does not report it as repaired.
func (d *Daemon) maintainMembership(ctx context.Context) {
	asked := time.Now()
	every(ctx, joinEvery, func() {
		if d.replica.Joining() {
			d.joinGroup(ctx)
			return
		}
		if time.Since(asked) < removedCheckEvery {
			return
		}
		asked = time.Now()
		if d.removedWithoutNotice(ctx) {
			d.joinGroup(ctx)
		}
	})
}

// removedWithoutNotice reports whether the group has removed this replica without the replica having
// been notified: a leader sends nothing to replicas that are not members.
func (d *Daemon) removedWithoutNotice(ctx context.Context) bool {
	if d.replica.Status().GetLeader() != 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	res, err := d.client.Read(ctx, &pb.Query{Body: &pb.Query_Members{Members: &pb.MembersQuery{}}})
	if err != nil {
		return false // the membership is unknown
	}
	for _, m := range res.GetGroup().GetMembers() {
		if m.GetMember().GetId() == d.replica.ID() {
			return false
		}
	}
	return true
}

// reconcileVoters removes lost replicas while this host's replica leads.
func (g *gateway) reconcileVoters(ctx context.Context) {
	d := g.d
	controller := voters.New(voters.Config{Group: d.replica, MinAnswering: d.cfg.Control.EnoughVoters(), Log: d.tel.Log,
		Left: func(address string) bool { return hasLeft(g.members.Peers(), address) }})
	every(ctx, votersEvery, func() {
		changeCtx, cancel := context.WithTimeout(ctx, membersTimeout)
		defer cancel()
		controller.Reconcile(changeCtx, time.Now())
	})
}

// hasLeft reports whether a host with the peer address has announced that it leaves, and no other run or host with the
// address is known that hasn't.
func hasLeft(peers []members.PeerInfo, address string) bool {
	left := false
	for _, p := range peers {
		if p.PeerAddress != address {
			continue
		}
		if !p.Leaving {
			return false
		}
		left = true
	}
	return left
}

// votersEvery is the interval between checks of the group's voters. Two of them add to the time until a lost voter is
// removed.
const votersEvery = 100 * time.Millisecond

func (d *Daemon) joinGroup(ctx context.Context) {
	self := &pb.Member{Id: d.replica.ID(), Address: d.cfg.PeerAddress(), Host: d.cfg.Host}
	d.tel.Log.Info().Str("event", "replica-joins").Uint64("replica", self.Id).Send()
	if err := d.client.Join(ctx, self); err != nil {
		d.tel.Log.Warn().Str("event", "replica-not-joined").Uint64("replica", self.Id).Err(err).Send()
		return
	}
	d.tel.Log.Info().Str("event", "replica-repaired").Uint64("replica", self.Id).Send()
}
