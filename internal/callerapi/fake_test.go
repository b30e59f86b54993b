package callerapi

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/filter/dispatch"
	"github.com/bluebellsail/bluebellsail/internal/membership"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

const testKey = "secret"

// fakeFleet is the state shared by all hosts of a test.
type fakeFleet struct {
	mu          sync.Mutex
	records     map[string]*pb.InflightRecord
	claims      map[string]*pb.ClaimResult
	billed      map[string]uint64 // by identity; the ledger accepts only the first bill
	doubleBills int
	dead        map[string]bool
	engines     map[string]*fakeEngine
	order       []string // addresses of engines, in the order of attempts
	noQuorum    bool
	dials       int
	blockedPort string // name of the dependency that blocks until its context ends
	hosts       []*fakeHost
}

// inFleet runs a test with its own fleet in virtual time.
func inFleet(t *testing.T, test func(t *testing.T, f *fakeFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		test(t, f)
		f.end(t)
	})
}

func newFleet() *fakeFleet {
	return &fakeFleet{records: map[string]*pb.InflightRecord{}, claims: map[string]*pb.ClaimResult{},
		billed: map[string]uint64{}, dead: map[string]bool{}, engines: map[string]*fakeEngine{}}
}

// fakeHost implements the dependencies of one host's API.
type fakeHost struct {
	*fakeFleet
	name       string
	team       settings.Team
	held       map[string]uint64
	settled    int
	outcomes   []filter.Outcome
	status     int
	call       *filter.Call
	closed     bool
	noRetry    bool
	ownRecords map[string]*pb.InflightRecord // records of a host that can't see those of the others; nil: shared
	client     *engineclient.Client
	api        *API
}

func (f *fakeFleet) host(name string) *fakeHost {
	h := &fakeHost{fakeFleet: f, name: name, held: map[string]uint64{}}
	h.team = settings.Team{DefaultTimeout: settings.Duration(10 * time.Second), MaxOutputTokens: 8}.WithDefaults()
	h.client = engineclient.New(engineclient.Config{Dial: f.dial})
	h.api = New(Deps{Settings: h, Budget: h, Records: h, Hosts: h, Claims: h, Scheduler: h, Retries: h, Explainer: h,
		Registry: h, Addresses: h, Models: h, CallerClosed: func(http.ResponseWriter) bool { return h.isClosed() },
		Dispatch: &dispatch.Filter{Client: h.client, Silence: fixedSilence{first: time.Second, gap: time.Second}}})
	f.hosts = append(f.hosts, h)
	return h
}

func (h *fakeHost) isClosed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closed
}

func (f *fakeFleet) blocked(ctx context.Context, port string) error {
	if f.blockedPort != port {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (h *fakeHost) AccountByKey(hash string) (string, *settings.Account, bool) {
	return "school", &settings.Account{Team: "books", Budget: "b"}, hash == settings.HashKey(testKey)
}
func (h *fakeHost) Team(string) (*settings.Team, bool) { return &h.team, true }
func (h *fakeHost) Fleet() settings.Fleet              { return settings.Fleet{}.WithDefaults() }
func (h *fakeHost) Revision() uint64                   { return 1 }
func (h *fakeHost) Ready() error                       { return nil }
func (h *fakeHost) InContact() error                   { return nil }
func (h *fakeHost) Self() *pb.Holder                   { return &pb.Holder{Host: h.name, Incarnation: 1} }
func (h *fakeHost) Alive(o *pb.Holder) bool            { return !h.dead[o.GetHost()] }
func (h *fakeHost) CountRequest(string)                {}
func (h *fakeHost) Allow(string, settings.Retry) bool  { return !h.noRetry }
func (h *fakeHost) Announce(*pb.ServerState) bool      { return true }
func (h *fakeHost) CacheEvent(backend.CacheEvent)      {}
func (h *fakeHost) Models() []string                   { return []string{"m"} }
func (h *fakeHost) Addresses(string) []membership.Address {
	return []membership.Address{{Host: h.name, Address: "127.0.0.1:1", Until: time.Now().Add(time.Minute)}}
}
func (h *fakeHost) Record(c *filter.Call, status int, _ error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.call, h.status = c, status
}

func (h *fakeHost) Reserve(ctx context.Context, _, id string, tokens uint64) error {
	if err := h.blocked(ctx, "budget"); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[id] = tokens
	return nil
}

func (h *fakeHost) Settle(b *pb.Bill) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.held[b.RequestId]; !ok {
		panic("settled without a reservation")
	}
	delete(h.held, b.RequestId)
	h.settled++
	if _, ok := h.billed[b.Identity]; ok {
		h.doubleBills++
		return
	}
	h.billed[b.Identity] = b.Tokens
}

func (h *fakeHost) Release(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, id)
}

// visibleRecords returns the records that the host can see.
func (h *fakeHost) visibleRecords() map[string]*pb.InflightRecord {
	if h.ownRecords != nil {
		return h.ownRecords
	}
	return h.records
}

