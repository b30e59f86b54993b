package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/raft"
)

// maxProposals bounds the proposals that wait for the loop.
const maxProposals = 8192

// entryOverhead bounds what the log adds to a command's bytes, in bytes.
const entryOverhead = 64

// proposal is a command, or a membership, on its way into the log.
type proposal struct {
	cmd     *pb.Command
	members func(*pb.Members) *pb.Members // set: a membership change
	term    uint64
	done    chan struct{}
	res     *pb.CommandResult
	err     error
}

// finish ends the wait of the proposer. Only the loop calls it, once.
func (p *proposal) finish(res *pb.CommandResult, err error) {
	p.res, p.err = res, err
	close(p.done)
}

// Propose commits a command and returns the state machine's result. A
// *NotLeaderError says that nothing was done; an errkind.NoQuorum that the
// command may still be committed.
func (r *Replica) Propose(ctx context.Context, cmd *pb.Command) (*pb.CommandResult, error) {
	return r.submit(ctx, &proposal{cmd: cmd, done: make(chan struct{})})
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
		return nil, errOutcomeUnknown("the control group didn't commit in time")
	}
}

func (r *Replica) enqueue(p *proposal) error {
	r.inMu.Lock()
	defer r.inMu.Unlock()
	if r.closed {
		return &NotLeaderError{}
	}
	if len(r.proposals) >= maxProposals {
		return errkind.New(errkind.Overloaded, "%d proposals wait for the control group's log", maxProposals)
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
	stamped := &pb.Command{
		OpId: p.cmd.OpId, CallId: p.cmd.CallId, Actor: p.cmd.Actor, TimeMs: r.stampTime(), Body: p.cmd.Body,
	}
	data, err := proto.Marshal(stamped)
	if err != nil {
		return errkind.New(errkind.BadRequest, "the command can't be encoded: %v", err)
	}
	if !r.roomFor(int64(len(data)) + entryOverhead) {
		return errLogFull(r.wal.Bytes(), r.cfg.LogBytes)
	}
	index, term, err := r.core.Propose(data)
	if err != nil {
		return r.currentView().notLeader()
	}
	r.metrics.Proposals.Add(1)
	r.await(p, index, term)
	return nil
}

// await notes that a proposal stands in the log.
func (r *Replica) await(p *proposal, index, term uint64) {
	if old := r.pending[index]; old != nil {
		old.finish(nil, errOutcomeUnknown("leadership was lost"))
	}
	p.term = term
	r.pending[index] = p
}

// failPending ends proposals whose outcome this replica can no longer learn.
func (r *Replica) failPending(why string) {
	for index, p := range r.pending {
		delete(r.pending, index)
		r.metrics.ProposalsUnknown.Add(1)
		p.finish(nil, errOutcomeUnknown(why))
	}
}
