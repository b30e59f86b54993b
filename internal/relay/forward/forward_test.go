package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/retryafter"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/streamorigin"
)

// Headers of the test dialect.
const (
	hID       = "Id"
	hNotRun   = "Not-Run"
	hLoad     = "Load"
	hInstance = "Instance"
	hAfter    = "After"
	hLimit    = "Limit"
	hCooldown = "Cooldown"
	hLeaving  = "Leaving"
	hBrittle  = "Brittle"
)

type dialect struct{}

func (dialect) Decode(*http.Request, []byte) (*relay.Request, error) { return nil, nil }

func (dialect) Encode(h http.Header, x *relay.Exchange, out relay.Outgoing) {
	h.Set(hID, x.ID)
	h.Set(hInstance, out.Instance)
	h.Set(hAfter, out.ResumeAfter)
}

func (dialect) EndToEnd(name string) bool { return name == hID }

func (dialect) Reply(res *http.Response) relay.Reply {
	limit, err := strconv.ParseFloat(res.Header.Get(hLimit), 64)
	named := res.Header.Get(hLimit) != ""
	if !named {
		limit = ratelimit.None
	}
	tolerated, brittleErr := strconv.ParseFloat(res.Header.Get(hBrittle), 64)
	if res.Header.Get(hBrittle) == "" {
		tolerated, brittleErr = ratelimit.None, nil
	}
	cooldown, readable := retryafter.Parse(res.Header.Get(hCooldown), time.Now())
	return relay.Reply{
		Leaving:  res.Header.Get(hLeaving) != "",
		Cooldown: cooldown, CooldownUnreadable: !readable,
		Limit: limit, LimitUnreadable: named && err != nil,
		Brittle: tolerated, BrittleUnreadable: brittleErr != nil, Load: loadOf(res),
		ID: res.Header.Get(hID), NotRun: res.Header.Get(hNotRun) != "", OtherInstance: res.StatusCode == http.StatusMisdirectedRequest,
	}
}

// loadOf returns the load of an answer that has one.
func loadOf(res *http.Response) *balance.Load {
	slots, err := strconv.Atoi(res.Header.Get(hLoad))
	if err != nil {
		return nil
	}
	return &balance.Load{Counted: true, Slots: slots}
}

func (dialect) Refuse(http.ResponseWriter, *relay.Exchange, error) {}

// servers answers attempts in turn: each step is one attempt.
type servers struct {
	t     *testing.T
	steps []func(ctx context.Context, f *engineclient.Forward) (*http.Response, error)
	got   []*engineclient.Forward
}

func (s *servers) Forward(ctx context.Context, f *engineclient.Forward) (*http.Response, error) {
	n := len(s.got)
	s.got = append(s.got, f)
	if n >= len(s.steps) {
		s.t.Fatalf("attempt %d, want %d", n+1, len(s.steps))
	}
	return s.steps[n](ctx, f)
}

// leases assigns the servers a, b and c in turn and records how each lease ended.
type leases struct {
	servers   []string
	results   []balance.Result
	wrong     []string
	leaving   []string
	cooldowns []time.Duration
	// unreadable counts the cooldowns that could not be parsed.
	unreadable int
	loads      []balance.Load
	n          int
	mu         sync.Mutex
	// versions holds the software versions of servers that run another one than "v1"; an empty one is not
	// known. work is what was acquired last.
	versions map[string]string
	work     balance.Work
	// outputs has the sizes reported at the ends. memoryFull is whether the engines are over their capacity.
	outputs    []uint64
	memoryFull bool
	// started is the start time that the servers report.
	started uint64
}

func (l *leases) Acquire(_ context.Context, w *balance.Work) (relay.Lease, error) {
	if l.n >= len(l.servers) {
		return nil, errkind.New(errkind.NoBackendServer, "no server is left").After(time.Second)
	}
	if len(w.Exclude) != l.n {
		return nil, errkind.New(errkind.Internal, "%d servers excluded at attempt %d", len(w.Exclude), l.n+1)
	}
	l.n++
	l.work = *w
	return &lease{l: l, id: l.servers[l.n-1]}, nil
}

type lease struct {
	l  *leases
	id string
}

func (l *lease) Choice() balance.Choice {
	return balance.Choice{Instance: instance.Announcement{ID: l.id, Started: l.l.started, Address: "10.0.0.1:80"}}
}

