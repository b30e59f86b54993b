package control

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/raft"
)

// Verbs of ChangeMembers.
const (
	VerbAddLearner = "add-learner"
	VerbPromote    = "promote"
	VerbRemove     = "remove"
)

// ChangeMembers changes the group's membership by one member and returns once the
// change is committed. Repeating a change that is already in effect is not an error.
func (r *Replica) ChangeMembers(ctx context.Context, req *pb.ChangeMembersRequest) (*pb.GroupStatus, error) {
	edit, err := memberEdit(req)
	if err != nil {
		return nil, err
	}
	_, err = r.submit(ctx, &proposal{members: edit, done: make(chan struct{})})
	if asNotLeader(err) == nil {
		r.log.Info().Str("verb", req.Verb).Uint64("replica", req.GetMember().GetId()).Str("address", req.GetMember().GetAddress()).
			AnErr("error", err).Str("event", "membership-change").Send()
	}
	if err != nil {
		return nil, err
	}
	return r.Status(), nil
}

// memberEdit returns the function from the old to the new membership that a request
// describes.
func memberEdit(req *pb.ChangeMembersRequest) (func(*pb.Members) *pb.Members, error) {
	m := req.GetMember()
	if m.GetId() == 0 {
		return nil, errkind.New(errkind.BadRequest, "a membership change needs the replica's ID")
	}
	switch req.Verb {
	case VerbAddLearner:
		if m.Address == "" {
			return nil, errkind.New(errkind.BadRequest, "a new replica needs an address")
		}
		return func(old *pb.Members) *pb.Members { return addLearner(old, m) }, nil
	case VerbPromote:
		return func(old *pb.Members) *pb.Members { return promote(old, m.Id) }, nil
	case VerbRemove:
		return func(old *pb.Members) *pb.Members { return remove(old, m.Id) }, nil
	}
	return nil, errkind.New(errkind.BadRequest, "%q is not a membership change verb", req.Verb)
}

func addLearner(old *pb.Members, m *pb.Member) *pb.Members {
	for _, o := range old.Members {
		if o.Id == m.Id {
			return old
		}
	}
	added := &pb.Member{Id: m.Id, Address: m.Address, Host: m.Host, Learner: true}
	return &pb.Members{Members: append(old.Members, added)}
}

func promote(old *pb.Members, id uint64) *pb.Members {
	next := &pb.Members{}
	for _, o := range old.Members {
		learner := o.Learner && o.Id != id
		next.Members = append(next.Members, &pb.Member{Id: o.Id, Address: o.Address, Host: o.Host, Learner: learner})
	}
	return next
}

func remove(old *pb.Members, id uint64) *pb.Members {
	next := &pb.Members{}
	for _, o := range old.Members {
		if o.Id != id {
			next.Members = append(next.Members, o)
		}
	}
	return next
}

// proposeMembers appends a membership change to the log.
func (r *Replica) proposeMembers(p *proposal) error {
	old := r.core.Members()
	next := p.members(r.core.Members())
	if sameMembers(old, next) {
		p.finish(&pb.CommandResult{}, nil)
		return nil
	}
	if r.cfg.PromoteLearners && countVoters(next) > countVoters(old) && r.replacedVoter() != nil {
		return errkind.New(errkind.Overloaded, "a voter that doesn't answer is removed first").After(r.cfg.TickInterval * 10)
	}
	if !r.reserveLogSpace(int64(proto.Size(next)) + entryOverhead) {
		return errLogFull(r.logBytes, r.cfg.LogBytes)
	}
	index, term, err := r.core.ProposeMembers(next)
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return r.currentView().notLeader()
	case errors.Is(err, raft.ErrInvalidChange):
		return errkind.New(errkind.NotFound, "%v", err)
	case err != nil:
		return errkind.New(errkind.Overloaded, "%v", err).After(r.cfg.TickInterval * 10)
	}
	r.addPending(p, index, term)
	return nil
}

// promoteLearner gives a learner that has caught up its vote. A learner that had to ask
// for it could miss each moment at which it has caught up, and its calls may be lost.
//
// A voter that the learner replaces is removed first. With both, the group would need a larger
// majority, which it couldn't reach after another loss.
func (r *Replica) promoteLearner() {
	if !r.cfg.PromoteLearners {
		return
	}
	id, ok := r.core.CaughtUpLearner()
	if !ok {
		return
	}
	if replaced := r.replacedVoter(); replaced != nil {
		r.removeReplaced(replaced, id)
		return
	}
	p := &proposal{members: func(old *pb.Members) *pb.Members { return promote(old, id) }, done: make(chan struct{})}
	if err := r.proposeMembers(p); err != nil {
		return // tried again in the next iteration
	}
	r.log.Info().Uint64("replica", id).Str("event", "learner-promoted").Send()
}

// replacedVoter returns a voter that doesn't answer and that the group doesn't need once one more
// replica votes, or nil. A voter that was only partitioned or paused joins again when it returns.
func (r *Replica) replacedVoter() *pb.Member {
	var silent *pb.Member
	answering := 0
	for _, m := range r.core.Status().Members {
		switch {
		case m.Member.Learner:
		case m.Active:
			answering++
		default:
			silent = m.Member
		}
	}
	if r.cfg.EnoughVoters == 0 || answering+1 < r.cfg.EnoughVoters {
		return nil
	}
	return silent
}

// removeReplaced removes a voter in favor of a learner. A leader waits for an election timeout
// after it was elected, because it doesn't know before who answers.
func (r *Replica) removeReplaced(replaced *pb.Member, learner uint64) {
	if r.core.Now()-r.ledSince < int64(r.cfg.ElectionTicks) {
		return
	}
	p := &proposal{members: func(old *pb.Members) *pb.Members { return remove(old, replaced.Id) }, done: make(chan struct{})}
	if err := r.proposeMembers(p); err != nil {
		return // tried again in the next iteration
	}
	r.log.Info().Uint64("replica", replaced.Id).Str("address", replaced.Address).Uint64("replaced_by", learner).
		Str("event", "lost-replica-removed").Send()
}

func countVoters(members *pb.Members) int {
	n := 0
	for _, m := range members.GetMembers() {
		if !m.Learner {
			n++
		}
	}
	return n
}

func sameMembers(a, b *pb.Members) bool {
	if len(a.Members) != len(b.Members) {
		return false
	}
	for i, m := range a.Members {
		if m.Id != b.Members[i].Id || m.Learner != b.Members[i].Learner {
			return false
		}
	}
	return true
}
