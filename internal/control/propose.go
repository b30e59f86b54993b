package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/raft"
)

// maxProposals bounds the proposals queued for the loop.
const maxProposals = 8192

// entryOverhead is an upper bound on the bytes that the log adds to a command.
const entryOverhead = 64

// proposal is a command or a membership change to be appended to the log.
type proposal struct {
	cmd     *pb.Command
	members func(*pb.Members) *pb.Members // non-nil for a membership change
	term    uint64
	done    chan struct{}
	res     *pb.CommandResult
	err     error
}

// finish delivers the outcome to the proposer. Only the loop calls it, once.
func (p *proposal) finish(res *pb.CommandResult, err error) {
	p.res, p.err = res, err
	close(p.done)
}

// Propose commits a command and returns the state machine's result. A *NotLeaderError
// means that nothing was done; an error of kind errkind.NoQuorum means that the command
// may still be committed.
func (r *Replica) Propose(ctx context.Context, cmd *pb.Command) (*pb.CommandResult, error) {
	received := r.cfg.Now()
	res, err := r.submit(ctx, &proposal{cmd: cmd, done: make(chan struct{})})
	if registered := res.GetRegisterHost(); registered != nil {
		r.registrations.add(registered.GetHolder().GetIncarnation(), received)
		r.registrations.describe(registered.GetHosts(), r.cfg.Now())
	}
	return res, err
}

func (r *Replica) submit(ctx context.Context, p *proposal) (*pb.CommandResult, error) {
	if v := r.view.Load(); v.role != raft.Leader {
		return nil, v.notLeader()
	}
	if err := r.enqueue(p); err != nil {
		return nil, err
	}
	r.wakeLoop()
	select {
	case <-p.done:
		return p.res, p.err
	case <-ctx.Done():
		return nil, errOutcomeUnknown("the control group did not commit before the deadline")
	}
}

func (r *Replica) enqueue(p *proposal) error {
	r.inMu.Lock()
	defer r.inMu.Unlock()
	if r.closed {
		return &NotLeaderError{}
	}
	if len(r.proposals) >= maxProposals {
		return errkind.New(errkind.Overloaded, "%d proposals are already queued for the control group's log", maxProposals)
	}
	r.proposals = append(r.proposals, p)
	return nil
}

// propose appends the proposals to the log.
func (r *Replica) propose(proposals []*proposal) {
	for _, p := range proposals {
		if err := r.proposeOne(p); err != nil {
			p.finish(nil, err)
		}
	}
}

func (r *Replica) proposeOne(p *proposal) error {
	if !r.core.IsLeader() {
		return r.currentView().notLeader()
	}
	if p.members != nil {
		return r.proposeMembers(p)
	}
	if err := r.checkVersions(p.cmd); err != nil {
		return err
	}
	stamped := &pb.Command{
		OpId: p.cmd.OpId, CallId: p.cmd.CallId, Actor: p.cmd.Actor, TimeMs: r.stampTime(), Body: p.cmd.Body,
	}
	data, err := proto.Marshal(stamped)
	if err != nil {
		return errkind.New(errkind.BadRequest, "encode the command: %v", err)
	}
	if !r.reserveLogSpace(int64(len(data)) + entryOverhead) {
		return errLogFull(r.logBytes, r.cfg.LogBytes)
	}
	index, term, err := r.core.Propose(data)
	if err != nil {
		return r.currentView().notLeader()
	}
	r.metrics.Proposals.Add(1)
	r.addPending(p, index, term)
	return nil
}

// addPending registers a proposal that was appended to the log.
func (r *Replica) addPending(p *proposal, index, term uint64) {
	if old := r.pending[index]; old != nil {
		old.finish(nil, errOutcomeUnknown("leadership was lost"))
	}
	p.term = term
	r.pending[index] = p
}

// failPending ends the pending proposals, whose outcome this replica can no longer
// learn.
func (r *Replica) failPending(why string) {
	for index, p := range r.pending {
		delete(r.pending, index)
		r.metrics.ProposalsUnknown.Add(1)
		p.finish(nil, errOutcomeUnknown(why))
	}
}