// setVersion changes the version of a server.
func (l *leases) setVersion(server, version string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = map[string]string{server: version}
}

func (l *lease) Version() (string, bool) {
	l.l.mu.Lock()
	defer l.l.mu.Unlock()
	version, set := l.l.versions[l.id]
	if !set {
		version = "v1"
	}
	return version, version != ""
}
func (l *lease) CoolDown(d time.Duration, _ string) { l.l.cooldowns = append(l.l.cooldowns, d) }
func (l *lease) Leaving()                           { l.l.leaving = append(l.l.leaving, l.id) }
func (l *lease) CooldownUnreadable(string)          { l.l.unreadable++ }
func (l *lease) FirstByte()                         {}
func (l *lease) Report(load balance.Load)           { l.l.loads = append(l.l.loads, load) }
func (l *lease) Output(tokens uint64)               { l.l.outputs = append(l.l.outputs, tokens) }
func (l *lease) MemoryFull() bool                   { return l.l.memoryFull }
func (l *lease) WrongInstance()                     { l.l.wrong = append(l.l.wrong, l.id) }
func (l *lease) Done(r balance.Result)              { l.l.results = append(l.l.results, r) }

// sharedVersions are the software versions that other hosts know; nil: all.
type sharedVersions struct {
	relay.Versions
	known []string
}

func (s sharedVersions) Share(_ context.Context, _, version string) (shared bool, others []string) {
	return s.known == nil || slices.Contains(s.known, version), s.known
}

// recordedOrigins records the origins of streams by attempt.
type recordedOrigins struct {
	mu        sync.Mutex
	origins   map[string][]streamorigin.Origin
	lifetimes []time.Duration
}

func (o *recordedOrigins) Record(_, attempt string, origin streamorigin.Origin, lifetime time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.origins == nil {
		o.origins = map[string][]streamorigin.Origin{}
	}
	o.origins[attempt] = append(o.origins[attempt], origin)
	o.lifetimes = append(o.lifetimes, lifetime)
}

// recorded returns the different origins recorded for an attempt.
func (o *recordedOrigins) recorded(attempt string) []streamorigin.Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Compact(slices.Clone(o.origins[attempt]))
}

func (*recordedOrigins) Find(context.Context, string, string) (streamorigin.Origin, string, error) {
	return streamorigin.Origin{}, "", errkind.New(errkind.StreamUnknown, "nothing is kept")
}

// allowance allows a fixed number of retries and counts those that were sent and given back.
type allowance struct{ left, allowed, sent, returned int }

func (*allowance) CountRequest(string) {}
func (a *allowance) Allow(string, string) relay.Retry {
	a.left--
	if a.left < 0 {
		return nil
	}
	a.allowed++
	return a
}
func (a *allowance) Sent()   { a.sent++ }
func (a *allowance) Return() { a.returned++ }

// body is an answer's body that returns err in place of io.EOF, if err is set.
type body struct {
	io.Reader
	err    error
	closed bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && b.err != nil {
		err = b.err
	}
	return n, err
}

func (b *body) Close() error {
	b.closed = true
	return nil
}

const requestID = "r1"

func answer(status int, content string, headers ...string) *http.Response {
	h := http.Header{hID: {requestID}}
	for i := 0; i+1 < len(headers); i += 2 {
		h.Set(headers[i], headers[i+1])
	}
	return &http.Response{StatusCode: status, Header: h, Body: &body{Reader: strings.NewReader(content)}}
}

func stream(content string, end error, headers ...string) *http.Response {
	res := answer(http.StatusOK, content, append(headers, "Content-Type", "text/event-stream")...)
	res.Body.(*body).err = end
	return res
}

// answers returns a step in which the server sends an answer.
func answers(res *http.Response) func(context.Context, *engineclient.Forward) (*http.Response, error) {
	return func(context.Context, *engineclient.Forward) (*http.Response, error) { return res, nil }
}

// fails returns a step in which the server sends no answer.
func fails(ran errkind.Ran) func(context.Context, *engineclient.Forward) (*http.Response, error) {
	return func(context.Context, *engineclient.Forward) (*http.Response, error) {
		return nil, &engineclient.Error{Ran: ran, Message: "connection reset"}
	}
}

