package adminapi

import (
	"context"
	"encoding/json"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Group gives access to the control group: through a client on an entry host, through the
// local replica on a control host. If the group's state machine rejects a request, the
// refusal is either in the result or returned as an *errkind.Error. Any other error means
// that the group did not answer.
type Group interface {
	// Propose commits a command. After an error the command may still take effect, unless
	// the error states that it was not executed.
	Propose(ctx context.Context, c *pb.Command) (*pb.CommandResult, error)
	// Read answers from the leader's state, never from a stale copy.
	Read(ctx context.Context, q *pb.Query) (*pb.QueryResult, error)
	// ChangeMembers adds a learner, promotes it or removes a replica.
	ChangeMembers(ctx context.Context, r *pb.ChangeMembersRequest) (*pb.ChangeMembersReply, error)
}

// Fleet is this host's view of the fleet, which needs no contact with the control group.
type Fleet interface {
	// Self returns this host's own state.
	Self() *pb.HostState
	// Hosts returns all known hosts, this one included. HeardMs is the time since the
	// last heartbeat of the host, in milliseconds.
	Hosts() []*pb.HostState
	// Servers returns the backend servers whose announcements this host has.
	Servers() []*pb.ServerState
}

// Explainer finds the decisions made for a request, on this host or on its peers.
type Explainer interface {
	// Explain returns a JSON object, or an error of the kind NotFound. id is a request id or
	// an identity.
	Explain(ctx context.Context, id string) (json.RawMessage, error)
}

// Orders sends orders to backend servers, each with a fencing number.
type Orders interface {
	// Order commits o, sends it to its server and returns its fencing number.
	Order(ctx context.Context, opID, actor string, o *pb.PlaceOrder) (*pb.PlaceOrderResult, error)
}
