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
	// minBackoff and maxBackoff bound the exponential backoff between attempts. An election
	// takes some hundred milliseconds.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	// maxRedirects bounds how many leader hints are followed before the next backoff.
	maxRedirects = 3
)

// errRetry makes call start the next attempt.
var errRetry = errors.New("controlclient: no answer yet")

// Propose commits a command and returns its result. It resends the command, under the
// same operation ID, until it is answered or ctx ends. A refusal is an *errkind.Error;
// for one of kind NoQuorum, Ran tells whether the command may still take effect.
func (c *Client) Propose(ctx context.Context, cmd *pb.Command) (*pb.CommandResult, error) {
	cmd = withCallID(cmd)
	return c.ProposeFunc(ctx, func() *pb.Command { return cmd })
}

// ProposeFunc is like Propose for a command that depends on when it is sent: each
// attempt sends the command that make returns at that time. All of them must mean the
// same change.
func (c *Client) ProposeFunc(ctx context.Context, make func() *pb.Command) (*pb.CommandResult, error) {
	res, err := call(ctx, c, func(ctx context.Context, target string) attemptResult[*pb.CommandResult] {
		return c.proposeAt(ctx, target, make())
	})
	if err != nil {
		return nil, err
	}
	return res, wire.DecodeError(res.GetError())
}

// withCallID adds a call ID to an operator's command, by which the group distinguishes
// a retry within this call from a resend by the operator.
func withCallID(cmd *pb.Command) *pb.Command {
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
	unknown := false // an unanswered attempt may have been carried out
	for ctx.Err() == nil {
		probe, ok := c.gate.enter(ctx)
		if !ok {
			break
		}
		value, err := followRedirects(ctx, c, at, &unknown)
		c.gate.leave(probe, !errors.Is(err, errRetry))
		if !errors.Is(err, errRetry) {
			return value, err
		}
	}
	var zero T
	return zero, noAnswerError(unknown)
}

// followRedirects asks the most likely leader, and then the leader that the replica
// names.
func followRedirects[T any](ctx context.Context, c *Client, at func(context.Context, string) attemptResult[T], unknown *bool) (T, error) {
	for range maxRedirects {
		a := attempt(ctx, c, at)
		if !a.notLeader || a.leaderHint == "" {
			return a.outcome(unknown)
		}
	}
	var zero T
	return zero, errRetry
}

// outcome returns the value, a refusal that ends the call, or errRetry. It sets unknown
// if the attempt may have been carried out.
func (a attemptResult[T]) outcome(unknown *bool) (T, error) {
	var zero T
	switch {
	case a.notLeader || a.notRun:
		return zero, errRetry
	case a.err != nil || a.refusal.GetKind() == string(errkind.NoQuorum):
		*unknown = true
		return zero, errRetry
	case a.refusal != nil && *unknown && overloaded(a.refusal):
		// An earlier attempt may have been carried out, so "did not run" would be
		// wrong.
		return zero, errRetry
	case a.refusal != nil:
		return zero, wire.DecodeError(a.refusal)
	}
	return a.value, nil
}

// attempt asks the most likely leader once and remembers which replica leads.
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
		c.setLeader(a.leaderHint)
	case a.err != nil:
		c.setLeader("")
		if maybeUnresponsive(a.err) {
			c.drop(target)
		}
	case a.refusal.GetKind() == string(errkind.NoQuorum):
		c.setLeader("")
	default:
		c.setLeader(target)
	}
	return a
}

// overloaded reports whether e is a rejection for overload. It is made before the
// command is examined, so it carries no information on earlier attempts.
func overloaded(e *pb.Error) bool { return e.Kind == string(errkind.Overloaded) }

// noAnswerError returns the refusal for a call that ended without an answer.
func noAnswerError(unknown bool) error {
	if unknown {
		return errkind.New(errkind.NoQuorum, "no leader of the control group answered before the deadline; the change may still take effect")
	}
	return errkind.New(errkind.NoQuorum, "no leader of the control group was found before the deadline; nothing was done").WithRan(errkind.RanNo)
}