// run is one request sent through the filter.
type run struct {
	servers *servers
	leases  *leases
	limits  recordedLimits
	allowed allowance
	route   routes.Route
	w       *httptest.ResponseRecorder
	aborted bool
	method  string
	x       *relay.Exchange
	ctx     context.Context
	// origins records the origins of streams. origin is that of the stream that the request resumes; nil if it
	// resumes none.
	origins recordedOrigins
	shared  sharedVersions
	origin  *streamorigin.Origin
	// admission is the request's; nil if there is no quarantine.
	admission filter.Admission
	// account is the request's; nil if it needs none.
	account *routes.Account
	// accepts is whether a server accepts connections; nil: not asked. outputCap is the request's.
	accepts   func(address string) bool
	outputCap uint64
	// onWrite is called before each write to the caller. If writeErr is set, the writes fail with
	// it.
	onWrite  func()
	writeErr error
	// pacer is nil where slow readers are not bounded.
	pacer relay.Pacer
	// body is the request's.
	body string
}

// writer is the ResponseWriter of a run.
type writer struct {
	*httptest.ResponseRecorder
	r *run
}

func (w writer) Write(b []byte) (int, error) {
	if w.r.onWrite != nil {
		w.r.onWrite()
	}
	if w.r.writeErr != nil {
		return 0, w.r.writeErr
	}
	return w.ResponseRecorder.Write(b)
}

func newRun(t *testing.T, kind routes.Kind, steps ...func(context.Context, *engineclient.Forward) (*http.Response, error)) *run {
	return &run{
		servers: &servers{t: t, steps: steps}, leases: &leases{servers: []string{"a", "b", "c"}}, allowed: allowance{left: 9},
		route: routes.Route{Kind: kind, MaxAttempts: 2, Timeout: settings.Duration(time.Minute)},
		w:     httptest.NewRecorder(), ctx: t.Context(), method: http.MethodPost,
	}
}

func (r *run) do() error {
	r.x = &relay.Exchange{
		Admission: r.admission, Account: r.account,
		Request: &relay.Request{ID: requestID, Method: r.method, Target: "/p", Header: http.Header{}, PromptTokens: 100, OutputCap: r.outputCap, Body: []byte(r.body)},
		Route:   &r.route, Deadline: time.Now().Add(time.Minute),
		Service: &routes.Service{Name: "pool", Engine: &routes.Engine{TokensPerEvent: 4}}, Origin: r.origin,
	}
	f := &Filter{
		Dialect: dialect{}, Client: r.servers, Balancer: r.leases, Retries: &r.allowed, Limits: &r.limits, Origins: &r.origins, Versions: r.shared,
		Abort: func(http.ResponseWriter) { r.aborted = true },
		Pacer: r.pacer,
	}
	if r.accepts != nil {
		f.Accepts = func(_ context.Context, address string) bool { return r.accepts(address) }
	}
	req := httptest.NewRequest(http.MethodPost, "/p", nil).WithContext(relay.WithExchange(r.ctx, r.x))
	err := f.ServeHTTP(writer{r.w, r}, req, nil)
	if a := r.allowed; a.sent+a.returned != a.allowed {
		r.servers.t.Errorf("%d retries allowed, %d sent and %d given back", a.allowed, a.sent, a.returned)
	}
	return err
}

func wantKind(t *testing.T, err error, kind errkind.Kind, ran errkind.Ran) {
	t.Helper()
	if e := errkind.From(err); e == nil || e.Kind != kind || e.Ran() != ran {
		t.Errorf("got %v, want %s, ran %s", err, kind, ran)
	}
}

func TestAnswerPassesUnchanged(t *testing.T) {
	r := newRun(t, routes.NonIdempotent, answers(answer(http.StatusInternalServerError, "the server's text", "Seal", "s", "Keep-Alive", "timeout=10")))
	if err := r.do(); err != nil {
		t.Fatal(err)
	}
	if r.w.Code != http.StatusInternalServerError || r.w.Body.String() != "the server's text" || r.w.Header().Get("Seal") != "s" {
		t.Errorf("the caller got %d %q %v", r.w.Code, r.w.Body, r.w.Header())
	}
	if r.w.Header().Get("Keep-Alive") != "" {
		t.Error("a header of the server's connection was passed on")
	}
}

