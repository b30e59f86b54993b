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
)

// Dialect translates between HTTP as callers and backend servers speak it and the types
// of this package. It decides nothing.
type Dialect interface {
	// Decode reads a caller's request; an error is an *errkind.Error.
	Decode(r *http.Request, body []byte) (*Request, error)
	// Encode writes the headers of one attempt into h, which holds those to pass on.
	Encode(h http.Header, x *Exchange, out Outgoing)
	// Reply reads what a backend server says with its answer.
	Reply(res *http.Response) Reply
	// Refuse answers err to a caller.
	Refuse(w http.ResponseWriter, x *Exchange, err error)
}

// Outgoing is what an attempt tells a backend server besides the caller's request.
type Outgoing struct {
	// Instance that has to answer; another at its address must not run the request.
	Instance string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Account is the client account's name.
	Account string
	// Priority of the request among those at the server, 0 first; below 0: not said.
	Priority int
	// ResumeAfter asks for the events after this one.
	ResumeAfter string
}

// Reply is what a backend server's answer says beside its content.
type Reply struct {
	// ID of the request that it answers.
	ID string
	// NotRun: the server says that it did not run the request.
	NotRun bool
	// OtherInstance: the answer is of another instance than the one addressed.
	OtherInstance bool
	// Leaving: the server is about to end and takes no new requests.
	Leaving bool
	// Load is set if the server told it.
	Load *balance.Load
	// Limit is how many requests a second the server takes from all hosts together,
	// ratelimit.None if it names none. LimitUnreadable: it names one that is no number.
	Limit           float64
	LimitUnreadable bool
	// Cooldown is how long the server wants nothing from this host; 0: not said. CooldownUnreadable: it
	// names a time that can't be read.
	Cooldown           time.Duration
	CooldownUnreadable bool
}

// Tables gives the routing table in force.
type Tables interface {
	// Await is the table, or the refusal if there is none to serve under, nor in a moment.
	Await(ctx context.Context) (*routes.Index, error)
	// Newest is the table, confirmed lately to be the newest, by which a request may be refused
	// for what the table does not have. It may be newer than that of Await.
	Newest(ctx context.Context) (*routes.Index, error)
}

// Budgets sets tokens aside and bills what was used.
type Budgets interface {
	// Reserve blocks until tokens of the budget are set aside for the request, or refuses,
	// at the latest when ctx ends. It names the host that holds them, or refused.
	Reserve(ctx context.Context, budget, requestID string, tokens uint64) (holder string, err error)
	// Spend bills tokens out of the request's reservation and frees the rest.
	Spend(requestID string, tokens uint64)
}

// Balancer chooses backend servers.
type Balancer interface {
	// Acquire chooses a server for w.
	Acquire(ctx context.Context, w *balance.Work) (Lease, error)
}

// Lease is the place of one request at a server. Exactly one Done follows.
type Lease interface {
	Choice() balance.Choice
	// FirstByte tells that the first part of the answer has come.
	FirstByte()
	// Report tells the load that the server named.
	Report(balance.Load)
	// Cooldown tells that the server wants nothing from this host for so long, by its answer to a
	// request; CooldownUnreadable that it names a time which can't be read.
	CoolDown(d time.Duration, requestID string)
	CooldownUnreadable(requestID string)
	// Leaving tells that the server is about to end.
	Leaving()
	// WrongInstance tells that the address is not that of the instance any more.
	WrongInstance()
	Done(balance.Result)
}

// Retries bounds how many attempts the fleet makes beyond the first.
type Retries interface {
	// CountRequest counts a request for the service.
	CountRequest(service string)
	// Allow takes one further attempt from the allowance, or says no.
	Allow(service string) bool
}

// Limits knows the rate limits that servers name for themselves.
type Limits interface {
	// Observe takes what a server said with an answer.
	Observe(run instance.Incarnation, w ratelimit.Observation, requestID string)
	// Unreadable takes that a server named a limit that is no number.
	Unreadable(run instance.Incarnation, requestID string)
	// Sending notes that a request is sent to a server, and returns the server's limit.
	Sending(run instance.Incarnation, why ratelimit.Send) ratelimit.Observation
}

// Forwarder sends requests to backend servers; *engineclient.Client implements it.
type Forwarder interface {
	Forward(ctx context.Context, f *engineclient.Forward) (*http.Response, error)
}

// Observer is told of each finished exchange.
type Observer interface {
	Finished(x *Exchange, err error)
}
