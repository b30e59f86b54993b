package callerapi

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/filter/parse"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// arrival is one request of a random history.
type arrival struct {
	Host, Key           int
	StartMs, DeadlineMs int
}

// engineSpec is one engine of a random history.
type engineSpec struct {
	Fault   string
	At      int
	Resumes bool
	Stuck   bool
}

// history is one random case: the engines, and which requests arrive where and when. The key
// determines the path, whether the request is idempotent, and the body.
type history struct {
	Engines     []engineSpec
	Arrivals    []arrival
	Partitioned bool // the hosts don't see each other's records
	KillAtMs    int  // when host 0 starts to count as dead although it continues to run; 0: never
}

var faultNames = []string{"", "", "", "refuses connections", "rejects before running", "rejects as invalid", "dies without an answer",
	"never answers", "answers 500", "answers 400", "answers for another run", "dies in the stream", "falls silent", "reports an error", "is stopped", "stalls", "is slow"}

func drawHistory(t *rapid.T) history {
	engine := rapid.Custom(func(t *rapid.T) engineSpec {
		return engineSpec{rapid.SampledFrom(faultNames).Draw(t, "fault"), rapid.IntRange(0, 4).Draw(t, "at"), rapid.Bool().Draw(t, "resumes"), rapid.Bool().Draw(t, "stuck")}
	})
	call := rapid.Custom(func(t *rapid.T) arrival {
		return arrival{rapid.IntRange(0, 1).Draw(t, "host"), rapid.IntRange(0, 5).Draw(t, "key"),
			rapid.IntRange(0, 3000).Draw(t, "start"), rapid.SampledFrom([]int{100, 1000, 4000}).Draw(t, "deadline")}
	})
	return history{rapid.SliceOfN(engine, 1, 3).Draw(t, "engines"), rapid.SliceOfN(call, 1, 8).Draw(t, "calls"), rapid.Bool().Draw(t, "apart"), rapid.SampledFrom([]int{0, 0, 500, 2000}).Draw(t, "kill")}
}

func isNotIdempotent(key int) bool { return key%2 == 1 }

func requestOf(key int) (path, body string) {
	switch key / 2 {
	case 0:
		return parse.PathChat, strings.Replace(chatBody, "hello", fmt.Sprintf("key%d.", key), 1)
	case 1:
		return parse.PathChat, strings.Replace(plainBody, "hello", fmt.Sprintf("key%d.", key), 1)
	}
	return service, fmt.Sprintf("key%d.", key)
}

func TestRandomHistories(t *testing.T) {
	// Checks invariants in random histories: engines with random faults, and requests with few
	// keys that arrive at two hosts, one of which counts as dead from some time on. A failure
	// prints the history.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "500"} {
		testutil.NoError(t, flag.Set(name, value))
	}
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		var violations []string
		synctest.Test(t, func(t *testing.T) { violations = runHistory(t, h) })
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

// runHistory runs a history and returns the violations found with the knowledge of all
// engines.
func runHistory(t *testing.T, h history) (violations []string) {
	f := newFleet()
	for _, s := range h.Engines {
		f.engine(s.Resumes, s.Fault, s.At).stuck = s.Stuck
	}
	hosts := []*fakeHost{f.host("a"), f.host("b")}
	if h.Partitioned {
		hosts[1].ownRecords = map[string]*pb.InflightRecord{}
	}
	if h.KillAtMs > 0 {
		time.AfterFunc(time.Duration(h.KillAtMs)*time.Millisecond, func() { f.mu.Lock(); f.dead["a"] = true; f.mu.Unlock() })
	}
	var mu sync.Mutex
	report := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		violations = append(violations, fmt.Sprintf(format, args...))
	}
	var wg sync.WaitGroup
	for i, a := range h.Arrivals {
		wg.Go(func() {
			time.Sleep(time.Duration(a.StartMs) * time.Millisecond)
			checkArrival(f, hosts[a.Host], i, a, report)
		})
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	for key := range 6 {
		runs := 0
		for _, e := range f.engines {
			e.count(func() { runs += strings.Count(strings.Join(e.bodies, " "), fmt.Sprintf("key%d.", key)) })
		}
		if isNotIdempotent(key) && runs > 1 {
			report("key %d is not idempotent and ran %d times", key, runs)
		}
	}
	f.end(t)
	return violations
}

// checkArrival sends one request and checks its answer.
func checkArrival(f *fakeFleet, host *fakeHost, i int, a arrival, report func(string, ...any)) {
	path, body := requestOf(a.Key)
	began := time.Now()
	w := host.do(path, body, filter.HeaderIdempotencyKey, fmt.Sprint(a.Key), filter.HeaderNotIdempotent, fmt.Sprint(isNotIdempotent(a.Key)),
		filter.HeaderTimeout, fmt.Sprint(a.DeadlineMs))
	if took := time.Since(began); took > time.Duration(a.DeadlineMs)*time.Millisecond {
		report("arrival %d was answered after %v", i, took)
	}
	got := w.Body.String()
	refused := strings.Contains(got, `{"error":{"kind"`)
	whole := got == "service:"+body
	if path == parse.PathChat {
		text, done := textOf(got)
		whole = done && text == wholeText || strings.Contains(got, `"content":"`+wholeText+`"`)
	}
	f.mu.Lock()
	_, billed := f.billed[fmt.Sprintf("school/%d", a.Key)]
	f.mu.Unlock()
	switch {
	case whole == refused && w.Code < 400:
		report("arrival %d got neither a complete answer nor a refusal, or both: %q", i, got)
	case whole && !billed:
		report("arrival %d got its answer without a bill", i)
	case refused && strings.Contains(got, `"ran":"`+string(errkind.RanNo)+`"`) && ranAnywhere(f, w.Header().Get(filter.HeaderRequestID)):
		report("arrival %d ran but was answered with ran \"no\": %s", i, got)
	}
}

// ranAnywhere reports whether an engine ran any attempt of a request.
func ranAnywhere(f *fakeFleet, requestID string) (ran bool) {
	for _, e := range f.engines {
		e.count(func() { ran = ran || strings.Contains(strings.Join(e.ids, " "), requestID) })
	}
	return ran
}
