package proof

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/filter/budget"
	"github.com/bluebellsail/bluebellsail/internal/filter/claim"
	"github.com/bluebellsail/bluebellsail/internal/filter/idempotency"
	"github.com/bluebellsail/bluebellsail/internal/filter/settle"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// run is one run of a request at the engine. It continues even if the host that started it
// dies.
type run struct {
	id, identity string
	tokens       uint64
	start, end   time.Time
}

// engine is a fake backend server that records what it really ran.
type engine struct {
	fleet *fleet
	mu    sync.Mutex
	// byID holds the runs by the id of the sent request that started them.
	byID       map[string]run
	byIdentity map[string][]run
	// refusing is true once the engine permanently refuses to run requests.
	refusing atomic.Bool
	// beforeRun is called before a host records that it sends a request to the engine; may
	// be nil.
	beforeRun func(c *filter.Call)
	// spent is the total tokens of all identities that ran, each counted once.
	spent uint64
}

func newEngine(f *fleet) *engine {
	return &engine{fleet: f, byID: make(map[string]run), byIdentity: make(map[string][]run)}
}

// reserved returns the maximum tokens of a request. used returns the tokens that it uses:
// half of the maximum for model work, and all of it, the fixed price, for a service.
func reserved(identity string) uint64 { return 20 + xxhash.Sum64String(identity)%150 }

func used(identity string, idempotent bool) uint64 {
	if idempotent {
		return reserved(identity) / 2
	}
	return reserved(identity)
}

// begin starts a run unless its host has died. It checks that the budget is not overspent by
// the tokens that the engine really produces.
func (e *engine) begin(n *node, c *filter.Call) bool {
	took := time.Duration(50+e.fleet.draw("took/"+c.Identity, 1500)) * time.Millisecond
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if e.fleet.nodes[n.self.GetHost()] != n {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := run{id: c.ID, identity: c.Identity, tokens: used(c.Identity, c.Idempotent), start: time.Now(), end: time.Now().Add(took)}
	if len(e.byIdentity[c.Identity]) == 0 {
		e.spent += r.tokens
	}
	if funded := e.fleet.budget().GetFunded(); e.spent > funded {
		e.fleet.t.Errorf("request %s: %d tokens produced, but only %d funded", c.ID, e.spent, funded)
	}
	e.byID[c.ID] = r
	e.byIdentity[c.Identity] = append(e.byIdentity[c.Identity], r)
	return true
}

// runs returns the runs of an identity, oldest first.
func (e *engine) runs(identity string) []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byIdentity[identity]
}

// idle reports whether no request has run yet.
func (e *engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.byID) == 0
}

func (e *engine) run(id string) (run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.byID[id]
	return r, ok
}

// buildChain builds the part of the request chain that guarantees the properties under test.
func (n *node) buildChain() {
	n.claims = &claim.Filter{Claims: n, Records: n.records}
	n.chain = filter.Chain(filter.HandlerFunc(n.dispatch),
		&idempotency.Filter{Records: n.records, Hosts: n, Settings: fixedSettings{}},
		&settle.Filter{Budget: n.grants, Records: n.records},
		&budget.Filter{Budget: n.grants},
		n.claims,
	)
}

type fixedSettings struct{ filter.Settings }

func (fixedSettings) Fleet() settings.Fleet {
	return settings.Fleet{IdempotencyWindow: settings.Duration(10 * time.Minute)}
}

// Self implements filter.Hosts.
func (n *node) Self() *pb.Holder { return n.self }

// Alive implements filter.Hosts: a host on the other side of a partition counts as dead.
func (n *node) Alive(h *pb.Holder) bool {
	to := n.fleet.node(h.GetHost())
	return to != nil && to.self.GetIncarnation() == h.GetIncarnation() && n.fleet.reaches(n, h.GetHost())
}

// Claim implements filter.Claims.
func (n *node) Claim(ctx context.Context, identity, requestID string) (*pb.ClaimResult, error) {
	r, err := n.proposeClaim(ctx, &pb.Command{Body: &pb.Command_Claim{Claim: &pb.Claim{Identity: identity, Holder: n.self, RequestId: requestID}}})
	return r.GetClaim(), err
}

// Finish implements filter.Claims.
func (n *node) Finish(ctx context.Context, identity, requestID string, state pb.ClaimState) error {
	_, err := n.proposeClaim(ctx, &pb.Command{Body: &pb.Command_FinishClaim{FinishClaim: &pb.FinishClaim{Identity: identity, RequestId: requestID, State: state}}})
	return err
}

