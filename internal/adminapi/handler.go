// Package adminapi is the operators' HTTP API. It addresses the settings tree by
// path, changes budgets, accounts, hosts and the control group, and tells what the
// fleet does. docs/OPERATIONS.md lists its paths.
//
// Every change carries an operation id in the header Idempotency-Key. A resend with
// the same id gets the first answer and changes nothing again, so an operator whose
// answer was lost never funds a budget twice.
package adminapi

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

const (
	// DefaultTimeout bounds the work on one request. It is below the time that the
	// command-line tool gives to one host, so that the tool hears why there is no answer.
	DefaultTimeout = 4 * time.Second
	// glanceTimeout bounds the wait for the control group in answers that have
	// something to say without it.
	glanceTimeout = time.Second
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 1 << 20
	// maxOpIDBytes bounds an operation id, which the control group remembers.
	maxOpIDBytes = 128

	headerOpID = "Idempotency-Key"
)

// Config is what a Handler works with.
type Config struct {
	Group   Group
	Fleet   Fleet
	Explain Explainer
	// Orders may be nil: then orders to backend servers are refused.
	Orders Orders
	// OperatorKeyHashes returns the hex SHA-256 hashes of the operators' keys in force:
	// those of the process's settings file and those in the settings tree.
	OperatorKeyHashes func() []string
	// Quarantine may be nil: then nothing is held against any request.
	Quarantine Quarantine
	// Replica is the control group's replica on this host; nil function: it has none.
	Replica func() LocalReplica
	// Ready is nil while this host serves, else the refusal that callers get.
	Ready func() error
	// Log gets one event per change and per refused request.
	Log zerolog.Logger
	// Timeout bounds the work on one request; 0: DefaultTimeout.
	Timeout time.Duration
}

// Handler serves the operators' API.
type Handler struct {
	cfg Config
	mux *http.ServeMux
}

// New returns a Handler of cfg.
func New(cfg Config) *Handler {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	h := &Handler{cfg: cfg, mux: http.NewServeMux()}
	h.routes()
	return h
}

func (h *Handler) routes() {
	h.read("GET /v1/config/{path...}", h.getConfig)
	h.change("PUT /v1/config/{path...}", h.putConfig)
	h.change("DELETE /v1/config/{path...}", h.deleteConfig)
	h.read("GET /v1/config-history/{path...}", h.configHistory)
	h.read("GET /v1/config-status", h.configStatus)

	h.read("GET /v1/budgets", h.listBudgets)
	h.change("POST /v1/budgets", h.createBudget)
	h.read("GET /v1/budgets/{name}", h.getBudget)
	h.change("POST /v1/budgets/{name}/top-ups", h.topUp)
	h.read("GET /v1/budgets/{name}/statement", h.statement)

	h.read("GET /v1/accounts", h.listAccounts)
	h.change("POST /v1/accounts", h.createAccount)
	h.change("POST /v1/accounts/{name}/keys", h.addKey)
	h.change("DELETE /v1/accounts/{name}/keys/{hash}", h.dropKey)
	h.read("GET /v1/teams", h.listTeams)

	h.read("GET /v1/hosts", h.listHosts)
	h.change("POST /v1/hosts/{name}/remove", h.removeHost)
	h.read("GET /v1/servers", h.listServers)
	h.change("POST /v1/servers/{address}/orders", h.orderServer)
	h.read("GET /v1/status", h.status)
	h.read("GET /v1/explain/{id...}", h.explain)

	h.read("GET /v1/quarantine", h.listQuarantine)
	h.change("POST /v1/quarantine/{fingerprint}/release", h.releaseRequest)

	h.read("GET /v1/control/members", h.controlMembers)
	h.change("POST /v1/control/members", h.changeMembers)

	h.mux.Handle("GET /debug/vars", h.authorized(expvar.Handler()))
	h.mux.HandleFunc("GET /healthz", h.health)
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, pattern := h.mux.Handler(r); pattern == "" {
		h.refuse(w, r, errkind.New(errkind.UnknownPath, "no such path, or not with method %s", r.Method))
		return
	}
	h.mux.ServeHTTP(w, r)
}

// request is one authorized request.
type request struct {
	http *http.Request
	// actor is who asked, as the log and the history have it.
	actor string
	// opID identifies a change; empty for a read.
	opID string
}

// operation does the work of one path. Its result is answered as JSON.
type operation func(ctx context.Context, q *request) (any, error)

func (h *Handler) read(pattern string, op operation) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		h.serve(w, r, op, false)
	})
}

func (h *Handler) change(pattern string, op operation) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		h.serve(w, r, op, true)
	})
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, op operation, changes bool) {
	began := time.Now()
	q, err := h.admit(r, changes)
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	ctx, cancel := context.WithTimeout(r.Context(), h.cfg.Timeout)
	defer cancel()
	answer, err := op(ctx, q)
	if err != nil {
		h.refuse(w, r, timedOut(err, changes))
		return
	}
	if changes {
		h.cfg.Log.Info().Str("event", "operator_change").Str("op_id", q.opID).Str("actor", q.actor).
			Str("method", r.Method).Str("path", r.URL.Path).Dur("took_ms", time.Since(began)).Send()
	}
	writeJSON(w, http.StatusOK, answer)
}

// admit checks the operator's key and, for a change, the operation id.
func (h *Handler) admit(r *http.Request, changes bool) (*request, error) {
	actor, err := h.actor(r)
	if err != nil {
		return nil, err
	}
	q := &request{http: r, actor: actor}
	if !changes {
		return q, nil
	}
	q.opID = r.Header.Get(headerOpID)
	if q.opID == "" || len(q.opID) > maxOpIDBytes {
		return nil, errkind.New(errkind.BadRequest,
			"a change needs the header %s with an operation id of 1 to %d bytes", headerOpID, maxOpIDBytes)
	}
	return q, nil
}

// timedOut turns the end of ctx into NoQuorum: the group gave no answer in time. A
// read that got no answer changed nothing.
func timedOut(err error, changes bool) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		err = errkind.New(errkind.NoQuorum, "the control group gave no answer in time")
	}
	if changes || !errkind.Is(err, errkind.NoQuorum) {
		return err
	}
	return errkind.New(errkind.NoQuorum, "the control group gave no answer to this read in time").WithRan(errkind.RanNo)
}

// glance is the context for asking the group in an answer that goes out without it too.
func glance(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, glanceTimeout)
}

// refuse answers and logs err. Neither the header nor the body of the request is
// logged: both may carry a key.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, err error) {
	e := errkind.From(err)
	h.cfg.Log.Info().Str("event", "operator_refused").Str("op_id", r.Header.Get(headerOpID)).
		Str("method", r.Method).Str("path", r.URL.Path).Int("status", e.Status()).
		Str("kind", string(e.Kind)).Str("fault_path", e.Path).Str("message", e.Message).Send()
	writeError(w, e)
}

func (h *Handler) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := h.actor(r); err != nil {
			h.refuse(w, r, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// health needs no key, so that a supervisor can ask.
func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	if h.cfg.Ready != nil {
		if err := h.cfg.Ready(); err != nil {
			writeError(w, err)
			return
		}
	}
	writeJSON(w, http.StatusOK, Health{Status: "ok"})
}
