// Package filter is the frame of the request chain. Each filter is a package of
// its own below this one, with one type and one job; this package holds what they
// share: the Call they work on, the Handler they call next, and the ports through
// which they reach the host's state.
package filter

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Headers of the callers' API that are not standard.
const (
	// HeaderTimeout is the time in milliseconds, from the request's arrival, in which
	// the whole answer must be with the caller. It is relative, so that no clocks need agree.
	HeaderTimeout = "Bluebellsail-Timeout-Ms"
	// HeaderNotIdempotent set to "true" marks a request that must run at most once.
	HeaderNotIdempotent = "Bluebellsail-Not-Idempotent"
	// HeaderRequestID is returned with every answer; `bluebellsail explain` takes it.
	HeaderRequestID = "Bluebellsail-Request-Id"
	// HeaderIdempotencyKey is the caller's key, or the one the first host made.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Handler is the rest of the chain as a filter sees it. An error that is not an
// *errkind.Error is answered as Internal. Errors carry their status to one place
// that answers; a filter writes to w only what belongs to a success.
type Handler interface {
	ServeHTTP(w http.ResponseWriter, r *http.Request) error
}

// HandlerFunc makes a function a Handler.
type HandlerFunc func(w http.ResponseWriter, r *http.Request) error

// ServeHTTP calls f.
func (f HandlerFunc) ServeHTTP(w http.ResponseWriter, r *http.Request) error { return f(w, r) }

// Filter is one link of the chain.
type Filter interface {
	ServeHTTP(w http.ResponseWriter, r *http.Request, next Handler) error
}

// Chain joins filters, first first, in front of last.
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

// WorkKind says which kind of backend a call is for.
type WorkKind int

// Kinds of work.
const (
	// WorkModel is a completion by a language model.
	WorkModel WorkKind = iota
	// WorkService is a call of a plain service.
	WorkService
)

// Call is one request on its way through the chain. Filters fill it from the
// outside in; it belongs to the request's goroutine.
type Call struct {
	// ID is unique per arrival; Identity is account + "/" + idempotency key and is
	// the same for a retry of the same request at any host.
	ID       string
	Identity string
	// KeyGiven tells whether the caller gave the idempotency key.
	KeyGiven bool

	AccountName string
	Account     *settings.Account
	TeamName    string
	Team        *settings.Team
	// Revision of the settings the call is served under.
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
	// PromptTokens is the estimate before, PromptHashes the hashes of the prompt's
	// successive prefix blocks, for cache knowledge.
	PromptTokens uint64
	PromptHashes []uint64
	// OutputCap is sent to the engine; PromptTokens bound + OutputCap is reserved.
	OutputCap uint64
	Reserved  uint64
	// ReservationHeld: the budget has set Reserved aside for ID.
	ReservationHeld bool

	Arrived  time.Time
	Deadline time.Time

	// Lease is the backend server's room taken by the route filter.
	Lease ServerLease
	// Admission to backend servers; nil: there is no quarantine.
	Admission Admission
	// Attempts made at backend servers.
	Attempts int
	// Usage is what the backend server reported or what was counted.
	Usage Usage
	// Dispatched tells whether any byte of the request may have reached a backend
	// server that has not said that it didn't run it.
	Dispatched bool
	// Outcome of the last attempt.
	Outcome Outcome

	// Method and Query of a plain service's call; ContentType of the caller's body.
	Method      string
	Query       string
	ContentType string
	// WantsUsage: the caller asked for the usage chunk of a stream.
	WantsUsage bool

	// Record is the call's in-flight record, once begun.
	Record *pb.InflightRecord
	// Resume names the engine's stream of a former holder that this call takes over.
	Resume *ResumePoint
	// TakenOver: this host has taken the record of an earlier run over.
	TakenOver bool
	// Answer is what the caller was sent.
	Answer Answer
	// NoRetry: no further attempt may be made, since the caller has part of an answer
	// that another run does not repeat.
	NoRetry bool
	// Replayed: the answer is that of an earlier arrival, whose record stands.
	Replayed bool

	// Span-like record of decisions for explain.
	Notes []Note
}

// ResumePoint is a run at a backend server that can be read again from its start.
type ResumePoint struct {
	Server          string
	EngineRequestID string
}

// Answer is what has been sent to the caller so far.
type Answer struct {
	// Begun: the status line has left, so a refusal can only be the stream's last event.
	Begun       bool
	Status      int
	ContentType string
	// Body is kept up to a bound for callers that ask again; Truncated: it went past.
	Body      []byte
	Truncated bool
	// Tokens relayed of a stream, and the hash of their texts: a second run is
	// continued only if it repeats what the caller has.
	Tokens   uint64
	TextHash uint64
}

// Usage of a finished run, in tokens.
type Usage struct{ Prompt, Output uint64 }

// Note is one decision with the figures it was made on.
type Note struct {
	At   time.Time
	Step string
	Text string
}

// Note appends a decision to the call's record.
func (c *Call) Note(at time.Time, step, text string) {
	c.Notes = append(c.Notes, Note{At: at, Step: step, Text: text})
}

// NextRecord makes the next version of the call's in-flight record. Versions handed
// to Records are never changed afterwards.
func (c *Call) NextRecord() *pb.InflightRecord {
	rec := proto.CloneOf(c.Record)
	rec.Version++
	c.Record = rec
	return rec
}

// Clock gives the time. Its zero value is the machine's clock.
type Clock struct{ NowFunc func() time.Time }

// Now is the present time.
func (c Clock) Now() time.Time {
	if c.NowFunc == nil {
		return time.Now()
	}
	return c.NowFunc()
}

type callKey struct{}

// WithCall returns r's context with c in it.
func WithCall(ctx context.Context, c *Call) context.Context {
	return context.WithValue(ctx, callKey{}, c)
}

// CallFrom returns the Call in ctx; nil outside the chain.
func CallFrom(ctx context.Context) *Call {
	c, _ := ctx.Value(callKey{}).(*Call)
	return c
}

// Settings is the host's view of the settings in force.
type Settings interface {
	// AccountByKey finds the client account whose key hashes contain hash (hex SHA-256).
	AccountByKey(hash string) (name string, a *settings.Account, ok bool)
	// Team returns the team's settings with their defaults filled in.
	Team(name string) (*settings.Team, bool)
	Fleet() settings.Fleet
	Revision() uint64
	// Ready is nil, or the refusal while the host may not serve yet or any more.
	Ready() error
	// InContact is nil while the settings were confirmed lately to be the newest, else the
	// refusal in place of one for what the settings do not have: newer ones may have it.
	InContact() error
}

// Budget sets tokens of a budget aside and settles what was used. Implementations
// never let more be reserved than the control group granted to this holder.
type Budget interface {
	// Reserve blocks until tokens are set aside for requestID, or returns a refusal
	// (BudgetExhausted, BudgetUnreachable, BudgetUnknown), at the latest when ctx ends.
	Reserve(ctx context.Context, budget, requestID string, tokens uint64) error
	// Settle bills bill.Tokens out of the reservation and frees the rest. bill.Tokens
	// above the reservation is cut to it.
	Settle(bill *pb.Bill)
	// Release frees a reservation whose request surely did not run.
	Release(requestID string)
}

// Records keeps in-flight records here and at peers.
type Records interface {
	// Begin makes the record known here and at the peers it is copied to. If the identity
	// is known already, here or at a peer, it returns that record and begun is false.
	Begin(ctx context.Context, rec *pb.InflightRecord, copies int) (existing *pb.InflightRecord, begun bool, err error)
	// Takeover makes this host the owner of a record whose owner died. rec goes on from
	// the dead owner's record under a request id of this host.
	Takeover(ctx context.Context, rec *pb.InflightRecord, copies int) error
	// Update replaces the record here and, soon, at its copies.
	Update(rec *pb.InflightRecord)
	// Abandon removes a record whose request surely did not run.
	Abandon(identity, requestID string)
	// Find looks the identity up here and at the peers that would hold it.
	Find(ctx context.Context, identity string) (*pb.InflightRecord, bool, error)
}

// Claims commits the single run of a request marked not idempotent.
type Claims interface {
	Claim(ctx context.Context, identity, requestID string) (*pb.ClaimResult, error)
	Finish(ctx context.Context, identity, requestID string, state pb.ClaimState) error
}

// Hosts tells whether a holder of in-flight records is still at work.
type Hosts interface {
	// Self is this run of this host.
	Self() *pb.Holder
	// Alive is false only for a holder that counts as dead.
	Alive(h *pb.Holder) bool
}

// Work is what scheduling needs to know of a call.
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
	// Exclude lists addresses of backend servers that failed this call already.
	Exclude []string
	// Prefer is the address of the server that holds the stream or the KV cache.
	Prefer string
}

