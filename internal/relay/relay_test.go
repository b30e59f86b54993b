package relay_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/relay/budget"
	"github.com/bluebellsail/bluebellsail/internal/relay/deadline"
	"github.com/bluebellsail/bluebellsail/internal/relay/identify"
	"github.com/bluebellsail/bluebellsail/internal/relay/match"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const key = "key-of-school"

func prepaid(n uint64) *uint64 { return &n }

// index returns a routing table with a keyed, an anonymous and a split route.
func index(t *testing.T) *routes.Index {
	t.Helper()
	table := routes.Table{
		Keyed: true,
		Routes: []routes.Route{
			{Name: "keyed", Host: "h", Prefix: "/keyed/", Kind: routes.Stream, Timeout: settings.Duration(time.Minute), MaxAttempts: 1,
				Targets: []routes.Target{{Service: "pool", Weight: 1}}},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: routes.Idempotent, Timeout: settings.Duration(time.Second), MaxAttempts: 1,
				Anonymous: true, Targets: []routes.Target{{Service: "pool", Weight: 1}}},
			{Name: "split", Host: "h", Prefix: "/split/", Kind: routes.Idempotent, Timeout: settings.Duration(time.Second), MaxAttempts: 1,
				Anonymous: true, Targets: []routes.Target{{Service: "pool", Weight: 3}, {Service: "other", Weight: 1}}},
		},
		Services: []routes.Service{{Name: "pool"}, {Name: "other"}},
		Accounts: []routes.Account{
			{Name: "school", KeyHashes: []string{settings.HashKey(key)}, Prepaid: prepaid(1000)},
			{Name: "free", KeyHashes: []string{settings.HashKey("key-of-free")}},
		},
	}
	b, err := json.Marshal(table)
	testutil.NoError(t, err)
	x, err := routes.Decode(3, b)
	testutil.NoError(t, err)
	return x
}

type tables struct {
	index *routes.Index
	err   error
	// await is called by Await; may be nil.
	await func(context.Context)
	// newest is the confirmed table; nil means index. unconfirmed is the error if no table is
	// confirmed.
	newest      *routes.Index
	unconfirmed error
}

func (t tables) Await(ctx context.Context) (*routes.Index, error) {
	if t.await != nil {
		t.await(ctx)
	}
	return t.index, t.err
}

func (t tables) Newest(context.Context) (*routes.Index, error) {
	if t.newest != nil {
		return t.newest, nil
	}
	return t.index, t.unconfirmed
}

// runFilters sends a request through filters to end.
func runFilters(x *relay.Exchange, end filter.HandlerFunc, filters ...filter.Filter) error {
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	return filter.Chain(end, filters...).ServeHTTP(httptest.NewRecorder(), r.WithContext(relay.WithExchange(r.Context(), x)))
}

func exchange(path string) *relay.Exchange {
	return &relay.Exchange{Arrived: time.Now(), Request: &relay.Request{ID: "r1", Host: "H:80", Path: path}}
}

func accept(http.ResponseWriter, *http.Request) error { return nil }

func never(t *testing.T) filter.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) error {
		t.Error("the request passed the filters")
		return nil
	}
}

func TestMatchFindsRouteAndService(t *testing.T) {
	x := exchange("/keyed/a")
	testutil.NoError(t, runFilters(x, accept, &match.Filter{Tables: tables{index: index(t)}}))
	if x.Route.Name != "keyed" || x.Service.Name != "pool" || x.Table.Revision() != 3 {
		t.Errorf("matched %+v", x)
	}
	testutil.Refused(t, runFilters(exchange("/none/"), never(t), &match.Filter{Tables: tables{index: index(t)}}), errkind.UnknownPath, "no route")
	notReady := errkind.New(errkind.HostNotReady, "no table")
	testutil.Refused(t, runFilters(exchange("/keyed/"), never(t), &match.Filter{Tables: tables{err: notReady}}), errkind.HostNotReady, "no table")
}

