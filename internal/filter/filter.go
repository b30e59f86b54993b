// Package filter defines the filter chain for requests. Each filter is a package of its own below
// this one, with one type and one task. This package holds what they share: the Call they work on,
// the Handler they call next, and the interfaces through which they reach the host's state.
package filter

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Non-standard headers of the callers' API.
const (
	// HeaderTimeout is the time in milliseconds, counted from the request's arrival, within which
	// the caller must have the whole answer. It is relative, so that no clocks need to agree.
	HeaderTimeout = "Bluebellsail-Timeout-Ms"
	// HeaderNotIdempotent, if "true", marks a request that must run at most once.
	HeaderNotIdempotent = "Bluebellsail-Not-Idempotent"
	// HeaderRequestID is sent with every answer. Its value is the argument of `bluebellsail
	// explain`.
	HeaderRequestID = "Bluebellsail-Request-Id"
	// HeaderIdempotencyKey is the caller's idempotency key, or the one made by the first host.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Handler is the rest of the chain as a filter sees it. An error that is not an *errkind.Error is
// answered as Internal. Errors are answered in one place; a filter writes to w only as part of a
// successful answer.
type Handler interface {
	ServeHTTP(w http.ResponseWriter, r *http.Request) error
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(w http.ResponseWriter, r *http.Request) error

// ServeHTTP calls f.
func (f HandlerFunc) ServeHTTP(w http.ResponseWriter, r *http.Request) error { return f(w, r) }

// Filter is one element of the chain.
type Filter interface {
	ServeHTTP(w http.ResponseWriter, r *http.Request, next Handler) error
}

// Chain returns a Handler that runs filters in order and then last.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], h
		h = HandlerFunc(func(w http.ResponseWriter, r *http.Request) error {
			return f.ServeHTTP(w, r, next)
		})
	}
	return h
}

// WorkKind is the kind of backend server that a call needs.
type WorkKind int

// Kinds of work.
const (
	// WorkModel is a completion by a language model.
	WorkModel WorkKind = iota
	// WorkService is a call to a plain service.
	WorkService
)

// Call is one request on its way through the chain. The filters fill it in, from the outermost to
// the innermost. It is used by the request's goroutine only.
type Call struct {
	// ID is unique per arrival. Identity is account + "/" + idempotency key; it is the same for a
	// retry of the same request at any host.
	ID       string
	Identity string
	// KeyGiven is set if the caller sent an idempotency key.
	KeyGiven bool

	AccountName string
	Account     *settings.Account
	TeamName    string
	Team        *settings.Team
	// Revision is the revision of the settings under which the call is served.
	Revision uint64

	Kind       WorkKind
	Path       string // path at the backend server
	Model      string
	Service    string
	Adapter    string
	Stream     bool
	Idempotent bool
	Body       []byte
	BodyHash   uint64
	// PromptTokens is an upper bound of the prompt's tokens, computed before the call runs.
	// PromptHashes are the hashes of the prompt's successive prefix blocks, used to estimate cache
	// hits.
	PromptTokens uint64
	PromptHashes []uint64
	// SharedParts are the hashes of the parts of the prompt that other requests may share: its messages
	// but the last one.
	SharedParts []uint64
	// OutputCap is the output cap sent to the engine. PromptTokens + OutputCap is reserved.
	OutputCap uint64
	Reserved  uint64
	// ReservationHeld is set while the budget holds a reservation of Reserved tokens for ID.
	ReservationHeld bool

	Arrived  time.Time
	Deadline time.Time

	// Lease is the slot at a backend server acquired by the route filter.
	Lease ServerLease
	// Admission reports the attempts to the quarantine; nil if there is no quarantine.
	Admission Admission
	// Attempts is the number of attempts made at backend servers.
	Attempts int
	// Usage is the number of tokens used, as reported by the backend server or counted by this
	// host.
	Usage Usage
	// Dispatched is set if any byte of the request may have reached a backend server that has not
	// reported that it did not run the request.
	Dispatched bool
	// Outcome is the outcome of the last attempt.
	Outcome Outcome

	// Method and Query are those of a call to a plain service. ContentType is that of the caller's
	// body.
	Method      string
	Query       string
	ContentType string
	// WantsUsage is set if the caller asked for the usage chunk of a stream.
	WantsUsage bool

	// Record is the call's in-flight record, once one has been made.
	Record *pb.InflightRecord
	// Resume identifies the engine's stream of a former holder that this call continues; nil if
	// none.
	Resume *ResumePoint
	// TakenOver is set if this host took over the record of an earlier arrival.
	TakenOver bool
	// Answer is what was sent to the caller.
	Answer Answer
	// NoRetry is set if no further attempt may be made, since the caller has part of an answer that
	// another run does not repeat.
	NoRetry bool
	// Replayed is set if the answer is that of an earlier arrival, whose record stays as it is.
	Replayed bool

	// Notes records the decisions made for the call, for explain.
	Notes []Note
}