// Guards against retrying a non-idempotent request, say a payment, after its connection broke: that
// no answer came does not mean that it did not run.
func TestRequestWithLostAnswerIsNotRetried(t *testing.T) {
	r := newRun(t, routes.NonIdempotent, fails(errkind.RanUnknown))
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanUnknown)
	if !r.x.PromptConsumed {
		t.Error("the prompt of a request that may have run is not marked as consumed")
	}
}

func TestUnreachableServerCountsAsNoAttempt(t *testing.T) {
	r := newRun(t, routes.NonIdempotent, fails(errkind.RanNo), fails(errkind.RanNo), answers(answer(200, "ok")))
	r.route.MaxAttempts = 1
	r.allowed.left = 0
	if err := r.do(); err != nil || r.w.Body.String() != "ok" {
		t.Errorf("got %v, %q", err, r.w.Body)
	}
}

func TestFullServer(t *testing.T) {
	full := func() *http.Response { return answer(http.StatusServiceUnavailable, "", hNotRun, "1") }
	r := newRun(t, routes.NonIdempotent, answers(full()), answers(answer(200, "ok")))
	if err := r.do(); err != nil || r.w.Body.String() != "ok" {
		t.Errorf("got %v, %q", err, r.w.Body)
	}
	r = newRun(t, routes.NonIdempotent, answers(full()))
	r.route.MaxAttempts = 1
	err := r.do()
	wantKind(t, err, errkind.Overloaded, errkind.RanNo)
	if errkind.From(err).RetryAfter == 0 {
		t.Error("the refusal has no retry-after time")
	}
	if r.x.PromptConsumed {
		t.Error("the prompt of a request that did not run is marked as consumed")
	}
}

// Guards against a refusal that reports only what the last attempt did: the first server's answer
// is lost, the second server rejects the request as full, and a caller told "did not run" would
// send it again and have it run twice.
func TestRefusalCoversAllAttempts(t *testing.T) {
	r := newRun(t, routes.Idempotent, fails(errkind.RanUnknown), answers(answer(http.StatusServiceUnavailable, "", hNotRun, "1")))
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanUnknown)
	r = newRun(t, routes.Idempotent, fails(errkind.RanUnknown))
	r.leases.servers = r.leases.servers[:1]
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanUnknown)
}

func TestAllowanceBoundsRetries(t *testing.T) {
	r := newRun(t, routes.Idempotent, fails(errkind.RanUnknown))
	r.allowed.left = 0
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanUnknown)
}

// Guards against an allowance that is used up by retries that find no server.
func TestRetryWithoutAServerIsGivenBack(t *testing.T) {
	r := newRun(t, routes.Idempotent, fails(errkind.RanUnknown))
	r.leases.servers = r.leases.servers[:1]
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanUnknown)
	if r.allowed.allowed != 1 || r.allowed.returned != 1 {
		t.Errorf("%d retries allowed and %d given back", r.allowed.allowed, r.allowed.returned)
	}
}

func TestMaxAttemptsOfTheRouteBoundRetries(t *testing.T) {
	r := newRun(t, routes.Idempotent, fails(errkind.RanUnknown), fails(errkind.RanUnknown))
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanUnknown)
}

// Guards against matching answers to requests by their order on the connection: a server may send
// an answer twice. The connection must not be reused either, since the answer to this request would
// then be taken for the answer to the next one.
func TestAnswerOfAnotherRequest(t *testing.T) {
	late := answer(200, "for another", hID, "r0")
	ended := false
	first := func(ctx context.Context, _ *engineclient.Forward) (*http.Response, error) {
		context.AfterFunc(ctx, func() {})
		late.Body = closeCheck{late.Body, func() { ended = ctx.Err() != nil }}
		return late, nil
	}
	r := newRun(t, routes.Idempotent, first, answers(answer(200, "for this one")))
	if err := r.do(); err != nil || r.w.Body.String() != "for this one" {
		t.Errorf("got %v, %q", err, r.w.Body)
	}
	if !ended {
		t.Error("the connection was kept open")
	}
	r = newRun(t, routes.NonIdempotent, answers(answer(200, "for another", hID, "r0")))
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanUnknown)
}

type closeCheck struct {
	io.ReadCloser
	onClose func()
}

func (c closeCheck) Close() error {
	c.onClose()
	return c.ReadCloser.Close()
}

