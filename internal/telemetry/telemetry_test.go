package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// If values were written unquoted, a caller's idempotency key with a line break, spaces, quotes
// or an equals sign could forge a log line, or a pair such as level=info.
func TestValuesCannotForgeLogLines(t *testing.T) {
	var out bytes.Buffer
	tel, err := New(Config{Host: "h1", Zone: "ñuñoa", LogWriter: &out})
	testutil.NoError(t, err)
	tel.Log.Info().Str("key", "a\nlevel=error b=\"c\"").Int("tokens", 7).Msg("request done")
	tel.Log.Debug().Msg("not at this level")
	line, rest, _ := strings.Cut(out.String(), "\n")
	if rest != "" {
		t.Fatalf("more than one line: %q", out.String())
	}
	want := []string{
		"level=info ", " host=h1 ", " zone=ñuñoa ", ` key="a\nlevel=error b=\"c\"" `, " tokens=7 ", ` message="request done"`,
	}
	for _, part := range want {
		if !strings.Contains(line, part) {
			t.Errorf("line %q does not contain %q", line, part)
		}
	}
}

func TestInvalidConfigIsRejected(t *testing.T) {
	faults := map[string]Config{
		"log level": {LogLevel: "loud"},
		"exporter":  {Trace: TraceConfig{Exporter: "pigeon"}},
		"no URL":    {Trace: TraceConfig{Exporter: ExporterOTLP}},
		"no folder": {Trace: TraceConfig{Exporter: ExporterFile, Path: filepath.Join(t.TempDir(), "no", "file")}},
	}
	for name, cfg := range faults {
		if _, err := New(cfg); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// A span of one process must be the parent of the next process's span, by traceparent.
func TestSpansOfTwoProcessesShareOneTrace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.json")
	tel, err := New(Config{Service: "bluebellsaild", Trace: TraceConfig{Exporter: ExporterFile, Path: path}})
	testutil.NoError(t, err)
	ctx, span := tel.Tracer.Start(context.Background(), "first hop")
	header := http.Header{}
	tel.Inject(ctx, header)
	remote := tel.Extract(context.Background(), header)
	_, child := tel.Tracer.Start(remote, "second hop")
	child.End()
	span.End()
	if got, want := child.SpanContext().TraceID(), span.SpanContext().TraceID(); got != want {
		t.Errorf("second hop is in trace %s, first in %s", got, want)
	}
	if got, want := trace.SpanContextFromContext(remote).SpanID(), span.SpanContext().SpanID(); got != want {
		t.Errorf("parent is %s, want %s", got, want)
	}
	testutil.NoError(t, tel.Shutdown(context.Background()))
	written, err := os.ReadFile(path)
	testutil.NoError(t, err)
	if n := bytes.Count(written, []byte(`hop"`)); n != 2 {
		t.Errorf("%d spans in the file, want 2", n)
	}
}

func TestTraceparentPassesThroughWithoutExporter(t *testing.T) {
	const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	tel := Discard()
	in, out := http.Header{"Traceparent": {parent}}, http.Header{}
	ctx, span := tel.Tracer.Start(tel.Extract(context.Background(), in), "hop")
	defer span.End()
	tel.Inject(ctx, out)
	if got := out.Get("traceparent"); got != parent {
		t.Errorf("traceparent %q, want %q", got, parent)
	}
}

func TestMetricsPrintAsJSON(t *testing.T) {
	m := NewMetrics()
	m.Request(OutcomeAnswered)
	m.Refusal(errkind.Overloaded)
	m.Refusal("no such kind")
	m.Takeovers.Add(3)
	for i := 1; i <= 100; i++ {
		m.QueueWait.Observe(time.Duration(i) * time.Millisecond)
	}
	m.FirstToken.Observe(48 * time.Hour)
	var got struct {
		Requests   map[string]int64 `json:"requests"`
		Refusals   map[string]int64 `json:"refusals"`
		Takeovers  int64            `json:"takeovers"`
		QueueWait  HistogramSummary `json:"queue_wait"`
		FirstToken HistogramSummary `json:"first_token"`
	}
	testutil.NoError(t, json.Unmarshal([]byte(m.Var().String()), &got))
	if got.Requests["answered"] != 1 || got.Refusals["overloaded"] != 1 || got.Refusals["internal"] != 1 || got.Takeovers != 3 {
		t.Errorf("counters: %+v", got)
	}
	if len(got.Refusals) != len(errkind.Table) {
		t.Errorf("%d kinds of refusals are published, want all %d of the table", len(got.Refusals), len(errkind.Table))
	}
	q := got.QueueWait
	if q.Count != 100 || q.P50 < 49_000 || q.P50 > 51_000 || q.P99 < 98_000 || q.P99 > 100_000 {
		t.Errorf("queue wait: %+v", q)
	}
	if got.FirstToken.Count != 1 {
		t.Errorf("a duration above the bound was not recorded: %+v", got.FirstToken)
	}
}

func TestPublishTwiceDoesNotEndTheProcess(t *testing.T) {
	if !NewMetrics().Publish("telemetry_test") {
		t.Error("the first metrics were not published")
	}
	if NewMetrics().Publish("telemetry_test") {
		t.Error("second metrics were published under the same name")
	}
}

// Spans must reach a collector by OTLP over HTTP before Shutdown returns.
func TestSpansReachTheCollector(t *testing.T) {
	paths := make(chan string, 4)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { paths <- r.Method + " " + r.URL.Path }))
	defer collector.Close()
	tel, err := New(Config{Trace: TraceConfig{Exporter: ExporterOTLP, URL: collector.URL + "/v1/traces"}})
	testutil.NoError(t, err)
	_, span := tel.Tracer.Start(context.Background(), "hop")
	span.End()
	testutil.NoError(t, tel.Shutdown(context.Background()))
	if len(paths) != 1 {
		t.Fatalf("%d requests to the collector", len(paths))
	}
	if got := <-paths; got != "POST /v1/traces" {
		t.Errorf("the collector got %s", got)
	}
}
