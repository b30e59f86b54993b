package filter

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

// Quarantine keeps requests that crash servers away from backend servers.
type Quarantine interface {
	// Admit admits a request or rejects it. It may block until another execution of the same request
	// has ended or ctx ends.
	Admit(ctx context.Context, r quarantine.Request) (Admission, error)
	// AdmitResumed admits a request that resumes an execution that was admitted before.
	AdmitResumed(r quarantine.Request) Admission
}

// Admission is the permission of one request to use backend servers. It receives the outcomes of
// the request's attempts. Close must be called exactly once.
type Admission interface {
	// ServerReached records that an attempt reached a server.
	ServerReached()
	// ConnectionLost reports an attempt whose connection was ended by the server's side before the
	// answer was complete. It does not block.
	ConnectionLost(b ConnectionLoss)
	// AllowSend returns nil if the request may still be sent to a server after it has waited for one,
	// else the refusal.
	AllowSend(ctx context.Context) error
	// AllowRetry returns nil if there may be a further attempt after one that lost its connection,
	// else the refusal.
	AllowRetry(ctx context.Context) error
	// Answered records what a server has answered: once it goes on with a stream, and at the end.
	Answered(a ServerAnswer)
	// Status returns the request's quarantine status as of the last check.
	Status() quarantine.Status
	Close()
}

// ServerAnswer describes an answer of a server, as far as it has come.
type ServerAnswer struct {
	// Whole is set if the answer is known to be whole and is not a server error.
	Whole bool
	// Output is set if the server has shown that it does not crash as it begins to answer.
	Output bool
	// Software is what the server runs: service, version and model.
	Software string
}

// ConnectionLoss describes the unexpected end of an attempt's connection.
type ConnectionLoss struct {
	// Incarnation is the server's incarnation, and Address its address.
	Incarnation instance.Incarnation
	Address     string
	// HealthPath is the path at which the server reports whether it accepts requests.
	HealthPath string
	// Started is when the attempt began.
	Started time.Time
	// OtherRequests is the number of other requests that this host had at the server.
	OtherRequests int
	// Software is what the server ran: service, version and model. Output is set if the request had output
	// from it in this attempt.
	Software string
	Output   bool
	// MemoryFull reports whether the requests at the server were known to hold more than its memory, and may
	// have ended it. It becomes known some milliseconds after the loss; nil: not known.
	MemoryFull func() bool
	// RequestID is the ID of the request, for the log.
	RequestID string
}
