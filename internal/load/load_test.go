package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/standin"
)

func startServer(t *testing.T) *standin.Server {
	t.Helper()
	s := standin.New(standin.Options{Models: []string{"m"}, Services: []string{"cash"}})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// fakeHost starts a host that answers GET /v1/addresses with answer and all other requests
// with serve.
func fakeHost(t *testing.T, answer func() addressAnswer, serve http.Handler) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(answer())
	})
	mux.Handle("/", serve)
	host := httptest.NewServer(mux)
	t.Cleanup(host.Close)
	return strings.TrimPrefix(host.URL, "http://")
}

func items(addresses ...string) []addressItem {
	var list []addressItem
	for _, a := range addresses {
		list = append(list, addressItem{Address: a})
	}
	return list
}

func testOptions() Options {
	return Options{
		Accounts:    []Account{{Name: "a", Key: "ka"}, {Name: "b", Key: "kb"}},
		Model:       "m",
		Stream:      true,
		MaxTokens:   20,
		Seed:        "test",
		Count:       40,
		Concurrency: 4,
		Timeout:     10 * time.Second,
		Attempts:    3,
	}
}

func run(t *testing.T, o Options) *Report {
	t.Helper()
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestDirectRunCountsAllTokens(t *testing.T) {
	s := startServer(t)
	for _, stream := range []bool{true, false} {
		o := testOptions()
		o.Direct, o.Stream = s.Address(), stream
		before := s.Runs().Output
		r := run(t, o)
		want := uint64(s.Runs().Output - before)
		for n := range o.Count {
			content := o.prompt(o.requestOf(n))
			want += uint64(standin.Prompt{Roles: []string{"user"}, Contents: []string{content}}.Tokens())
		}
		if r.Answered != o.Count || r.BilledTotal != want || r.Billed["a"]+r.Billed["b"] != want {
			t.Fatalf("stream %v: %+v, want %d answered and %d tokens", stream, r, o.Count, want)
		}
	}
}

func TestRunAtRateSendsTheCount(t *testing.T) {
	o := testOptions()
	o.Direct, o.Rate = startServer(t).Address(), 400
	if r := run(t, o); r.Answered != o.Count || r.Seconds < 0.09 {
		t.Fatalf("%+v", r)
	}
}

func TestPlainServiceWork(t *testing.T) {
	s := startServer(t)
	for _, work := range []Work{WorkLookup, WorkEntry} {
		o := testOptions()
		o.Direct, o.Work, o.Service = s.Address(), work, "cash"
		if r := run(t, o); r.Answered != o.Count {
			t.Fatalf("%s: %+v", work, r)
		}
	}
	again := testOptions()
	again.Direct, again.Work, again.Service = s.Address(), WorkEntry, "cash"
	if r := run(t, again); r.Wrong != again.Count || !r.HasFailures() {
		t.Fatalf("entries that were executed before must count as wrong: %+v", r)
	}
}

// Guards against accepting another caller's answer after a mix-up in between. That answer is
// complete, so only its content shows that it is wrong.
func TestCrossedAnswerIsWrong(t *testing.T) {
	s := startServer(t)
	cross := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := `{"model":"m","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"another"}]}`
		s.Handler().ServeHTTP(w, httptest.NewRequest("POST", r.URL.Path, strings.NewReader(body)))
	})
	o := testOptions()
	o.Direct = fakeHost(t, nil, cross)
	if r := run(t, o); r.Wrong != o.Count || !r.HasFailures() {
		t.Fatalf("%+v", r)
	}
}

func TestCutStreamIsLost(t *testing.T) {
	s := startServer(t)
	s.SetFaults(standin.Faults{DropAfterTokens: 2}, nil)
	o := testOptions()
	o.Direct = s.Address()
	if r := run(t, o); r.Lost != o.Count || r.Attempts != 3*o.Count || r.Broken != r.Attempts || !r.HasFailures() {
		t.Fatalf("%+v", r)
	}
	o.Direct = fakeHost(t, nil, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
	}))
	if r := run(t, o); r.Lost != o.Count {
		t.Fatalf("a stream that ends without [DONE]: %+v", r)
	}
	for _, end := range []string{"data: [DONE]", "data: [DONE]\n"} {
		o.Direct = fakeHost(t, nil, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, end)
		}))
		if r := run(t, o); r.Lost != o.Count {
			t.Fatalf("a stream that ends inside its last event: %+v", r)
		}
	}
}

func TestCallerRetriesElsewhereWithSameKey(t *testing.T) {
	s := startServer(t)
	var mu sync.Mutex
	keys := map[string]int{}
	note := func(r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		keys[r.Header.Get(filter.HeaderIdempotencyKey)]++
	}
	dead := fakeHost(t, nil, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		note(r)
		panic(http.ErrAbortHandler)
	}))
	var live string
	answer := func() addressAnswer { return addressAnswer{Addresses: items(dead, live), TTLMS: 60000} }
	live = fakeHost(t, answer, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		note(r)
		if r.Header.Get("Authorization") == "" || r.Header.Get(filter.HeaderTimeout) == "" {
			t.Error("key or deadline is missing")
		}
		s.Handler().ServeHTTP(w, r)
	}))
	o := testOptions()
	o.Hosts, o.Concurrency = []string{live}, 1
	r := run(t, o)
	again := r.Attempts - o.Count
	if r.Answered != o.Count || r.Addresses != 1 || again < 1 || again > o.Count/4 {
		t.Fatalf("%+v, want all answered, few after two attempts, with one fetch of addresses", r)
	}
	if len(keys) != o.Count {
		t.Fatalf("%d keys for %d requests", len(keys), o.Count)
	}
}

