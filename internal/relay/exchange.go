package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// Request is what a caller asked, decoded by the Dialect.
type Request struct {
	// ID is the caller's name for this try; no other try has the same.
	ID string
	// Method, Target (path and query), Host and Header as they came; Header without those
	// that concern one connection only, and without those that the Dialect decodes and
	// writes anew.
	Method string
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Key of the client account; empty: none given.
	Key string
	// Patience is how long the caller waits, from the request's arrival; 0: not said.
	Patience time.Duration
	// Model that the request is for; empty for plain services.
	Model string
	// Prompt lists the parts of the prompt in order.
	Prompt []balance.Part
	// PromptTokens and OutputCap are the size of the request at most, in tokens.
	PromptTokens, OutputCap uint64
	// OutputHint is the caller's guess of the output's size in tokens; 0: none.
	OutputHint uint64
	// ResumeAfter is the last event that the caller has of a stream; empty: none.
	ResumeAfter string
}

// Exchange is a request on its way through the chain. Filters fill it from the outside
// in; it belongs to the request's goroutine.
type Exchange struct {
	*Request
	Arrived  time.Time
	Deadline time.Time

	Table   *routes.Index
	Route   *routes.Route
	Account *routes.Account // nil on routes that need no key
	// Service that the request goes to, and the table's entry of it.
	Service *routes.Service
	// Asked names the request by what it asks: a caller that sends it again has another ID.
	Asked quarantine.ID
	// Pass to backend servers; nil: there is no quarantine.
	Pass filter.Pass

	// Reserved is how many tokens are set aside. Input is set once the request surely began
	// to run, with the first part of its answer, or may have done so at a server that did
	// not answer; a request that its caller or its deadline ended before has not run.
	// Output counts what was delivered.
	Reserved uint64
	// Holder is the host that holds the tokens, or refused them.
	Holder string
	Input  bool
	Output uint64

	// Attempts made at backend servers.
	Attempts []Attempt
	// Begun: bytes of the answer were handed to the caller's connection. Until then the
	// request can still be answered with a status of its own, whatever became of its
	// attempts; from then on only a broken connection tells the caller of a failure.
	Begun bool
	// Sent is how many bytes of the answer's body went to the caller.
	Sent int
	// Status that was answered.
	Status int
	// Ending is how the caller's side of the request ended.
	Ending Ending
}

// Use has the request served under a table: it finds the route, and picks the service.
func (x *Exchange) Use(table *routes.Index) error {
	x.Table = table
	route, err := table.Route(x.Host, x.Path)
	if err != nil {
		return err
	}
	name := route.Pick(rand.Uint64N(route.TotalWeight()))
	service, ok := table.Service(name)
	if !ok {
		return errkind.New(errkind.Internal, "route %q names service %q, which the table does not have", route.Name, name)
	}
	x.Route, x.Service = route, service
	return nil
}

// Ending says how the caller's side of a request ended. The list is closed.
type Ending string

// Endings.
const (
	// EndAnswered: the caller was given a server's whole answer.
	EndAnswered Ending = "answered"
	// EndRefused: the caller was given a refusal, which is an answer too.
	EndRefused Ending = "refused"
	// EndBrokenOff: the answer had begun and could not be finished; the caller's
	// connection was closed to tell it.
	EndBrokenOff Ending = "broken_off"
	// EndLeft: the caller had left or its time was over while its answer was under way.
	EndLeft Ending = "left"
)

// Priority of the request, 0 first: that of its client account or else of its route.
func (x *Exchange) Priority() int {
	if x.Account != nil && x.Account.Priority != nil {
		return *x.Account.Priority
	}
	return x.Route.Priority
}

// Attempt is one try at a backend server, for the log.
type Attempt struct {
	Server  string
	Wait    time.Duration // predicted
	Cached  uint64
	Shared  uint64
	Home    time.Duration // wait predicted at the home of the shared parts
	Running int
	First   time.Duration // to the answer's first byte
	Took    time.Duration
	// Cause is what became of the attempt, Detail the error's own words, maxDetail bytes
	// of them at most.
	Cause  engineclient.Cause
	Detail string
	// Limit is the rate limit that the server had named when the request was sent.
	Limit ratelimit.Observation
	// CooldownLeft is how much longer the server wanted nothing from this host when the request was
	// sent; Cooldown the time for which it does so with its answer.
	CooldownLeft, Cooldown time.Duration
	// Early: the server answered before it was sent the whole request.
	Early bool
}

// maxDetail bounds an error's words in the log, in bytes: they may quote what a server
// sent.
const maxDetail = 200

// Failed notes why the attempt failed.
func (a *Attempt) Failed(cause engineclient.Cause, err error) {
	a.Cause = cause
	if err == nil {
		return
	}
	detail := err.Error()
	if len(detail) > maxDetail {
		detail = strings.ToValidUTF8(detail[:maxDetail], "")
	}
	a.Detail = detail
}

// AccountName is the client account's name; empty without one.
func (x *Exchange) AccountName() string {
	if x.Account == nil {
		return ""
	}
	return x.Account.Name
}

type exchangeKey struct{}

// With returns ctx with x in it.
func With(ctx context.Context, x *Exchange) context.Context {
	return context.WithValue(ctx, exchangeKey{}, x)
}

// From returns the Exchange in ctx; nil outside the chain.
func From(ctx context.Context) *Exchange {
	x, _ := ctx.Value(exchangeKey{}).(*Exchange)
	return x
}
