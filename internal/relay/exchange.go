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
	"github.com/bluebellsail/bluebellsail/internal/streamorigin"
)

// Request is a caller's request, decoded by the Dialect.
type Request struct {
	// ID is the caller's ID for this try; no other try has the same.
	ID string
	// Method, Target (path and query) and Host are as received. Header lacks the headers that
	// concern a single connection and those that the Dialect decodes and writes anew.
	Method string
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Key is the key of the client account; empty if none was given.
	Key string
	// CallerTimeout is how long the caller waits for the answer, counted from the request's
	// arrival; 0 if the caller did not specify it.
	CallerTimeout time.Duration
	// Model is the model that the request is for; empty for plain services.
	Model string
	// Prompt lists the parts of the prompt in order.
	Prompt []balance.Part
	// PromptTokens and OutputCap are upper bounds of the request's prompt and output, in tokens.
	PromptTokens, OutputCap uint64
	// OutputHint is the caller's estimate of the output's size in tokens; 0 if none.
	OutputHint uint64
	// ResumeAfter is the ID of the last event of a stream that the caller has; empty if none.
	ResumeAfter string
	// Resumes is the ID of the attempt that brought the first event of that stream, as the caller names
	// it; empty if it names none.
	Resumes string
}

// Exchange is a request on its way through the chain. The filters fill it in, from the outermost to
// the innermost. It is used by the request's goroutine only.
type Exchange struct {
	*Request
	Arrived  time.Time
	Deadline time.Time
	// LinkDelay is the estimated time that the request waited before it arrived, which counts
	// towards its timeout.
	LinkDelay time.Duration

	Table   *routes.Index
	Route   *routes.Route
	Account *routes.Account // nil on routes that need no key
	// Service is the routing table's entry of the service that the request is forwarded to.
	Service *routes.Service
	// QuarantineID identifies the request by its content. A caller that sends the same request
	// again uses another ID but gets the same QuarantineID.
	QuarantineID quarantine.ID
	// Admission reports the attempts to the quarantine; nil if there is no quarantine.
	Admission filter.Admission

	// Origin is where the stream began that the request resumes, or, once its first event was passed on, its
	// own; nil if that is not known. OriginFrom names the host that knew the origin of a resumed stream.
	Origin     *streamorigin.Origin
	OriginFrom string

	// Reserved is the number of reserved tokens. PromptConsumed is set once the request has
	// certainly begun to run, with the first part of its answer, or once it may have begun to run
	// at a server that did not answer. A request that was ended by its caller or its deadline
	// before that counts as not run. OutputTokens counts the tokens delivered to the caller.
	Reserved uint64
	// Holder is the host that holds the reservation, or that refused it.
	Holder         string
	PromptConsumed bool
	OutputTokens   uint64

	// Attempts lists the attempts made at backend servers.
	Attempts []Attempt
	// RefusedAfter is how long it took until no server was found for an attempt; 0 if all had one, or if
	// requests don't wait for room.
	RefusedAfter time.Duration
	// Begun is set once bytes of the answer were written to the caller's connection. Until then the
	// request can still be answered with a status of its own, whatever the outcome of its attempts.
	// From then on the caller can only be told of a failure by breaking the connection.
	Begun bool
	// BytesSent is the number of bytes of the answer's body sent to the caller.
	BytesSent int
	// Status is the HTTP status sent to the caller.
	Status int
	// Ending is how the request ended for the caller.
	Ending Ending
}

// SelectRoute sets the exchange's Table, Route and Service: it finds the request's route in the
// table and picks one of the route's services by weight.
func (x *Exchange) SelectRoute(table *routes.Index) error {
	x.Table = table
	route, err := table.Route(x.Host, x.Path)
	if err != nil {
		return err
	}
	name := route.Pick(rand.Uint64N(route.TotalWeight()))
	service, ok := table.Service(name)
	if !ok {
		return errkind.New(errkind.Internal, "route %q targets service %q, which is not in the table", route.Name, name)
	}
	x.Route, x.Service = route, service
	return nil
}

// SelectService sets the exchange's Service to one of the route's services. It returns false if the route
// does not lead to the named one.
func (x *Exchange) SelectService(name string) bool {
	service, known := x.Table.Service(name)
	if !known || !x.Route.LeadsTo(name) {
		return false
	}
	x.Service = service
	return true
}

// Ending is how a request ended for its caller. The list is closed.
type Ending string

