package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/streamorigin"
)

// Dialect translates between HTTP as callers and backend servers use it and the types of this
// package. It makes no decisions.
type Dialect interface {
	// Decode reads a caller's request. Its errors are of type *errkind.Error.
	Decode(r *http.Request, body []byte) (*Request, error)
	// Encode writes the headers of one attempt into h, which already holds the headers to pass on.
	Encode(h http.Header, x *Exchange, out Outgoing)
	// Reply reads the headers of a backend server's answer.
	Reply(res *http.Response) Reply
	// EndToEnd reports whether a header field, in canonical form, is part of the protocol. A sender that names such a field
	// in Connection can't have it dropped on the way.
	EndToEnd(name string) bool
	// Refuse writes err to the caller as a refusal.
	Refuse(w http.ResponseWriter, x *Exchange, err error)
}

// Outgoing holds what an attempt sends to a backend server in addition to the caller's request.
type Outgoing struct {
	// Instance is the ID of the instance that has to answer. Another instance at its address must
	// not run the request.
	Instance string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Account is the name of the client account.
	Account string
	// Priority is the priority of the request among those at the server, 0 being the highest.
	// Negative means that no priority is sent.
	Priority int
	// ResumeAfter is the ID of the stream event after which the server is asked to resume.
	ResumeAfter string
}

// Reply holds what a backend server reports in the headers of its answer.
type Reply struct {
	// ID is the ID of the request that the server answers.
	ID string
	// NotRun is set if the server reports that it did not run the request.
	NotRun bool
	// OtherInstance is set if another instance than the one addressed answered.
	OtherInstance bool
	// Leaving is set if the server is about to stop and takes no new requests.
	Leaving bool
	// Load is the load that the server reports; nil if it reports none.
	Load *balance.Load
	// Limit is the rate limit that the server advertises, in requests per second from all hosts
	// together; ratelimit.None if it advertises none. LimitUnreadable is set if the advertised
	// limit is not a number.
	Limit           float64
	LimitUnreadable bool
	// Brittle is the number of rejections in one second that the server tolerates, ratelimit.None if
	// it is not brittle. BrittleUnreadable is set if the advertised number can't be parsed.
	Brittle           float64
	BrittleUnreadable bool
	// Cooldown is the time for which the server asks this host to send it nothing; 0 if it does not
	// ask for a cooldown. CooldownUnreadable is set if the advertised time can't be parsed.
	Cooldown           time.Duration
	CooldownUnreadable bool
}

// Tables provides the routing table in force.
type Tables interface {
	// Await returns the table in force, after a short wait while the host is starting. It returns a
	// refusal if there is no table to serve under.
	Await(ctx context.Context) (*routes.Index, error)
	// Newest returns the table in force if it was recently confirmed to be the newest one, else a
	// refusal. Requests may be rejected for what this table lacks. It may be newer than the table
	// that Await returned.
	Newest(ctx context.Context) (*routes.Index, error)
}

// Budgets reserves tokens and bills those used.
type Budgets interface {
	// Reserve blocks until tokens of the budget are reserved for the request, or returns a refusal,
	// at the latest when ctx ends. It returns the host that holds the reservation, or that refused
	// it.
	Reserve(ctx context.Context, budget, requestID string, tokens uint64) (holder string, err error)
	// Spend bills tokens from the request's reservation and frees the rest.
	Spend(requestID string, tokens uint64)
}

// Origins keeps where streams began, so that they are resumed at the same software version.
type Origins interface {
	// Record records that the stream that an attempt of a client account began has its first event from
	// the origin. The stream may be resumed for the given lifetime. Record does not block.
	Record(account, attempt string, o streamorigin.Origin, lifetime time.Duration)
	// Find returns the origin of the stream that an attempt began and the host that knew it, or a refusal
	// if it is not known.
	Find(ctx context.Context, account, attempt string) (o streamorigin.Origin, from string, err error)
}

