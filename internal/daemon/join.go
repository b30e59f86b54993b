package daemon

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controller/voters"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// joinEvery is the time between two looks whether this host's replica is outside the
// group.
const joinEvery = time.Second

// membersTimeout bounds the question for the group's membership.
const membersTimeout = time.Second

// keepInGroup has this host's replica take its place in the control group whenever it
// is outside: after a lost disk, under the new id that it drew, as a new replica, or when
// it was removed while it was out of reach. Until it holds everything committed it has no
// vote, and the leader does not report it as repaired.
func (d *Daemon) keepInGroup(ctx context.Context) {
	every(ctx, joinEvery, func() {
		if d.replica.Joining() || d.removedUnheard(ctx) {
			d.joinGroup(ctx)
		}
	})
}

// removedUnheard tells whether the group goes on without this replica, which has not
// heard so: the leader sends nothing to those it doesn't count.
func (d *Daemon) removedUnheard(ctx context.Context) bool {
	if d.replica.Status().GetLeader() != 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	res, err := d.client.Read(ctx, &pb.Query{Body: &pb.Query_Members{Members: &pb.MembersQuery{}}})
	if err != nil {
		return false // nobody knows better
	}
	for _, m := range res.GetGroup().GetMembers() {
		if m.GetMember().GetId() == d.replica.ID() {
			return false
		}
	}
	return true
}

// keepVoters removes lost replicas while this host's replica leads.
func (d *Daemon) keepVoters(ctx context.Context) {
	controller := voters.New(voters.Config{Group: d.replica, MinAnswering: d.cfg.Control.EnoughVoters(), Log: d.tel.Log})
	every(ctx, votersEvery, func() {
		changeCtx, cancel := context.WithTimeout(ctx, membersTimeout)
		defer cancel()
		controller.Reconcile(changeCtx, time.Now())
	})
}

// votersEvery is the time between two looks at the group's voters.
const votersEvery = 500 * time.Millisecond

func (d *Daemon) joinGroup(ctx context.Context) {
	self := &pb.Member{Id: d.replica.ID(), Address: d.cfg.PeerAddress(), Host: d.cfg.Host}
	d.tel.Log.Info().Str("event", "replica-joins").Uint64("replica", self.Id).Send()
	if err := d.client.Join(ctx, self); err != nil {
		d.tel.Log.Warn().Str("event", "replica-not-joined").Uint64("replica", self.Id).Err(err).Send()
		return
	}
	d.tel.Log.Info().Str("event", "replica-repaired").Uint64("replica", self.Id).Send()
}
