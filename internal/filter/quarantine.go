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
	Admit(ctx context.Context, id quarantine.ID) (Admission, error)
	// AdmitResumed admits a request that resumes an execution that was admitted before.
	AdmitResumed(id quarantine.ID) Admission
}

// Admission is the permission of one request to use backend servers. It receives the outcomes of
// the request's attempts. Close must be called exactly once.
type Admission interface {
	// ServerReached records that an attempt reached a server.
	ServerReached()
	// ConnectionLost reports an attempt whose connection was ended by the server's side before the
	// answer was complete. It does not block.
	ConnectionLost(b ConnectionLoss)
	// AllowRetry returns nil if there may be a further attempt after one that lost its connection,
	// else the refusal.
	AllowRetry(ctx context.Context) error
	// Answered records that a server sent its whole answer.
	Answered()
	// Status returns the request's quarantine status as of the last check.
	Status() quarantine.Status
	Close()
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
	// RequestID is the ID of the request, for the log.
	RequestID string
}