// A route or key that the table in force lacks is reported as unknown only if a quorum confirmed
// that there is no newer table. Otherwise the caller would be told not to retry a request that
// other hosts serve.
func TestUnknownRouteOrKeyNeedsTheNewestTable(t *testing.T) {
	b, err := json.Marshal(routes.Table{Keyed: true})
	testutil.NoError(t, err)
	older, err := routes.Decode(2, b)
	testutil.NoError(t, err)
	for name, c := range map[string]struct {
		tables tables
		path   string
		kind   errkind.Kind
	}{
		"newer table":               {tables{index: older, newest: index(t)}, "/keyed/", ""},
		"route not in the newest":   {tables{index: older, newest: index(t)}, "/none/", errkind.UnknownPath},
		"route without confirmed":   {tables{index: older, unconfirmed: errkind.New(errkind.HostNotReady, "")}, "/keyed/", errkind.HostNotReady},
		"served without confirmed":  {tables{index: index(t), unconfirmed: errkind.New(errkind.HostNotReady, "")}, "/keyed/", ""},
		"newer table that drops it": {tables{index: index(t), newest: older}, "/keyed/", ""},
	} {
		x := exchange(c.path)
		x.Key = key
		err := runFilters(x, accept, &match.Filter{Tables: c.tables}, &identify.Filter{Tables: c.tables})
		if c.kind != "" {
			testutil.Refused(t, err, c.kind, name)
		} else if err != nil || x.Route.Name != "keyed" || x.AccountName() != "school" {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, c := range map[string]struct {
		tables tables
		kind   errkind.Kind
	}{
		"key without confirmed":  {tables{index: index(t), unconfirmed: errkind.New(errkind.HostNotReady, "")}, errkind.HostNotReady},
		"key not in the newest":  {tables{index: index(t)}, errkind.Unauthenticated},
		"newest drops the route": {tables{index: index(t), newest: older}, errkind.UnknownPath},
	} {
		x := exchange("/keyed/")
		x.Key = "other"
		testutil.Refused(t, runFilters(x, never(t), &match.Filter{Tables: c.tables}, &identify.Filter{Tables: c.tables}), c.kind, name)
	}
}

func TestMatchSplitsByWeight(t *testing.T) {
	got := map[string]int{}
	f := &match.Filter{Tables: tables{index: index(t)}}
	for range 4000 {
		x := exchange("/split/")
		testutil.NoError(t, runFilters(x, accept, f))
		got[x.Service.Name]++
	}
	if got["pool"] < 2700 || got["pool"] > 3300 {
		t.Errorf("weights of 3 to 1 gave %v", got)
	}
}

func TestIdentify(t *testing.T) {
	for name, c := range map[string]struct {
		path, key, account string
		kind               errkind.Kind
	}{
		"key":                   {"/keyed/", key, "school", ""},
		"no key":                {"/keyed/", "", "", errkind.Unauthenticated},
		"unknown key":           {"/keyed/", "other", "", errkind.Unauthenticated},
		"anonymous":             {"/open/", "", "", ""},
		"anonymous with a key":  {"/open/", key, "school", ""},
		"anonymous, wrong key":  {"/open/", "other", "", ""},
		"hash in place of keys": {"/keyed/", settings.HashKey(key), "", errkind.Unauthenticated},
	} {
		x := exchange(c.path)
		x.Key = c.key
		err := runFilters(x, accept, &match.Filter{Tables: tables{index: index(t)}}, &identify.Filter{Tables: tables{index: index(t)}})
		if c.kind != "" {
			testutil.Refused(t, err, c.kind, name)
			continue
		}
		if err != nil || x.AccountName() != c.account {
			t.Errorf("%s: account %q, %v", name, x.AccountName(), err)
		}
	}
}

// Guards against a request with a short timeout that spends it waiting at a host that is starting.
func TestWaitForATableIsAPartOfTheTimeout(t *testing.T) {
	x := exchange("/open/")
	x.CallerTimeout = 800 * time.Millisecond
	asked := time.Now()
	await := func(ctx context.Context) {
		if at, ok := ctx.Deadline(); !ok || at.Sub(asked) > x.CallerTimeout/3 {
			t.Errorf("may wait for %s", at.Sub(asked))
		}
	}
	served := func(_ http.ResponseWriter, r *http.Request) error { return r.Context().Err() }
	testutil.NoError(t, runFilters(x, served, &match.Filter{Tables: tables{index: index(t), await: await}}))
}

func TestDeadlineIsTheSoonerOfCallerAndRouteTimeout(t *testing.T) {
	for callerTimeout, want := range map[time.Duration]time.Duration{
		0: time.Minute, 10 * time.Second: 10 * time.Second, 2 * time.Minute: time.Minute,
	} {
		x := exchange("/keyed/")
		x.CallerTimeout = callerTimeout
		err := runFilters(x, func(_ http.ResponseWriter, r *http.Request) error {
			if at, ok := r.Context().Deadline(); !ok || !at.Equal(x.Deadline) {
				t.Errorf("the context's deadline is %v, the exchange's %v", at, x.Deadline)
			}
			return nil
		}, &match.Filter{Tables: tables{index: index(t)}}, &deadline.Filter{})
		testutil.NoError(t, err)
		if got := x.Deadline.Sub(x.Arrived); got != want {
			t.Errorf("caller timeout %v: the deadline is after %v", callerTimeout, got)
		}
	}
}

type fixedDelay time.Duration

func (d fixedDelay) Delay(time.Time) time.Duration { return time.Duration(d) }

// Guards against requests that are held past their route's timeout by a host whose link is full: the
// time that a request waited on the link before it was read counts.
func TestDeadlineCountsTheWaitOnTheLink(t *testing.T) {
	for _, tt := range []struct {
		delay, deadline time.Duration
		refused         bool
	}{
		{0, time.Second, false},
		{300 * time.Millisecond, 700 * time.Millisecond, false},
		// The answer of a server can't arrive in time.
		{700 * time.Millisecond, 300 * time.Millisecond, true},
		{2 * time.Second, -time.Second, true},
	} {
		x := exchange("/open/")
		served := false
		err := runFilters(x, func(http.ResponseWriter, *http.Request) error {
			served = true
			return nil
		}, &match.Filter{Tables: tables{index: index(t)}}, &deadline.Filter{Delay: fixedDelay(tt.delay)})
		if got := x.Deadline.Sub(x.Arrived); got != tt.deadline || served == tt.refused {
			t.Errorf("with a delay of %s: the deadline is after %s, served %t", tt.delay, got, served)
		}
		if !tt.refused {
			testutil.NoError(t, err)
			continue
		}
		testutil.Refused(t, err, errkind.DeadlineUnreachable, "a request that came too late")
		if e := errkind.From(err); e.Ran() != errkind.RanNo || e.RetryAfter <= 0 {
			t.Errorf("ran %s, retry after %s", e.Ran(), e.RetryAfter)
		}
	}
}

func TestDeadlineExceededIsTheCause(t *testing.T) {
	x := exchange("/keyed/")
	x.CallerTimeout = time.Millisecond
	err := runFilters(x, func(_ http.ResponseWriter, r *http.Request) error {
		<-r.Context().Done()
		return filter.ContextError(r.Context())
	}, &match.Filter{Tables: tables{index: index(t)}}, &deadline.Filter{})
	testutil.Refused(t, err, errkind.DeadlineExceeded, "after the deadline")
}

// fakeBudgets records the tokens reserved and spent.
type fakeBudgets struct {
	refuse   error
	reserved map[string]uint64
	spent    map[string]uint64
}

func newFakeBudgets() *fakeBudgets {
	return &fakeBudgets{reserved: map[string]uint64{}, spent: map[string]uint64{}}
}

func (p *fakeBudgets) Reserve(_ context.Context, budget, id string, tokens uint64) (string, error) {
	if p.refuse == nil {
		p.reserved[budget+"/"+id] += tokens
	}
	return "holder", p.refuse
}

func (p *fakeBudgets) Spend(id string, tokens uint64) { p.spent[id] += tokens + 1 } // the 1 shows that Spend was called

func TestBudgetBillsWhatWasUsed(t *testing.T) {
	for name, c := range map[string]struct {
		input  bool
		output uint64
		want   uint64
	}{
		"not run":            {false, 0, 0},
		"ran, no output":     {true, 0, 300},
		"ran":                {true, 60, 360},
		"longer than capped": {true, 900, 400},
	} {
		p := newFakeBudgets()
		x := exchange("/keyed/")
		x.Key, x.PromptTokens, x.OutputCap = key, 300, 100
		err := runFilters(x, func(http.ResponseWriter, *http.Request) error {
			x.PromptConsumed, x.OutputTokens = c.input, c.output
			return nil
		}, &match.Filter{Tables: tables{index: index(t)}}, &identify.Filter{Tables: tables{index: index(t)}}, &budget.Filter{Budgets: p})
		testutil.NoError(t, err)
		if p.reserved["school/r1"] != 400 || p.spent["r1"] != c.want+1 {
			t.Errorf("%s: reserved %v, spent %d, want %d", name, p.reserved, p.spent["r1"]-1, c.want)
		}
	}
}

// Guards against billing a prompt of which no answer reached the caller. Servers that read prompts
// and then reset the connections would use up an account's budget, and its callers would be
// answered 402.
func TestFailedRequestsBillWhatReachedTheCaller(t *testing.T) {
	for name, c := range map[string]struct {
		begun  bool
		output uint64
		want   uint64
	}{
		"answer lost before any of it came": {false, 0, 0},
		"stream broken off":                 {true, 60, 360},
	} {
		p := newFakeBudgets()
		x := exchange("/keyed/")
		x.Key, x.PromptTokens, x.OutputCap = key, 300, 100
		err := runFilters(x, func(http.ResponseWriter, *http.Request) error {
			x.PromptConsumed, x.Begun, x.OutputTokens = true, c.begun, c.output
			return errkind.New(errkind.BackendServerFailed, "reset").WithRan(errkind.RanUnknown)
		}, &match.Filter{Tables: tables{index: index(t)}}, &identify.Filter{Tables: tables{index: index(t)}}, &budget.Filter{Budgets: p})
		testutil.Refused(t, err, errkind.BackendServerFailed, name)
		if p.spent["r1"] != c.want+1 {
			t.Errorf("%s: spent %d, want %d", name, p.spent["r1"]-1, c.want)
		}
	}
}

func TestBudgetRefusalEndsTheRequest(t *testing.T) {
	p := newFakeBudgets()
	p.refuse = errkind.New(errkind.BudgetExhausted, "no tokens are left")
	x := exchange("/keyed/")
	x.Key, x.PromptTokens = key, 300
	err := runFilters(x, never(t), &match.Filter{Tables: tables{index: index(t)}}, &identify.Filter{Tables: tables{index: index(t)}}, &budget.Filter{Budgets: p})
	testutil.Refused(t, err, errkind.BudgetExhausted, "no tokens left")
	if len(p.spent) != 0 {
		t.Errorf("spent %v", p.spent)
	}
}

func TestBudgetSkipsRequestsWithoutBudgetOrTokens(t *testing.T) {
	for name, change := range map[string]func(x *relay.Exchange){
		"account without a budget": func(x *relay.Exchange) { x.Key = "key-of-free"; x.PromptTokens = 5 },
		"no account":               func(x *relay.Exchange) { x.Path = "/open/"; x.PromptTokens = 5 },
		"no tokens":                func(x *relay.Exchange) { x.Key = key },
	} {
		p := newFakeBudgets()
		x := exchange("/keyed/")
		change(x)
		err := runFilters(x, accept, &match.Filter{Tables: tables{index: index(t)}}, &identify.Filter{Tables: tables{index: index(t)}}, &budget.Filter{Budgets: p})
		if err != nil || len(p.reserved)+len(p.spent) != 0 {
			t.Errorf("%s: %v, reserved %v", name, err, p.reserved)
		}
	}
}

// fakeDialect is a Dialect that decodes nothing but the path and the body.
type fakeDialect struct {
	relay.Dialect
	decodeErr error
	refused   error
}

func (d *fakeDialect) Decode(r *http.Request, body []byte) (*relay.Request, error) {
	return &relay.Request{ID: "r1", Path: r.URL.Path, Body: body}, d.decodeErr
}

func (d *fakeDialect) Refuse(w http.ResponseWriter, _ *relay.Exchange, err error) {
	d.refused = err
	w.WriteHeader(errkind.From(err).Status())
}

type observer struct {
	x   *relay.Exchange
	err error
}

func (o *observer) Finished(x *relay.Exchange, err error) { o.x, o.err = x, err }

// filterFunc is a filter.Filter that answers the request itself.
type filterFunc func(w http.ResponseWriter, r *http.Request) error

func (f filterFunc) ServeHTTP(w http.ResponseWriter, r *http.Request, _ filter.Handler) error {
	return f(w, r)
}

func TestHandlerRefusesOnceAndNotifiesObserver(t *testing.T) {
	fault := errkind.New(errkind.BadRequest, "the request can't be decoded")
	full := errkind.New(errkind.Overloaded, "full")
	for name, c := range map[string]struct {
		decode error
		chain  filterFunc
		want   int
	}{
		"unreadable":     {decode: fault, want: 400},
		"refused":        {chain: func(http.ResponseWriter, *http.Request) error { return full }, want: 429},
		"not a kind":     {chain: func(http.ResponseWriter, *http.Request) error { return http.ErrBodyNotAllowed }, want: 500},
		"already begun":  {chain: begunThenFails, want: 200},
		"answered":       {chain: func(w http.ResponseWriter, _ *http.Request) error { w.WriteHeader(204); return nil }, want: 204},
		"nobody answers": {want: 500},
	} {
		d, o := &fakeDialect{decodeErr: c.decode}, &observer{}
		var filters []filter.Filter
		if c.chain != nil {
			filters = append(filters, c.chain)
		}
		w := httptest.NewRecorder()
		relay.NewHandler(d, o, filters...).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/p", strings.NewReader("body")))
		if w.Code != c.want {
			t.Errorf("%s: %d, want %d", name, w.Code, c.want)
		}
		if o.x == nil || (o.err == nil) != (c.want < 400 && name != "already begun") {
			t.Errorf("%s: the observer received %v", name, o.err)
		}
		if name == "already begun" && d.refused != nil {
			t.Errorf("%s: a refusal was sent after the answer had begun", name)
		}
	}
}

func begunThenFails(w http.ResponseWriter, r *http.Request) error {
	relay.ExchangeFrom(r.Context()).Begun = true
	w.WriteHeader(http.StatusOK)
	return errkind.New(errkind.BackendServerFailed, "broken off")
}
