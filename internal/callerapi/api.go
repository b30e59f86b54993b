// Package callerapi is the HTTP API for callers and for backend servers that announce
// themselves. Work goes through the filter chain.
//
// The order of the chain, and why:
//
//   - callergone: everything behind it waits with a context that ends when the caller
//     goes.
//   - identify, limit, deadline, parse: cheap checks that need no other host.
//   - idempotency: before budget, since a replay or a take-over must not be refused
//     for want of tokens, and before anything is dispatched, so that peers know of the
//     run.
//   - settle: inside idempotency, so that a replay is not billed, and around budget,
//     so that each reservation ends.
//   - quarantine: before budget and claim, which a call that is refused must not take.
//   - budget: before claim, which costs a commit of the quorum; a call without tokens
//     should not take it.
//   - claim: before any byte goes out, and around route, so that one claim holds for
//     all attempts.
//   - route, dispatch: attempts at backend servers.
package callerapi

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/filter/budget"
	"github.com/bluebellsail/bluebellsail/internal/filter/callergone"
	"github.com/bluebellsail/bluebellsail/internal/filter/claim"
	"github.com/bluebellsail/bluebellsail/internal/filter/deadline"
	"github.com/bluebellsail/bluebellsail/internal/filter/dispatch"
	"github.com/bluebellsail/bluebellsail/internal/filter/idempotency"
	"github.com/bluebellsail/bluebellsail/internal/filter/identify"
	"github.com/bluebellsail/bluebellsail/internal/filter/limit"
	"github.com/bluebellsail/bluebellsail/internal/filter/parse"
	"github.com/bluebellsail/bluebellsail/internal/filter/quarantine"
	"github.com/bluebellsail/bluebellsail/internal/filter/route"
	"github.com/bluebellsail/bluebellsail/internal/filter/settle"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/membership"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Paths besides those of the work.
const (
	PathModels      = "/v1/models"
	PathAddresses   = "/v1/addresses"
	PathAnnounce    = "/v1/announce"
	PathCacheEvents = "/v1/cache-events"
	PathHealth      = "/healthz"
)

// Registry takes what backend servers say of themselves.
type Registry interface {
	// Announce is false for an announcement older than what is known.
	Announce(st *pb.ServerState) bool
	CacheEvent(ev backend.CacheEvent)
}

// Addresses names the hosts that a caller in an availability zone should use.
type Addresses interface {
	Addresses(zone string) []membership.Address
}

// Models lists the models in service.
type Models interface {
	Models() []string
}

// Deps are the ports that the API works on.
type Deps struct {
	Settings  filter.Settings
	Budget    filter.Budget
	Records   filter.Records
	Hosts     filter.Hosts
	Claims    filter.Claims
	Scheduler filter.Scheduler
	Retries   filter.Retries
	// Quarantine keeps calls from servers; nil: none.
	Quarantine filter.Quarantine
	Explainer  filter.Explainer
	Registry   Registry
	Addresses  Addresses
	Models     Models
	// Health is nil while the host may take work.
	Health func() error
	// Dispatch is the end of the chain.
	Dispatch *dispatch.Filter
	// AnnounceInterval is what backend servers are told to announce in; 0: a second.
	AnnounceInterval time.Duration
	Clock            filter.Clock
	// CallerClosed tells whether a caller's connection is closed; nil: httpserver.ConnClosed.
	CallerClosed func(w http.ResponseWriter) bool
}

// API is the handler of the callers' address.
type API struct {
	deps   Deps
	claims *claim.Filter
	chain  filter.Handler
	models filter.Handler
}

// New makes the API.
func New(d Deps) *API {
	a := &API{deps: d, claims: &claim.Filter{Claims: d.Claims, Records: d.Records}}
	gone := &callergone.Filter{
		Closed: d.CallerClosed, ID: func(ctx context.Context) string { return filter.CallFrom(ctx).ID },
	}
	who := &identify.Filter{Settings: d.Settings}
	filters := []filter.Filter{
		gone,
		who,
		&limit.Filter{},
		&deadline.Filter{},
		&parse.Filter{Settings: d.Settings},
		&idempotency.Filter{Records: d.Records, Hosts: d.Hosts, Settings: d.Settings, Clock: d.Clock},
		&settle.Filter{Budget: d.Budget, Records: d.Records, Clock: d.Clock},
	}
	if d.Quarantine != nil {
		filters = append(filters, &quarantine.Filter{Quarantine: d.Quarantine, Clock: d.Clock})
	}
	a.chain = filter.Chain(d.Dispatch, append(filters,
		&budget.Filter{Budget: d.Budget, Clock: d.Clock},
		a.claims,
		&route.Filter{Scheduler: d.Scheduler, Retries: d.Retries, Records: d.Records, Clock: d.Clock},
	)...)
	a.models = filter.Chain(filter.HandlerFunc(a.listModels), who)
	return a
}

// Wait returns once what calls left to do behind their answers is done: ends of
// claims and cancel orders. A draining host calls it after its last request.
func (a *API) Wait() {
	a.claims.Wait()
	a.deps.Dispatch.Wait()
}

// NeverShed names the requests that an overloaded host still answers; for
// httpserver.Config.
func NeverShed(r *http.Request) bool {
	switch r.URL.Path {
	case PathAddresses, PathAnnounce, PathCacheEvents, PathHealth:
		return true
	}
	return false
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	if strings.HasPrefix(path, parse.PrefixServices) {
		a.serveWork(w, r, filter.WorkService, a.chain)
		return
	}
	switch path {
	case parse.PathChat, parse.PathCompletions:
		if requireMethod(w, r, http.MethodPost) {
			a.serveWork(w, r, filter.WorkModel, a.chain)
		}
	case PathModels:
		if requireMethod(w, r, http.MethodGet) {
			a.serveWork(w, r, filter.WorkModel, a.models)
		}
	case PathAddresses:
		if requireMethod(w, r, http.MethodGet) {
			a.addresses(w, r)
		}
	case PathAnnounce:
		if requireMethod(w, r, http.MethodPost) {
			a.announce(w, r)
		}
	case PathCacheEvents:
		if requireMethod(w, r, http.MethodPost) {
			a.cacheEvents(w, r)
		}
	case PathHealth:
		a.health(w)
	default:
		httpserver.WriteError(w, "", errkind.New(errkind.UnknownPath, "no such path"))
	}
}

func requireMethod(w http.ResponseWriter, r *http.Request, method string) bool {
	if r.Method == method {
		return true
	}
	httpserver.WriteError(w, "", errkind.New(errkind.UnknownPath, "no such path for method %s", r.Method))
	return false
}

func (a *API) health(w http.ResponseWriter) {
	if a.deps.Health != nil {
		if err := a.deps.Health(); err != nil {
			httpserver.WriteError(w, "", err)
			return
		}
	}
	writeJSON(w, healthAnswer{Status: "ok"})
}
