package controlclient

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

const (
	// firstPause and maxPause bound the exponential backoff between attempts. An election
	// takes some hundred milliseconds.
	firstPause = 20 * time.Millisecond
	maxPause   = 250 * time.Millisecond
	// maxHops bounds how many hints are followed before the next pause.
	maxHops = 3
)

// errTryAgain has call make the next attempt.
var errTryAgain = errors.New("controlclient: no answer yet")

// Propose commits a command and returns its result. It is sent again, under the
// same operation id, until ctx ends. A refusal is an *errkind.Error; one of kind
// NoQuorum says by Ran whether the command may still take effect.
func (c *Client) Propose(ctx context.Context, cmd *pb.Command) (*pb.CommandResult, error) {
	cmd = named(cmd)
	return c.ProposeFresh(ctx, func() *pb.Command { return cmd })
}

// ProposeFresh is Propose of a command that says something of the moment at which it is sent:
// each attempt sends the one that make returns then. All of them must mean the same change.
func (c *Client) ProposeFresh(ctx context.Context, make func() *pb.Command) (*pb.CommandResult, error) {
	res, err := call(ctx, c, func(ctx context.Context, target string) attemptResult[*pb.CommandResult] {
		return c.proposeAt(ctx, target, make())
	})
	if err != nil {
		return nil, err
	}
	return res, wire.DecodeError(res.GetError())
}

// named gives an operator's command the name of this call, by which the group tells a second
// try of the call from a resend by the operator.
func named(cmd *pb.Command) *pb.Command {
	if cmd.GetOpId() == "" || cmd.GetCallId() != "" {
		return cmd
	}
	return &pb.Command{OpId: cmd.OpId, CallId: rand.Text(), Actor: cmd.Actor, TimeMs: cmd.TimeMs, Body: cmd.Body}
}

// Read answers a query linearizably, from the leader.
func (c *Client) Read(ctx context.Context, q *pb.Query) (*pb.QueryResult, error) {
	res, err := call(ctx, c, func(ctx context.Context, target string) attemptResult[*pb.QueryResult] {
		return c.readAt(ctx, target, q)
	})
	if errkind.Is(err, errkind.NoQuorum) {
		return nil, errkind.From(err).WithRan(errkind.RanNo) // a read changes nothing
	}
	return res, err
}

// ChangeMembers changes the group's membership by one member.
func (c *Client) ChangeMembers(ctx context.Context, req *pb.ChangeMembersRequest) (*pb.GroupStatus, error) {
	return call(ctx, c, func(ctx context.Context, target string) attemptResult[*pb.GroupStatus] {
		return c.changeMembersAt(ctx, target, req)
	})
}

// call makes attempts until one is answered or ctx ends.
func call[T any](ctx context.Context, c *Client, at func(context.Context, string) attemptResult[T]) (T, error) {
	unknown := false // an attempt may have been carried out without our knowing
	for ctx.Err() == nil {
		probe, ok := c.gate.enter(ctx)
		if !ok {
			break
		}
		value, err := followHints(ctx, c, at, &unknown)
		c.gate.leave(probe, !errors.Is(err, errTryAgain))
		if !errors.Is(err, errTryAgain) {
			return value, err
		}
	}
	var zero T
	return zero, noAnswer(unknown)
}

// followHints asks the most likely leader, and on its word the one that it names.
func followHints[T any](ctx context.Context, c *Client, at func(context.Context, string) attemptResult[T], unknown *bool) (T, error) {
	for range maxHops {
		a := attempt(ctx, c, at)
		if !a.notLeader || a.leaderHint == "" {
			return a.outcome(unknown)
		}
	}
	var zero T
	return zero, errTryAgain
}

// outcome returns the value, a refusal that ends the call, or errTryAgain. It sets
// unknown if the attempt may have been carried out.
func (a attemptResult[T]) outcome(unknown *bool) (T, error) {
	var zero T
	switch {
	case a.notLeader || a.notSent:
		return zero, errTryAgain
	case a.err != nil || a.refusal.GetKind() == string(errkind.NoQuorum):
		*unknown = true
		return zero, errTryAgain
	case a.refusal != nil && *unknown && overloaded(a.refusal):
		// An earlier attempt may have got in: "did not run" would be untrue.
		return zero, errTryAgain
	case a.refusal != nil:
		return zero, wire.DecodeError(a.refusal)
	}
	return a.value, nil
}

// attempt asks the most likely leader once and remembers what it learnt.
func attempt[T any](ctx context.Context, c *Client, at func(context.Context, string) attemptResult[T]) attemptResult[T] {
	target := c.pick()
	if target == "" {
		return attemptResult[T]{notLeader: true}
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	a := at(ctx, target)
	switch {
	case a.notLeader:
		c.noteLeader(a.leaderHint)
	case a.err != nil:
		c.noteLeader("")
		if suspect(a.err) {
			c.drop(target)
		}
	case a.refusal.GetKind() == string(errkind.NoQuorum):
		c.noteLeader("")
	default:
		c.noteLeader(target)
	}
	return a
}

// overloaded refusals are made before the command is looked at, so they say
// nothing of earlier attempts.
func overloaded(e *pb.Error) bool { return e.Kind == string(errkind.Overloaded) }

// noAnswer is the refusal after the last attempt.
func noAnswer(unknown bool) error {
	if unknown {
		return errkind.New(errkind.NoQuorum, "no leader answered in time; the change may still take effect")
	}
	return errkind.New(errkind.NoQuorum, "no leader was found in time; nothing was done").WithRan(errkind.RanNo)
}