func (h *fakeHost) Begin(ctx context.Context, rec *pb.InflightRecord, _ int) (*pb.InflightRecord, bool, error) {
	if err := h.blocked(ctx, "records"); err != nil {
		return nil, false, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	old, ok := h.visibleRecords()[rec.Identity]
	if ok && old.State != pb.InflightState_INFLIGHT_STATE_ABANDONED {
		return old, false, nil
	}
	h.visibleRecords()[rec.Identity] = rec
	return nil, true, nil
}

func (h *fakeHost) Update(rec *pb.InflightRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.visibleRecords()[rec.Identity]; !h.dead[h.name] && old.GetRequestId() == rec.RequestId {
		h.visibleRecords()[rec.Identity] = rec
	}
}

func (h *fakeHost) Takeover(_ context.Context, rec *pb.InflightRecord, _ int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.visibleRecords()[rec.Identity] = rec
	return nil
}

func (h *fakeHost) Abandon(identity, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rec := h.visibleRecords()[identity]; rec.GetRequestId() == id {
		delete(h.visibleRecords(), identity)
	}
}

func (h *fakeHost) Find(_ context.Context, identity string) (*pb.InflightRecord, bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec, ok := h.visibleRecords()[identity]
	return rec, ok, nil
}

func (h *fakeHost) Claim(ctx context.Context, identity, id string) (*pb.ClaimResult, error) {
	if err := h.blocked(ctx, "claims"); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.noQuorum {
		return nil, errkind.New(errkind.NoQuorum, "no quorum")
	}
	if res, ok := h.claims[identity]; ok {
		return res, nil
	}
	h.claims[identity] = &pb.ClaimResult{State: pb.ClaimState_CLAIM_STATE_CLAIMED, RequestId: id, Holder: h.Self()}
	return &pb.ClaimResult{Won: true}, nil
}

func (h *fakeHost) Finish(_ context.Context, identity, _ string, state pb.ClaimState) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if state == pb.ClaimState_CLAIM_STATE_NOT_RUN {
		delete(h.claims, identity)
	} else if res, ok := h.claims[identity]; ok {
		res.State = state
	}
	return nil
}

type fakeLease struct {
	h  *fakeHost
	st *pb.ServerState
}

func (l *fakeLease) Address() string          { return l.st.Address }
func (l *fakeLease) Server() *pb.ServerState  { return l.st }
func (l *fakeLease) Reason() string           { return "first" }
func (l *fakeLease) FirstToken(time.Duration) {}
func (l *fakeLease) Done(o filter.Outcome) {
	l.h.mu.Lock()
	defer l.h.mu.Unlock()
	l.h.outcomes = append(l.h.outcomes, o)
}

// Acquire returns the first engine in order that is not excluded.
func (h *fakeHost) Acquire(ctx context.Context, w filter.Work) (filter.ServerLease, error) {
	if err := h.blocked(ctx, "scheduler"); err != nil {
		return nil, err
	}
	for _, address := range h.order {
		if !strings.Contains(strings.Join(w.Exclude, " "), address) {
			return &fakeLease{h: h, st: &pb.ServerState{Address: address, Resumes: h.engines[address].resumes, PrefillPerSecond: h.engines[address].prefill}}, nil
		}
	}
	return nil, errkind.New(errkind.NoBackendServer, "no server is left")
}

// dial connects to an engine over TCP, or in memory for one that runs in virtual time.
func (f *fakeFleet) dial(_ context.Context, network, address string) (net.Conn, error) {
	f.mu.Lock()
	e := f.engines[address]
	f.dials++
	f.mu.Unlock()
	if e != nil && e.conns == nil {
		return net.Dial(network, address)
	}
	if e == nil || e.refusesConnections() {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	e.conns <- far
	return near, nil
}

// do sends one request through the host's chain.
func (h *fakeHost) do(path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.api.ServeHTTP(w, r)
	return w
}

// end checks that no reservation is left and lets the goroutines of a synctest bubble end.
func (f *fakeFleet) end(t *testing.T) {
	t.Helper()
	for _, h := range f.hosts {
		h.api.Wait()
		h.client.Close()
		if len(h.held) > 0 {
			t.Errorf("host %s still holds reservations: %v", h.name, maps.Clone(h.held))
		}
	}
	time.Sleep(time.Second) // virtual time in which the watch for disconnected callers ends
	for _, e := range f.engines {
		if e.conns == nil {
			continue
		}
		close(e.conns)
		_ = e.server.Close()
	}
}

// fixedSilence is a dispatch.Silence with fixed limits for all servers.
type fixedSilence struct {
	// first is the limit before the first token of a run, gap the limit between tokens.
	first, gap time.Duration
}

func (fixedSilence) Open(time.Time, string, string, time.Duration) {}

func (fixedSilence) Byte(time.Time, string, bool) {}

func (s fixedSilence) Limit(_ time.Time, _ string, begun bool) time.Duration {
	if begun {
		return s.gap
	}
	return s.first
}

func (fixedSilence) Close(string) {}
