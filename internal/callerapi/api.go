// Package callerapi is the HTTP API for callers and for backend servers that announce
// themselves. Requests for models and services go through the filter chain.
//
// The order of the chain, and the reasons for it:
//
//   - callergone: everything after it waits with a context that ends when the caller
//     disconnects.
//   - identify, limit, deadline, parse: cheap checks that need no other host.
//   - idempotency: before budget, since a replay or a takeover must not be rejected for
//     lack of tokens, and before anything is dispatched, so that peers know of the run.
//   - settle: inside idempotency, so that a replay is not billed, and around budget,
//     so that each reservation ends.
//   - quarantine: before budget and claim, so that a rejected call takes neither.
//   - budget: before claim, which costs a commit by the quorum; a call without tokens
//     should not cause one.
//   - claim: before any byte is sent to a server, and around route, so that one claim
//     holds for all attempts.
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

// Paths other than those of models and services, which package parse defines.
const (
	PathModels      = "/v1/models"
	PathAddresses   = "/v1/addresses"
	PathAnnounce    = "/v1/announce"
	PathCacheEvents = "/v1/cache-events"
	PathHealth      = "/healthz"
)

// Registry records what backend servers report.
type Registry interface {
	// Announce records an announcement. It returns false for one older than the last.
	Announce(st *pb.ServerState) bool
	CacheEvent(ev backend.CacheEvent)
}

// Addresses lists the hosts that a caller in an availability zone should use.
type Addresses interface {
	Addresses(zone string) []membership.Address
}

// Models lists the models in service.
type Models interface {
	Models() []string
}

// Deps are the dependencies of an API.
type Deps struct {
	Settings  filter.Settings
	Budget    filter.Budget
	Records   filter.Records
	Hosts     filter.Hosts
	Claims    filter.Claims
	Scheduler filter.Scheduler
	Retries   filter.Retries
	// Quarantine blocks calls that crash servers; nil: no quarantine.
	Quarantine filter.Quarantine
	Explainer  filter.Explainer
	Registry   Registry
	Addresses  Addresses
	Models     Models
	// Health returns nil while the host accepts requests; nil func: always.
	Health func() error
	// Dispatch is the last handler of the chain.
	Dispatch *dispatch.Filter
	// AnnounceInterval is the interval at which backend servers are asked to announce
	// themselves; 0: one second.
	AnnounceInterval time.Duration
	Clock            filter.Clock
	// CallerClosed reports whether a caller's connection is closed; nil:
	// httpserver.ConnClosed.
	CallerClosed func(w http.ResponseWriter) bool
}

// API is the HTTP handler of the callers' address.
type API struct {
	deps   Deps
	claims *claim.Filter
	chain  filter.Handler
	models filter.Handler
}

// New returns an API.
func New(d Deps) *API {
	a := &API{deps: d, claims: &claim.Filter{Claims: d.Claims, Records: d.Records}}
	callerGone := &callergone.Filter{
		Closed: d.CallerClosed, ID: func(ctx context.Context) string { return filter.CallFrom(ctx).ID },
	}
	identifyCaller := &identify.Filter{Settings: d.Settings}
	filters := []filter.Filter{
		callerGone,
		identifyCaller,
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
	a.models = filter.Chain(filter.HandlerFunc(a.listModels), identifyCaller)
	return a
}

// Wait returns when the work that calls left to do after their answers is done: finishing
// claims and canceling runs. A draining host calls it after its last request.
func (a *API) Wait() {
	a.claims.Wait()
	a.deps.Dispatch.Wait()
}

// NeverShed reports whether an overloaded host still answers the request; for
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
