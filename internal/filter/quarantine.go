package filter

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

// Quarantine keeps requests from backend servers that crash the servers which run them.
type Quarantine interface {
	// Admit lets a request pass, or refuses it. It may block until another run of the same
	// request has ended, or ctx ends.
	Admit(ctx context.Context, id quarantine.ID) (Admission, error)
	// AdmitResumed lets a request pass that goes on with a run which was admitted before.
	AdmitResumed(id quarantine.ID) Admission
}

// Admission is the way of one request to backend servers. Exactly one Close follows.
type Admission interface {
	// ServerReached tells that an attempt reached a server.
	ServerReached()
	// ConnectionLost tells of an attempt whose connection the server's side ended before its answer
	// was whole. It does not block.
	ConnectionLost(b ConnectionLoss)
	// AllowRetry asks whether there may be a further attempt after one that broke.
	AllowRetry(ctx context.Context) error
	// Answered tells that a server gave its whole answer.
	Answered()
	// Status of the request when it was last asked for.
	Status() quarantine.Status
	Close()
}

// ConnectionLoss is the end of an attempt's connection.
type ConnectionLoss struct {
	// Incarnation of the server, at an address.
	Incarnation instance.Incarnation
	Address     string
	// HealthPath is where the server says whether it takes requests.
	HealthPath string
	// Started is when the attempt did.
	Started time.Time
	// OtherRequests is how many other requests this host had at the server.
	OtherRequests int
	// RequestID for the log.
	RequestID string
}
