// Package voters removes lost replicas from the control group once others have replaced
// them.
//
// If a host with a replica permanently fails and a new one joins, the group has an
// additional voter, and one of its voters never answers. Unless that one is removed, the
// next failure costs the group its quorum although it was sized to tolerate it, and
// commits stop.
package voters

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/control"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// DefaultLostAfter is the time without an answer after which a voter counts as lost. A
// voter that was only partitioned or paused joins again when it returns, so removing it
// costs no more than that.
const DefaultLostAfter = 3 * time.Second

// leftAfter is the same time for a voter whose host has left in order. It is the time to answer a leader that has just
// been elected: until then the host may be closing down, or have started again unnoticed.
const leftAfter = 500 * time.Millisecond

// learnersLogEvery is the shortest interval between two log lines on a learner.
const learnersLogEvery = time.Second

// Group is this host's replica.
type Group interface {
	// Leading reports whether this replica leads with a valid lease, in which term and since
	// when.
	Leading() (term uint64, since time.Time, ok bool)
	// Status returns the state of the members as known to the leader.
	Status() *pb.GroupStatus
	ChangeMembers(ctx context.Context, req *pb.ChangeMembersRequest) (*pb.GroupStatus, error)
}

// Config configures a Controller.
type Config struct {
	Group Group
	// MinAnswering is the number of answering voters that the group needs: one more than
	// twice the number of failures that it has to tolerate.
	MinAnswering int
	// LostAfter is the time without an answer after which a voter counts as lost; the default
	// is DefaultLostAfter.
	LostAfter time.Duration
	// Left reports whether the host at an address has announced that it leaves and has not come back since. A voter there
	// that doesn't answer counts as lost after leftAfter; nil: none.
	Left func(address string) bool
	Log  zerolog.Logger
}

// Controller removes lost voters. It is not safe for concurrent use.
type Controller struct {
	cfg Config
	// silentSince is when this leader first found a voter not answering, by replica id. It is
	// valid for one term.
	silentSince map[uint64]time.Time
	term        uint64
	// learnersLogged is when the learners were last logged.
	learnersLogged time.Time
}

// New returns a Controller.
func New(cfg Config) *Controller {
	if cfg.LostAfter == 0 {
		cfg.LostAfter = DefaultLostAfter
	}
	return &Controller{cfg: cfg, silentSince: map[uint64]time.Time{}}
}

// Reconcile checks the group once and removes at most one lost voter.
func (c *Controller) Reconcile(ctx context.Context, now time.Time) {
	term, _, leading := c.cfg.Group.Leading()
	if !leading {
		return // the lease may come back in the same term
	}
	if term != c.term {
		c.term = term
		clear(c.silentSince)
	}
	group := c.cfg.Group.Status()
	c.logLearners(now, group)
	lost := c.findLost(now, group)
	if lost == nil {
		return
	}
	_, err := c.cfg.Group.ChangeMembers(ctx, &pb.ChangeMembersRequest{Verb: control.VerbRemove, Member: lost})
	c.cfg.Log.Info().Str("event", "lost-replica-removed").Uint64("replica", lost.GetId()).Str("address", lost.GetAddress()).
		Dur("silent", now.Sub(c.silentSince[lost.GetId()])).AnErr("error", err).Send()
}

// logLearners logs how far the replicas without a vote are behind.
func (c *Controller) logLearners(now time.Time, group *pb.GroupStatus) {
	if now.Sub(c.learnersLogged) < learnersLogEvery {
		return
	}
	for _, m := range group.GetMembers() {
		if !m.GetMember().GetLearner() {
			continue
		}
		c.learnersLogged = now
		c.cfg.Log.Info().Str("event", "learner-without-vote").Uint64("replica", m.GetMember().GetId()).Str("address", m.GetMember().GetAddress()).
			Bool("answers", m.GetActive()).Uint64("match", m.GetMatch()).Uint64("commit", group.GetCommit()).Send()
	}
}

// findLost returns a lost voter to remove, or nil. A lost voter is only removed if enough
// others answer.
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
		if now.Sub(since) >= c.lostAfter(m.GetMember().GetAddress()) {
			silent = m.GetMember()
		}
	}
	if answering < c.cfg.MinAnswering {
		return nil
	}
	return silent
}

// lostAfter returns the time without an answer after which the voter at an address counts as lost.
func (c *Controller) lostAfter(address string) time.Duration {
	if c.cfg.Left != nil && c.cfg.Left(address) {
		return min(leftAfter, c.cfg.LostAfter)
	}
	return c.cfg.LostAfter
}
