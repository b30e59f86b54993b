package voters

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// fakeGroup is a group of voters 1 to n that this replica, 1, leads.
type fakeGroup struct {
	term    uint64
	leading bool
	members []*pb.MemberStatus
	removed []uint64
}

func (g *fakeGroup) Leading() (uint64, time.Time, bool) { return g.term, time.Time{}, g.leading }

func (g *fakeGroup) Status() *pb.GroupStatus { return &pb.GroupStatus{Self: 1, Members: g.members} }

func (g *fakeGroup) ChangeMembers(_ context.Context, req *pb.ChangeMembersRequest) (*pb.GroupStatus, error) {
	g.removed = append(g.removed, req.GetMember().GetId())
	return nil, nil
}

func (g *fakeGroup) add(id uint64, active, learner bool) *pb.MemberStatus {
	m := &pb.MemberStatus{Member: &pb.Member{Id: id, Learner: learner}, Active: active}
	g.members = append(g.members, m)
	return m
}

func newGroup(active ...bool) *fakeGroup {
	g := &fakeGroup{term: 1, leading: true}
	for i, a := range active {
		g.add(uint64(i+1), a, false)
	}
	return g
}

// reconcileAt reconciles at each of the seconds.
func reconcileAt(c *Controller, seconds ...int) {
	for _, s := range seconds {
		c.Reconcile(context.Background(), time.Unix(1000+int64(s), 0))
	}
}

func controller(g *fakeGroup) *Controller {
	return New(Config{Group: g, MinAnswering: 3, Log: zerolog.Nop()})
}

// Symptom: the second loss of a day takes the quorum.
// Sequence: one of three replicas is gone for good; another joins and is promoted.
// Cause: the lost one stayed a voter.
func TestReplacedVoterIsRemoved(t *testing.T) {
	g := newGroup(true, true, false, true)
	reconcileAt(controller(g), 0, 2, 3)
	if len(g.removed) != 1 || g.removed[0] != 3 {
		t.Errorf("removed %v, want replica 3 after 3 s of silence", g.removed)
	}
}

// Symptom: a group of three loses a member that comes back a moment later.
// Sequence: one of three voters is cut off for long; nobody has taken its place.
// Cause: silence alone taken for a loss.
func TestVoterStaysWithoutReplacement(t *testing.T) {
	g := newGroup(true, true, false)
	g.add(9, true, true) // a learner votes on nothing yet
	reconcileAt(controller(g), 0, 5, 10)
	if len(g.removed) != 0 {
		t.Errorf("removed %v", g.removed)
	}
}

func TestAnswerResetsSilence(t *testing.T) {
	g := newGroup(true, true, false, true)
	c := controller(g)
	reconcileAt(c, 0, 2)
	g.members[2].Active = true
	reconcileAt(c, 3)
	g.members[2].Active = false
	reconcileAt(c, 4, 6)
	if len(g.removed) != 0 {
		t.Errorf("removed %v after 2 s of silence", g.removed)
	}
}

// Symptom: a new leader removes a replica that it has not had the time to hear.
// Sequence: leadership changes; members count as silent until they answer.
// Cause: silence that an earlier term saw counted on.
func TestNewTermResetsSilence(t *testing.T) {
	g := newGroup(true, true, false, true)
	c := controller(g)
	reconcileAt(c, 0, 2)
	g.term = 2
	reconcileAt(c, 3, 4)
	g.leading = false
	reconcileAt(c, 9)
	if len(g.removed) != 0 {
		t.Errorf("removed %v", g.removed)
	}
}