// Endings.
const (
	// EndAnswered means that the caller received a server's whole answer.
	EndAnswered Ending = "answered"
	// EndRefused means that the caller received a refusal, which is an answer too.
	EndRefused Ending = "refused"
	// EndBrokenOff means that the answer was begun and could not be completed; the caller's
	// connection was closed to signal this.
	EndBrokenOff Ending = "broken_off"
	// EndAbandoned means that the caller left or the deadline passed while the answer was being
	// sent.
	EndAbandoned Ending = "left"
)

// Priority returns the request's priority, 0 being the highest: that of its client account or else
// that of its route.
func (x *Exchange) Priority() int {
	if x.Account != nil && x.Account.Priority != nil {
		return *x.Account.Priority
	}
	return x.Route.Priority
}

// HintIgnored reports whether the caller's estimate of the output is ignored because it is above the cap that
// the caller itself names.
func (x *Exchange) HintIgnored() bool { return x.OutputHint > x.OutputCap }

// Attempt describes one attempt at a backend server, for the log.
type Attempt struct {
	Server        string
	Version       string        // of the server's software
	Wait          time.Duration // predicted
	Cached        uint64
	Shared        uint64
	PreferredWait time.Duration // wait predicted at the preferred server of the shared parts
	Running       int
	// MemoryPermille is the share of the engine's memory that requests held when this one was assigned, in
	// thousandths; 0: not known.
	MemoryPermille uint32
	// Priority is the priority that was sent to the engine; negative: none.
	Priority  int
	FirstByte time.Duration // time to the answer's first byte
	Took      time.Duration
	// Cause is the outcome of the attempt. Detail is the text of its error, at most maxDetail
	// bytes.
	Cause  engineclient.Cause
	Detail string
	// Limit is the rate limit that the server had advertised when the request was sent.
	Limit ratelimit.Observation
	// CooldownLeft is the rest of the server's cooldown at the time the request was sent. Cooldown
	// is the cooldown that the server's answer asked for.
	CooldownLeft, Cooldown time.Duration
	// Waited is how long the request waited for room at the server, Ahead the number of requests that
	// waited when it came, and Owner the host that chose the server; empty: this one.
	Waited time.Duration
	Ahead  int
	Owner  string
	// Early is set if the server answered before the whole request was sent to it.
	Early bool
	// Via is the peer host through which the connection to the server went; empty: none.
	Via string
	// Events is the number of whole events of a stream that the caller received from the server.
	Events int
	// Framing is how the server marked the end of its answer; empty without an answer.
	Framing Framing
}

// MixedVersions reports whether the caller received events of a stream from servers of several software
// versions.
func (x *Exchange) MixedVersions() bool {
	first := ""
	seen := false
	for _, a := range x.Attempts {
		if a.Events == 0 {
			continue
		}
		if seen && a.Version != first {
			return true
		}
		first, seen = a.Version, true
	}
	return false
}

// Framing is how the sender of an answer marks the end of its body. The list is closed.
type Framing string

// Framings.
const (
	// FramedByLength: the answer has a Content-Length.
	FramedByLength Framing = "length"
	// FramedByChunks: the answer is chunked and ends with a last chunk.
	FramedByChunks Framing = "chunks"
	// Unframed: the answer ends when its connection does. The kernel closes the connections of a
	// process that crashes in the same way, so that a truncated answer may look whole.
	Unframed Framing = "none"
)

// FramingOf returns how the body of an answer is framed.
func FramingOf(res *http.Response) Framing {
	switch {
	case engineclient.Unframed(res):
		return Unframed
	case len(res.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByLength
}

// maxDetail bounds an error's text in the log, in bytes: it may quote what a server sent.
const maxDetail = 200

// SetOutcome records the attempt's outcome and, if it failed, the error.
func (a *Attempt) SetOutcome(cause engineclient.Cause, err error) {
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

// AccountName returns the name of the client account; empty without one.
func (x *Exchange) AccountName() string {
	if x.Account == nil {
		return ""
	}
	return x.Account.Name
}

type exchangeKey struct{}

// WithExchange returns a copy of ctx that carries x.
func WithExchange(ctx context.Context, x *Exchange) context.Context {
	return context.WithValue(ctx, exchangeKey{}, x)
}

// ExchangeFrom returns the Exchange carried by ctx; nil outside the chain.
func ExchangeFrom(ctx context.Context) *Exchange {
	x, _ := ctx.Value(exchangeKey{}).(*Exchange)
	return x
}
