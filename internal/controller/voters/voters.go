// Package voters removes lost replicas from the control group once others have taken
// their place.
//
// What goes wrong without it: a host with a replica is gone for good and a new one joins.
// The group then has a voter more than it had, of which one never answers; the next loss
// takes the quorum, though the group was made to bear it. One would notice commits that
// stop after the second loss of a day.
package voters

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/control"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// DefaultLostAfter is how long a voter is silent until it counts as lost. One that was
// only cut off or frozen joins again when it is back; to remove it cost nothing but that.
const DefaultLostAfter = 3 * time.Second

// Group is this host's replica.
type Group interface {
	// Leading tells whether this replica leads with a valid lease.
	Leading() (term uint64, since time.Time, ok bool)
	// Status has the members' state as the leader knows it.
	Status() *pb.GroupStatus
	ChangeMembers(ctx context.Context, req *pb.ChangeMembersRequest) (*pb.GroupStatus, error)
}

// Config of a Controller.
type Config struct {
	Group Group
	// MinAnswering is how many voters that answer the group needs: one more than twice the
	// losses that it has to bear.
	MinAnswering int
	// LostAfter is the silence after which a voter counts as lost; 0: the default.
	LostAfter time.Duration
	Log       zerolog.Logger
}

// Controller is not safe for concurrent use.
type Controller struct {
	cfg Config
	// silentSince is when the present leader first saw a voter silent, by replica id.
	silentSince map[uint64]time.Time
	term        uint64
}

// New makes a controller.
func New(cfg Config) *Controller {
	if cfg.LostAfter == 0 {
		cfg.LostAfter = DefaultLostAfter
	}
	return &Controller{cfg: cfg, silentSince: map[uint64]time.Time{}}
}

// Reconcile looks at the group once and removes at most one lost voter.
func (c *Controller) Reconcile(ctx context.Context, now time.Time) {
	term, _, leading := c.cfg.Group.Leading()
	if !leading || term != c.term {
		c.term = term
		clear(c.silentSince)
	}
	if !leading {
		return
	}
	lost := c.findLost(now, c.cfg.Group.Status())
	if lost == nil {
		return
	}
	_, err := c.cfg.Group.ChangeMembers(ctx, &pb.ChangeMembersRequest{Verb: control.VerbRemove, Member: lost})
	c.cfg.Log.Info().Str("event", "lost-replica-removed").Uint64("replica", lost.GetId()).Str("address", lost.GetAddress()).
		Dur("silent", now.Sub(c.silentSince[lost.GetId()])).AnErr("error", err).Send()
}

// findLost is a voter to remove, if there is one that others have taken the place of.
func (c *Controller) findLost(now time.Time, group *pb.GroupStatus) *pb.Member {
	var silent *pb.Member
	answering := 0
	for _, m := range group.GetMembers() {
		id := m.GetMember().GetId()
		if m.GetMember().GetLearner() {
			continue
		}
		if m.GetActive() || id == group.GetSelf() {
			answering++
			delete(c.silentSince, id)
			continue
		}
		since, known := c.silentSince[id]
		if !known {
			c.silentSince[id] = now
			continue
		}
		if now.Sub(since) >= c.cfg.LostAfter {
			silent = m.GetMember()
		}
	}
	if answering < c.cfg.MinAnswering {
		return nil
	}
	return silent
}