func TestSilentHostIsAbandonedAfterPatience(t *testing.T) {
	s := startServer(t)
	s.SetFaults(standin.Faults{Silent: true}, nil)
	o := testOptions()
	o.Direct, o.Count, o.Patience, o.Attempts = s.Address(), 1, 20*time.Millisecond, 2
	r := run(t, o)
	if r.Lost != 1 || !strings.Contains(r.Faults[0], errSilent.Error()) {
		t.Fatalf("%+v", r)
	}
}

func TestOncePrintsARefusal(t *testing.T) {
	const body = `{"error":{"kind":"budget_exhausted","ran":"no","message":"empty","retry_after_ms":30000}}`
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusPaymentRequired)
		_, _ = w.Write([]byte(body))
	})
	var out bytes.Buffer
	err := command(&out).Run(context.Background(), []string{"load", "once", "--direct", fakeHost(t, nil, refuse), "--model", "m"})
	if err != exitStatus(exitRefused) {
		t.Fatalf("got %v", err)
	}
	if want := "refused: budget_exhausted, status 402, ran: no, come back in 30s\n"; !strings.HasPrefix(out.String(), want) {
		t.Fatalf("got %q", out.String())
	}
}

func TestReportListsRequestsNotRun(t *testing.T) {
	s := startServer(t)
	s.SetFaults(standin.Faults{Refuse: true}, nil)
	o := testOptions()
	o.Direct, o.Count, o.Attempts = s.Address(), 2, 1
	r := run(t, o)
	if r.Refused != 2 || r.Uncertain != 0 || len(r.NotRun) != 2 || r.Refusals[0].Ran != errkind.RanNo {
		t.Fatalf("%+v", r)
	}
}

func TestDecideRetry(t *testing.T) {
	refusedAs := func(k errkind.Kind, after time.Duration) *attempt {
		e := errorJSON{Kind: string(k), RetryAfterMS: after.Milliseconds()}
		return &attempt{refusal: e.refusal(http.StatusServiceUnavailable, nil)}
	}
	for name, c := range map[string]struct {
		a    *attempt
		left time.Duration
		n    int
		want retryDecision
	}{
		"success":          {&attempt{}, time.Second, 1, retryDecision{}},
		"broken":           {&attempt{broken: os.ErrClosed}, time.Second, 1, retryDecision{true, brokenRetryDelay}},
		"broken, last try": {&attempt{broken: os.ErrClosed}, time.Second, 4, retryDecision{}},
		"broken, no time":  {&attempt{broken: os.ErrClosed}, 0, 1, retryDecision{}},
		"retry in time":    {refusedAs(errkind.Overloaded, 200*time.Millisecond), time.Second, 1, retryDecision{true, 200 * time.Millisecond}},
		"retry too late":   {refusedAs(errkind.Overloaded, 2*time.Second), time.Second, 1, retryDecision{}},
		"never retry":      {refusedAs(errkind.Forbidden, time.Millisecond), time.Second, 1, retryDecision{}},
		"the answer's retry overrides the table's": {
			&attempt{refusal: (&errorJSON{Kind: "overloaded", Retry: "never", RetryAfterMS: 1}).refusal(429, nil)},
			time.Second, 1, retryDecision{},
		},
		"host leaves":       {refusedAs(errkind.HostLeaving, 0), time.Second, 1, retryDecision{retry: true}},
		"in progress":       {refusedAs(errkind.InProgress, 0), time.Second, 1, retryDecision{true, firstBackoff}},
		"still in progress": {refusedAs(errkind.InProgress, 0), time.Second, 3, retryDecision{true, 4 * firstBackoff}},
	} {
		if got := decideRetry(c.a, c.left, c.n, 4); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

func TestAddressCacheExpires(t *testing.T) {
	b, now := newAddressCache(), time.Unix(1000, 0)
	if !b.stale(now) {
		t.Fatal("an empty cache must be stale")
	}
	b.set(now, addressAnswer{Addresses: items("x", "y"), TTLMS: 1000})
	if b.stale(now.Add(999*time.Millisecond)) || !b.stale(now.Add(time.Second)) {
		t.Fatal("the answer must be valid for one second")
	}
	if got, _ := b.pick(now, nil); got != "x" {
		t.Fatalf("picked %s, want the first", got)
	}
	if got, _ := b.pick(now, map[string]bool{"x": true}); got != "y" {
		t.Fatalf("picked %s, which was already tried", got)
	}
	b.fail(now, "x")
	if got, _ := b.pick(now, map[string]bool{"y": true}); got != "y" {
		t.Fatalf("picked %s, which failed recently", got)
	}
	if got, _ := b.pick(now.Add(avoidFailedFor), nil); got != "x" {
		t.Fatalf("picked %s, want the first again", got)
	}
}

func TestLateAnswerIsCountedAsLate(t *testing.T) {
	r := &request{work: WorkLookup, query: "q"}
	res := result{last: &attempt{code: standin.LookupCode("q")}, total: 2 * time.Second}
	res.classify(r, time.Second)
	if res.outcome != late {
		t.Fatalf("outcome %d, want late", res.outcome)
	}
}