func TestAnswerCutShort(t *testing.T) {
	short := answer(200, "hal")
	short.Body.(*body).err = io.ErrUnexpectedEOF
	r := newRun(t, routes.Idempotent, answers(short), answers(answer(200, "half and half")))
	if err := r.do(); err != nil || r.w.Body.String() != "half and half" {
		t.Errorf("got %v, %q", err, r.w.Body)
	}
	short = answer(200, "hal")
	short.Body.(*body).err = io.ErrUnexpectedEOF
	r = newRun(t, routes.NonIdempotent, answers(short))
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanUnknown)
	if r.w.Body.Len() > 0 {
		t.Errorf("the caller got half an answer, %q", r.w.Body)
	}
}

func TestServerFaultOfIdempotentRequest(t *testing.T) {
	r := newRun(t, routes.Idempotent, answers(answer(500, "")), answers(answer(200, "ok")))
	if err := r.do(); err != nil || r.w.Code != 200 {
		t.Errorf("got %v, %d", err, r.w.Code)
	}
	r = newRun(t, routes.Idempotent, answers(answer(500, "first")), answers(answer(500, "second")))
	if err := r.do(); err != nil || r.w.Code != 500 || r.w.Body.String() != "second" {
		t.Errorf("got %v, %d %q", err, r.w.Code, r.w.Body)
	}
}

func TestOtherInstanceAtTheAddress(t *testing.T) {
	r := newRun(t, routes.NonIdempotent, answers(answer(http.StatusMisdirectedRequest, "", hID, "")), answers(answer(200, "ok")))
	if err := r.do(); err != nil || r.w.Body.String() != "ok" {
		t.Errorf("got %v, %q", err, r.w.Body)
	}
	if fmt.Sprint(r.leases.wrong) != "[a]" {
		t.Errorf("instances reported as wrong: %v, want [a]", r.leases.wrong)
	}
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

var errReset = errors.New("connection reset")

// Guards against forwarding half an event and against resuming a stream anywhere but after its last
// whole event, when the server crashes in the middle of its third event. The caller would miss the
// rest of the stream or get pieces of two runs joined.
func TestInterruptedStreamIsResumed(t *testing.T) {
	r := newRun(t, routes.Stream,
		answers(stream(event(1)+event(2)+"id: 3\nda", errReset, "Seal", "first")),
		answers(stream(event(3)+event(4), nil, "Seal", "second")))
	r.route.Resumable = true
	if err := r.do(); err != nil {
		t.Fatal(err)
	}
	if got := r.w.Body.String(); got != event(1)+event(2)+event(3)+event(4) {
		t.Errorf("the caller got %q", got)
	}
	if after := r.servers.got[1].Header.Get(hAfter); after != "2" {
		t.Errorf("resumed after %q", after)
	}
	if r.w.Header().Get("Seal") != "first" {
		t.Error("the headers are not those of the first server")
	}
	if r.x.OutputTokens != 4*4 {
		t.Errorf("%d tokens of output counted, want 16", r.x.OutputTokens)
	}
	if fmt.Sprint(r.leases.results) != fmt.Sprint([]balance.Result{balance.Broken, balance.Served}) {
		t.Errorf("results %v", r.leases.results)
	}
}

func TestStreamInterruptedBeforeItsFirstEvent(t *testing.T) {
	r := newRun(t, routes.Stream, answers(stream("id: 1\nda", errReset, "Seal", "first")), answers(stream(event(1), nil, "Seal", "second")))
	r.route.Resumable = true
	if err := r.do(); err != nil {
		t.Fatal(err)
	}
	if r.w.Body.String() != event(1) || r.w.Header().Get("Seal") != "second" {
		t.Errorf("the caller got %q %v", r.w.Body, r.w.Header())
	}
}

// Guards against ending the caller's connection regularly when the server of a stream that can't be
// resumed crashes: the truncated stream would look complete.
func TestStreamThatIsNotResumedIsAborted(t *testing.T) {
	r := newRun(t, routes.Stream, answers(stream(event(1)+"id: 2\n", errReset)))
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanYes)
	if !r.aborted || r.w.Body.String() != event(1) {
		t.Errorf("aborted %v, the caller got %q", r.aborted, r.w.Body)
	}
	r = newRun(t, routes.Stream, answers(stream(event(1), errReset)), answers(answer(500, "")))
	r.route.Resumable = true
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanYes)
	if !r.aborted {
		t.Error("not aborted after the second server failed too")
	}
}