// Versions tells which software versions the backend servers of a service run anywhere in the fleet.
type Versions interface {
	// Sole returns the only version of a service at which streams can have begun before the call, or a refusal if there
	// are several, or if there may be others.
	Sole(ctx context.Context, service string) (version string, err error)
	// Share has other hosts know of a version of a service before a stream begins at it, so that their Sole takes it
	// into account. If they can't be reached, shared is false and others are the versions that they know.
	Share(ctx context.Context, service, version string) (shared bool, others []string)
}

// Balancer chooses backend servers.
type Balancer interface {
	// Acquire chooses a server for w.
	Acquire(ctx context.Context, w *balance.Work) (Lease, error)
}

// Lease is the assignment of one request to a server. Done must be called exactly once.
type Lease interface {
	Choice() balance.Choice
	// Version returns the software version of the server; known is false if it may be another one by now.
	Version() (version string, known bool)
	// FirstByte records that the first part of the answer has arrived.
	FirstByte()
	// Report records the load that the server reported.
	Report(balance.Load)
	// CoolDown records that the server's answer to a request asked this host to send it nothing for
	// d. CooldownUnreadable records that the time in such an answer can't be parsed.
	CoolDown(d time.Duration, requestID string)
	CooldownUnreadable(requestID string)
	// Leaving records that the server is about to stop.
	Leaving()
	// WrongInstance records that the address no longer belongs to the instance.
	WrongInstance()
	// Output records how many tokens the answer has had. It is called before Done, if that is known.
	Output(tokens uint64)
	Done(balance.Result)
	// MemoryFull reports whether the requests at the engine were known to hold more than its memory when
	// this one ended. It is called after Done, and becomes known up to a few milliseconds later.
	MemoryFull() bool
}

// Retries limits how many attempts the fleet makes beyond the first of each request.
type Retries interface {
	// CountRequest counts a request for the service.
	CountRequest(service string)
	// Allow takes one further attempt of a request from the allowance; nil if there is none.
	Allow(service, requestID string) Retry
}

// Retry is an attempt that was taken from the allowance. Either Sent or Return must be called, once.
type Retry interface {
	// Sent records that the request is sent to a server now.
	Sent()
	// Return gives the attempt back, because nothing was sent.
	Return()
}

// Limits tracks what backend servers advertise in their answers about the load that they accept.
type Limits interface {
	// Observe records the rate limit observed in an answer.
	Observe(inc instance.Incarnation, obs ratelimit.Observation, requestID string)
	// RecordUnreadable records that a server advertised a limit that is not a number.
	RecordUnreadable(inc instance.Incarnation, requestID string)
	// ObserveBrittle records the number of rejections in one second that a server tolerates, as
	// observed in an answer. RecordBrittleUnreadable records that the number can't be parsed.
	ObserveBrittle(inc instance.Incarnation, obs ratelimit.Observation, requestID string)
	RecordBrittleUnreadable(inc instance.Incarnation, requestID string)
	// RecordSend records that a request is sent to a server, and returns the server's rate limit.
	RecordSend(inc instance.Incarnation, reason ratelimit.Send) ratelimit.Observation
}

// Forwarder sends requests to backend servers; *engineclient.Client implements it.
type Forwarder interface {
	Forward(ctx context.Context, f *engineclient.Forward) (*http.Response, error)
}

// Pacer bounds what is held for callers and backend servers that read slowly.
type Pacer interface {
	// Write waits until part of an answer of n bytes may be written to w and returns how many bytes
	// that are, at least one. done is to be called after the write. It returns an error if ctx ends or
	// the caller's connection closes first.
	Write(ctx context.Context, w http.ResponseWriter, account, requestID string, n int) (taken int, done func(), err error)
	// Ahead returns room for an answer that is read before it is written.
	Ahead(account string) AheadRoom
	// Body takes room for a request's body of n bytes until release is called, which may be called
	// more than once. It returns a refusal if there is none.
	Body(ctx context.Context, account, requestID string, n int) (release func(), err error)
}

// AheadRoom is room for one answer.
type AheadRoom interface {
	// Take takes n more bytes if there is room for them now.
	Take(n int) bool
	// Close gives back all bytes.
	Close()
}

// Observer is notified of each finished exchange.
type Observer interface {
	Finished(x *Exchange, err error)
}