// ResumePoint identifies a run at a backend server whose output can be read again from its start.
type ResumePoint struct {
	Server          string
	EngineRequestID string
}

// Answer is what has been sent to the caller so far.
type Answer struct {
	// Begun is set once the status line was sent. From then on a refusal can only be sent as the
	// last event of a stream.
	Begun       bool
	Status      int
	ContentType string
	// Body is kept for callers that ask again, up to a size limit. Truncated is set if the body
	// exceeded the limit and was dropped.
	Body      []byte
	Truncated bool
	// Tokens is the number of tokens relayed of a stream, and TextHash the hash of their texts: a
	// second run is relayed further only if it repeats what the caller has.
	Tokens   uint64
	TextHash uint64
}

// Usage is the number of tokens used by a run.
type Usage struct{ Prompt, Output uint64 }

// Note describes one decision with the figures it was based on.
type Note struct {
	At   time.Time
	Step string
	Text string
}

// Note appends a decision to the call's notes.
func (c *Call) Note(at time.Time, step, text string) {
	c.Notes = append(c.Notes, Note{At: at, Step: step, Text: text})
}

// NextRecord makes and returns the next version of the call's in-flight record. Versions passed to
// Records are not modified afterwards.
func (c *Call) NextRecord() *pb.InflightRecord {
	rec := proto.CloneOf(c.Record)
	rec.Version++
	c.Record = rec
	return rec
}

// Clock provides the time. The zero value uses time.Now.
type Clock struct{ NowFunc func() time.Time }

// Now returns the current time.
func (c Clock) Now() time.Time {
	if c.NowFunc == nil {
		return time.Now()
	}
	return c.NowFunc()
}

type callKey struct{}

// WithCall returns a copy of ctx that carries c.
func WithCall(ctx context.Context, c *Call) context.Context {
	return context.WithValue(ctx, callKey{}, c)
}

// CallFrom returns the Call carried by ctx; nil outside the chain.
func CallFrom(ctx context.Context) *Call {
	c, _ := ctx.Value(callKey{}).(*Call)
	return c
}

// Settings provides the settings in force as known to the host.
type Settings interface {
	// AccountByKey returns the client account whose key hashes contain hash (hex SHA-256).
	AccountByKey(hash string) (name string, a *settings.Account, ok bool)
	// Team returns the team's settings with their defaults filled in.
	Team(name string) (*settings.Team, bool)
	Fleet() settings.Fleet
	Revision() uint64
	// Ready returns nil, or the refusal while the host is not yet or no longer allowed to serve.
	Ready() error
	// InContact returns nil if the settings were recently confirmed to be the newest, and otherwise
	// an error. A request for something that the settings lack is then refused with this error and
	// not as unknown, since newer settings may have it.
	InContact() error
}