func (n *node) proposeClaim(ctx context.Context, cmd *pb.Command) (*pb.CommandResult, error) {
	r, err := n.Propose(ctx, cmd)
	if e := r.GetError(); e != nil {
		return nil, errkind.New(errkind.Kind(e.GetKind()), "%s", e.GetMessage())
	}
	return r, err
}

// dispatch is the end of the chain: it starts a run at the engine, or waits for the result of an
// earlier one.
func (n *node) dispatch(w http.ResponseWriter, r *http.Request) error {
	c := filter.CallFrom(r.Context())
	id := c.ID
	if c.Resume != nil {
		id = c.Resume.EngineRequestID
	}
	if _, known := n.fleet.engine.run(id); !known || c.Resume == nil || n.fleet.engine.refusing.Load() {
		if c.Resume != nil && !c.Idempotent {
			return errkind.New(errkind.OutcomeUnknown, "the engine does not know the run")
		}
		if err := n.startRun(c); err != nil {
			return err
		}
		id = c.ID
	}
	found, _ := n.fleet.engine.run(id)
	c.Usage = filter.Usage{Output: found.tokens}
	select {
	case <-time.After(time.Until(found.end)):
	case <-r.Context().Done():
		return filter.ContextError(r.Context())
	}
	c.Answer = filter.Answer{Begun: true, Status: http.StatusOK, ContentType: "text/plain", Body: []byte(c.Identity)}
	_, _ = w.Write(c.Answer.Body)
	return nil
}

func (n *node) startRun(c *filter.Call) error {
	if beforeRun := n.fleet.engine.beforeRun; beforeRun != nil {
		beforeRun(c)
	}
	rec := c.NextRecord()
	rec.Server, rec.EngineRequestId = "engine", c.ID
	n.records.Update(rec)
	if n.fleet.occurs("refuse/"+c.Identity, 50) {
		return errkind.New(errkind.NoBackendServer, "the engine has no room")
	}
	if n.fleet.engine.refusing.Load() || n.fleet.occurs("refuse for good/"+c.Identity, 50) {
		return errkind.New(errkind.UnknownModel, "the engine does not serve the request")
	}
	if !n.fleet.engine.begin(n, c) {
		return errkind.New(errkind.Internal, "this host is dead")
	}
	c.Dispatched = true
	return nil
}

// sentRequest is one request sent to one host, and its answer. If it is neither ok nor refused,
// the host died.
type sentRequest struct {
	id, identity string
	idempotent   bool
	ok           bool
	refusal      *errkind.Error
	start, end   time.Time
}

// submit sends a request to a host, as a caller who waits for the answer.
func (f *fleet) submit(host, key string, idempotent bool) (a sentRequest) {
	number := f.draw("arrival/"+key, 1<<30)
	a = sentRequest{id: fmt.Sprintf("%s@%s/%x", key, host, number), identity: "acc/" + key, idempotent: idempotent, start: time.Now()}
	defer func() { a.end = time.Now() }()
	n := f.node(host)
	if n == nil {
		return a
	}
	deadline := time.Now().Add(4 * time.Second)
	c := &filter.Call{
		ID: a.id, AccountName: "acc", Account: &settings.Account{Budget: budgetName}, TeamName: "t", Team: &settings.Team{Copies: 1},
		Idempotent: idempotent, BodyHash: xxhash.Sum64String(key), Deadline: deadline,
		Reserved: reserved(a.identity), PromptTokens: reserved(a.identity) / 4, // an estimate, as made by the parse filter
	}
	if !idempotent {
		c.Kind = filter.WorkService
	}
	ctx, cancel := context.WithDeadline(filter.WithCall(context.Background(), c), deadline)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil)
	r.Header.Set(filter.HeaderIdempotencyKey, key)
	w := httptest.NewRecorder()
	err := n.chain.ServeHTTP(w, r)
	if f.node(host) != n {
		return a // the host died before it answered
	}
	a.refusal = filter.CorrectRan(c, err)
	a.ok = a.refusal == nil
	if a.ok && w.Body.String() != a.identity {
		// This may be the replayed refusal of an earlier request with the same idempotency key.
		a.ok = false
		if w.Code < http.StatusBadRequest {
			f.t.Errorf("request %s got the wrong answer %q", a.id, w.Body)
		}
	}
	return a
}