func TestStreamWithoutEvents(t *testing.T) {
	r := newRun(t, routes.Stream, answers(stream("", nil, "Seal", "s")))
	if err := r.do(); err != nil || r.w.Code != 200 || r.w.Header().Get("Seal") != "s" {
		t.Errorf("got %v, %d %v", err, r.w.Code, r.w.Header())
	}
}

// Guards against counting an exchange that the caller aborted, while the request waited at the
// server, as a failure of the server.
func TestCallerLeaves(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	r := newRun(t, routes.Stream, func(inner context.Context, _ *engineclient.Forward) (*http.Response, error) {
		cancel(errkind.New(errkind.CallerGone, "the caller left"))
		<-inner.Done()
		return nil, &engineclient.Error{Ran: errkind.RanUnknown, Message: "canceled"}
	})
	r.ctx = ctx
	wantKind(t, r.do(), errkind.CallerGone, errkind.RanUnknown)
	if fmt.Sprint(r.leases.results) != fmt.Sprint([]balance.Result{balance.Abandoned}) {
		t.Errorf("results %v", r.leases.results)
	}
	if r.x.PromptConsumed {
		t.Error("a prompt that may not have been read is marked as consumed")
	}
}

var _ filter.Filter = (*Filter)(nil)

func TestAnswersWithoutABody(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		status int
		length string // sent by the server
		want   string
	}{
		"HEAD":         {http.MethodHead, http.StatusOK, "800", "800"},
		"no content":   {http.MethodPost, http.StatusNoContent, "", ""},
		"not modified": {http.MethodGet, http.StatusNotModified, "", ""},
		"empty":        {http.MethodPost, http.StatusOK, "0", "0"},
	} {
		res := answer(c.status, "")
		if c.length != "" {
			res.Header.Set("Content-Length", c.length)
		}
		r := newRun(t, routes.Idempotent, answers(res))
		r.method = c.method
		if err := r.do(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if got := r.w.Header().Get("Content-Length"); got != c.want || r.w.Code != c.status {
			t.Errorf("%s: %d, Content-Length %q, want %q", name, r.w.Code, got, c.want)
		}
	}
}

func TestConnectionHeadersAreNotForwarded(t *testing.T) {
	r := newRun(t, routes.Idempotent, answers(answer(http.StatusOK, "x", "Connection", "close, X-Hop", "X-Hop", "1", "X-End", "2")))
	if err := r.do(); err != nil {
		t.Fatal(err)
	}
	h := r.w.Header()
	if h.Get("Connection") != "" || h.Get("X-Hop") != "" || h.Get("X-End") != "2" {
		t.Errorf("passed on %v", h)
	}
}

// Guards against a server that has the ID of its own answer dropped by listing the header in Connection.
func TestConnectionCannotDropTheAnswersID(t *testing.T) {
	r := newRun(t, routes.Idempotent, answers(answer(http.StatusOK, "x", "Connection", "x-hop, "+hID, "X-Hop", "1")))
	if err := r.do(); err != nil {
		t.Fatal(err)
	}
	if h := r.w.Header(); h.Get(hID) == "" || h.Get("X-Hop") != "" {
		t.Errorf("passed on %v", h)
	}
}

func TestUnrequestedProtocolSwitch(t *testing.T) {
	r := newRun(t, routes.NonIdempotent, answers(answer(http.StatusSwitchingProtocols, "")))
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanUnknown)
}

// Guards against taking a failure to write to the caller, or the end of the request's own context,
// for a failure of the server, when a caller leaves during an answer that is too long to be
// buffered.
func TestCallerLeavesLongAnswer(t *testing.T) {
	long := strings.Repeat("x", 2*maxBuffered)
	ctx, cancel := context.WithCancelCause(t.Context())
	res := answer(200, long)
	res.Body.(*body).err = errReset
	r := newRun(t, routes.Idempotent, answers(res))
	r.ctx = ctx
	r.onWrite = func() { cancel(errkind.New(errkind.CallerGone, "the caller left")) }
	wantKind(t, r.do(), errkind.CallerGone, errkind.RanYes)
	if fmt.Sprint(r.leases.results) != fmt.Sprint([]balance.Result{balance.Abandoned}) {
		t.Errorf("results %v", r.leases.results)
	}
	r = newRun(t, routes.Idempotent, answers(answer(200, long)))
	r.writeErr = errReset
	_ = r.do()
	if r.x.Attempts[0].Cause == engineclient.CauseStreamTruncated || fmt.Sprint(r.leases.results) == fmt.Sprint([]balance.Result{balance.Broken}) {
		t.Errorf("cause %s, results %v", r.x.Attempts[0].Cause, r.leases.results)
	}
}