// Scheduler admits work, queues it and gives it room at a backend server.
type Scheduler interface {
	// Acquire blocks until a backend server has room for w, or refuses: at once when the
	// deadline can't be met (DeadlineUnreachable), the queue is full (Overloaded) or no
	// server is there (NoBackendServer, UnknownModel, UnknownService).
	Acquire(ctx context.Context, w Work) (ServerLease, error)
}

// ServerLease is room at one backend server. Exactly one Done follows.
type ServerLease interface {
	Address() string
	Server() *pb.ServerState
	// Reason is the choice in words, with its figures, for explain.
	Reason() string
	// FirstToken reports the time from dispatch to the first token.
	FirstToken(d time.Duration)
	// Done reports how the run ended and frees the room.
	Done(o Outcome)
}

// Outcome of one attempt at a backend server.
type Outcome struct {
	OK bool
	// Silent: the connection gave no byte for longer than allowed.
	Silent bool
	// Refused: the server refused before running.
	Refused bool
	Usage   Usage
	Took    time.Duration
}

// Retries holds the teams' retry allowances.
type Retries interface {
	// CountRequest counts a first try of the team.
	CountRequest(team string)
	// Allow takes one retry from the team's allowance, or says no.
	Allow(team string, r settings.Retry) bool
}

// Explainer keeps what was decided for finished calls.
type Explainer interface {
	Record(c *Call, status int, err error)
}