// Budget reserves tokens of a budget and settles what was used. Implementations never reserve more
// than the control group granted to this holder.
type Budget interface {
	// Reserve blocks until tokens are reserved for requestID, or returns a refusal
	// (BudgetExhausted, BudgetUnreachable, BudgetUnknown), at the latest when ctx ends.
	Reserve(ctx context.Context, budget, requestID string, tokens uint64) error
	// Settle bills bill.Tokens from the reservation and frees the rest. If bill.Tokens exceeds the
	// reservation, only the reservation is billed.
	Settle(bill *pb.Bill)
	// Release frees the reservation of a request that certainly did not run.
	Release(requestID string)
}

// Records keeps in-flight records at this host and copies of them at peers.
type Records interface {
	// Begin stores the record at this host and at the peers it is copied to. If the identity is
	// already known, here or at a peer, it returns the known record, and begun is false.
	Begin(ctx context.Context, rec *pb.InflightRecord, copies int) (existing *pb.InflightRecord, begun bool, err error)
	// Takeover makes this host the holder of a record whose holder died. rec continues the dead
	// holder's record under a request ID of this host.
	Takeover(ctx context.Context, rec *pb.InflightRecord, copies int) error
	// Update replaces the record at this host and, shortly after, its copies.
	Update(rec *pb.InflightRecord)
	// Abandon removes the record of a request that certainly did not run.
	Abandon(identity, requestID string)
	// Find looks up the identity at this host and at the peers that would hold its record.
	Find(ctx context.Context, identity string) (*pb.InflightRecord, bool, error)
}

// Claims commits the single run of a request that is marked as not idempotent.
type Claims interface {
	Claim(ctx context.Context, identity, requestID string) (*pb.ClaimResult, error)
	Finish(ctx context.Context, identity, requestID string, state pb.ClaimState) error
}

// Hosts reports whether the holder of an in-flight record is still alive.
type Hosts interface {
	// Self returns the holder that is the current incarnation of this host.
	Self() *pb.Holder
	// Alive returns false for a holder that is considered dead.
	Alive(h *pb.Holder) bool
}

// Work is what the scheduler needs to know about a call.
type Work struct {
	ID           string
	Account      string
	Weight       int
	Team         string
	Priority     settings.Priority
	Kind         WorkKind
	Target       string // model or service
	Adapter      string
	PromptTokens uint64
	OutputCap    uint64
	PromptHashes []uint64
	Deadline     time.Time
	// Exclude lists the addresses of the backend servers that have failed this call.
	Exclude []string
	// Prefer is the address of the server that holds the stream or the KV cache.
	Prefer string
}

// Scheduler admits work, queues it and assigns it a slot at a backend server.
type Scheduler interface {
	// Acquire blocks until a backend server has a free slot for w, or returns a refusal: at once if
	// the deadline can't be met (DeadlineUnreachable), the queue is full (Overloaded) or no server
	// is available (NoBackendServer, UnknownModel, UnknownService).
	Acquire(ctx context.Context, w Work) (ServerLease, error)
}

// ServerLease is a slot at a backend server. Done must be called exactly once.
type ServerLease interface {
	Address() string
	Server() *pb.ServerState
	// Reason describes why the server was chosen, with the figures, for explain.
	Reason() string
	// FirstToken reports the time from dispatch to the first token.
	FirstToken(d time.Duration)
	// Done reports how the run ended and frees the slot.
	Done(o Outcome)
}

// Outcome is the outcome of one attempt at a backend server.
type Outcome struct {
	OK bool
	// Silent is set if the connection received no byte for longer than allowed.
	Silent bool
	// Refused is set if the server rejected the request without running it.
	Refused bool
	Usage   Usage
	Took    time.Duration
}

// Retries tracks the teams' retry allowances.
type Retries interface {
	// CountRequest counts the first attempt of a request of the team.
	CountRequest(team string)
	// Allow takes one retry from the team's allowance and reports whether there was one.
	Allow(team string, r settings.Retry) bool
}

// Explainer stores the decisions made for finished calls.
type Explainer interface {
	Record(c *Call, status int, err error)
}