func TestLongAnswerIsTruncated(t *testing.T) {
	res := answer(200, strings.Repeat("x", 2*maxBuffered))
	res.Body.(*body).err = errReset
	r := newRun(t, routes.Idempotent, answers(res))
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanYes)
	if !r.aborted || r.x.Attempts[0].Cause != engineclient.CauseStreamTruncated {
		t.Errorf("aborted %v, cause %s", r.aborted, r.x.Attempts[0].Cause)
	}
}

// Begun is set only once bytes of the answer were written: until then the caller can be given a
// status.
func TestBegunMeansBytesWritten(t *testing.T) {
	r := newRun(t, routes.Stream, answers(stream(event(1), nil)))
	before := true
	r.onWrite = func() { before = before && !r.x.Begun }
	if err := r.do(); err != nil || !before || !r.x.Begun {
		t.Errorf("got %v; Begun before the first write: %v, after it: %v", err, !before, r.x.Begun)
	}
}

// Each way in which an answer can fail has its own cause in the log.
func TestCausesOfAnswers(t *testing.T) {
	for want, step := range map[engineclient.Cause]func(context.Context, *engineclient.Forward) (*http.Response, error){
		engineclient.CauseShed:              answers(answer(http.StatusServiceUnavailable, "", hNotRun, "1")),
		engineclient.CauseOtherInstance:     answers(answer(http.StatusMisdirectedRequest, "", hID, "")),
		engineclient.CauseOtherRequest:      answers(answer(200, "", hID, "r0")),
		engineclient.CauseSwitchedProtocols: answers(answer(http.StatusSwitchingProtocols, "")),
		engineclient.CauseBodyTruncated:     answers(stream("id: 1\nda", errReset)),
		engineclient.CauseStreamTruncated:   answers(stream(event(1), errReset)),
		engineclient.CauseReset: func(context.Context, *engineclient.Forward) (*http.Response, error) {
			return nil, &engineclient.Error{Ran: errkind.RanUnknown, Cause: engineclient.CauseReset, Message: strings.Repeat("é", 1<<10)}
		},
	} {
		r := newRun(t, routes.Stream, step)
		r.route.MaxAttempts = 1
		r.leases.servers = r.leases.servers[:1]
		_ = r.do()
		if a := r.x.Attempts[0]; a.Cause != want || len(a.Detail) > 200 || a.Detail == "" {
			t.Errorf("cause %s, want %s, %d bytes of detail", a.Cause, want, len(a.Detail))
		}
	}
	r := newRun(t, routes.Stream, answers(stream(event(1), errReset)), answers(answer(500, "")))
	r.route.Resumable = true
	_ = r.do()
	if a := r.x.Attempts[1]; a.Cause != engineclient.CauseNoStream {
		t.Errorf("cause %s, want %s", a.Cause, engineclient.CauseNoStream)
	}
	r = newRun(t, routes.Idempotent, answers(answer(500, "")), answers(answer(200, "ok")))
	_ = r.do()
	if a := r.x.Attempts; a[0].Cause != engineclient.CauseServerFault || a[1].Cause != engineclient.CauseAnswered || a[1].Detail != "" {
		t.Errorf("causes %s and %s", a[0].Cause, a[1].Cause)
	}
}

// Guards against a request that waits, or reaches a server, although its route and its account allow no region
// in common.
func TestRequestWithoutAnAllowedRegionIsRefusedAtOnce(t *testing.T) {
	r := newRun(t, routes.Idempotent)
	r.route.Regions = []string{"north"}
	r.account = &routes.Account{Name: "school", Regions: []string{"south"}}
	err := r.do()
	wantKind(t, err, errkind.NoBackendServer, errkind.RanNo)
	if errkind.From(err).RetryAfter <= 0 || len(r.x.Attempts) > 0 {
		t.Errorf("Retry-After %v, %d attempts", errkind.From(err).RetryAfter, len(r.x.Attempts))
	}
}
