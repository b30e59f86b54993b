package adminapi

import (
	"context"
	"encoding/json"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Group reaches the control group: a client of it on an entry host, the replica
// itself on a control host. A refusal of the group's state stands in the result or is
// returned as an *errkind.Error; any other error means that no answer came.
type Group interface {
	// Propose commits a command. After an error the command may still take effect,
	// unless the error says that it did not run.
	Propose(ctx context.Context, c *pb.Command) (*pb.CommandResult, error)
	// Read answers from the leader's state; never from a stale one.
	Read(ctx context.Context, q *pb.Query) (*pb.QueryResult, error)
	// ChangeMembers adds a learner, promotes it or removes a replica.
	ChangeMembers(ctx context.Context, r *pb.ChangeMembersRequest) (*pb.ChangeMembersReply, error)
}

// Fleet is what this host knows of the others without asking the control group.
type Fleet interface {
	// Self is this host's own state.
	Self() *pb.HostState
	// Hosts are all hosts heard of, this one included. HeardMs is the time since the
	// last word of the host, in milliseconds.
	Hosts() []*pb.HostState
	// Servers are the backend servers whose announcements are known here.
	Servers() []*pb.ServerState
}

// Explainer finds what was decided for a request, on this host or at its peers.
type Explainer interface {
	// Explain returns a JSON object, or a refusal of the kind NotFound. id is a request
	// id or an identity.
	Explain(ctx context.Context, id string) (json.RawMessage, error)
}

// Orders sends orders to backend servers under a fencing number.
type Orders interface {
	// Order commits o, sends it to its server and returns its fencing number.
	Order(ctx context.Context, opID, actor string, o *pb.PlaceOrder) (*pb.PlaceOrderResult, error)
}
