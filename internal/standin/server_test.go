package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const testLimit = 10 * time.Second

func start(t *testing.T, o Options) *Server {
	t.Helper()
	o.Models = []string{"m"}
	o.Services = []string{"cash"}
	s := New(o)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func call(t *testing.T, s *Server, method, path, engineID, body string) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if engineID != "" {
		req.Header.Set(HeaderEngineRequest, engineID)
	}
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func chatBody(content string, maxTokens int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, maxTokens, content)
}

func hashOf(content string) uint64 {
	return Prompt{Roles: []string{"user"}, Contents: []string{content}}.Hash()
}

// readStream returns the text and the usage in an event stream. done is true if the stream ended
// with [DONE].
func readStream(r io.Reader) (text string, u usage, done bool) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, u, true
		}
		var c completion
		if json.Unmarshal([]byte(data), &c) != nil {
			return text, u, false
		}
		for _, ch := range c.Choices {
			text += ch.Delta.Content
		}
		if c.Usage != nil {
			u = *c.Usage
		}
	}
	return text, u, false
}

func decode[T any](t *testing.T, r io.Reader) T {
	t.Helper()
	var v T
	if err := json.NewDecoder(r).Decode(&v); err != nil {
		t.Fatal(err)
	}
	return v
}

func TestEachCallerGetsItsOwnWholeAnswer(t *testing.T) {
	s := start(t, Options{Slots: 4})
	var callers sync.WaitGroup
	for i := range 24 {
		resp := call(t, s, "POST", "/v1/chat/completions", "", chatBody(fmt.Sprint("prompt ", i), 40))
		callers.Go(func() {
			h := hashOf(fmt.Sprint("prompt ", i))
			n := OutputTokens(h, 40, false)
			text, u, done := readStream(resp.Body)
			if !done || text != Answer(h, 0, n) || u.CompletionTokens != n || n > 40 || n < 20 {
				t.Errorf("caller %d: done %v, usage %+v, text %q", i, done, u, text)
			}
		})
	}
	callers.Wait()
}

func TestWholeAnswerAndPlainCompletion(t *testing.T) {
	s := start(t, Options{})
	resp := call(t, s, "POST", "/v1/completions", "", `{"model":"m","prompt":"abcd","max_tokens":5,"ignore_eos":true}`)
	got := decode[completion](t, resp.Body)
	h := Prompt{Roles: []string{""}, Contents: []string{"abcd"}}.Hash()
	if *got.Choices[0].Text != Answer(h, 0, 5) || *got.Choices[0].FinishReason != "length" {
		t.Fatalf("answer %+v", got.Choices[0])
	}
	if got.Usage.PromptTokens != 5 || got.Usage.TotalTokens != 10 {
		t.Fatalf("usage %+v, want 5 prompt tokens and 10 in total", got.Usage)
	}
}

// Guards against executing and billing a request twice. The first host sends it and dies, the
// second one sends it again with the same id, and the engine must recognize the id.
func TestOneEngineRequestNeverRunsTwice(t *testing.T) {
	s := start(t, Options{})
	first := call(t, s, "POST", "/v1/chat/completions", "r1", chatBody("x", 8))
	if _, _, done := readStream(first.Body); !done {
		t.Fatal("the first answer is incomplete")
	}
	second := call(t, s, "POST", "/v1/chat/completions", "r1", chatBody("x", 8))
	if second.StatusCode != http.StatusConflict || s.Runs().Streams != 1 {
		t.Fatalf("the second request got status %d, %d streams; want 409 and one stream", second.StatusCode, s.Runs().Streams)
	}
}

// Guards against losing the rest of a stream whose connection broke. A stream must continue
// after its connection ends, so that a reader can resume it.
func TestStreamOutlivesItsConnection(t *testing.T) {
	s := start(t, Options{DecodeSpeed: 500})
	s.SetFaults(Faults{DropAfterTokens: 5}, nil)
	broken := call(t, s, "POST", "/v1/chat/completions", "r1", chatBody("x", 40))
	text, _, done := readStream(broken.Body)
	h := hashOf("x")
	if done || text != Answer(h, 0, 5) {
		t.Fatalf("broken stream: done %v, text %q", done, text)
	}
	s.SetFaults(Faults{}, nil)
	rest, u, done := readStream(call(t, s, "GET", "/v1/streams/r1?from=5", "", "").Body)
	n := OutputTokens(h, 40, false)
	if !done || rest != Answer(h, 5, n) || u.CompletionTokens != n {
		t.Fatalf("rest: done %v, usage %+v, text %q", done, u, rest)
	}
}

func TestCancelEndsTheRunAndReportsItsUsage(t *testing.T) {
	s := start(t, Options{DecodeSpeed: 0.001})
	call(t, s, "POST", "/v1/chat/completions", "r1", chatBody("x", 40))
	got := decode[cancelAnswer](t, call(t, s, "POST", "/v1/streams/r1/cancel", "", "").Body)
	if got.Finished || got.Usage.CompletionTokens != 0 || s.Runs().Cancelled != 1 {
		t.Fatalf("cancel answered %+v, %d cancelled", got, s.Runs().Cancelled)
	}
	_, u, done := readStream(call(t, s, "GET", "/v1/streams/r1", "", "").Body)
	if !done || u.PromptTokens == 0 {
		t.Fatalf("a cancelled stream must end with its usage: done %v, %+v", done, u)
	}
}

func TestKVMovesToAnotherServer(t *testing.T) {
	from, to := start(t, Options{DecodeSpeed: 0.001}), start(t, Options{})
	call(t, from, "POST", "/v1/chat/completions", "r1", chatBody("x", 40))
	kv, err := io.ReadAll(call(t, from, "GET", "/kv/r1", "", "").Body)
	if err != nil {
		t.Fatal(err)
	}
	if resp := call(t, to, "POST", "/kv/r1", "", string(kv)); resp.StatusCode != http.StatusOK {
		t.Fatalf("import answered %d", resp.StatusCode)
	}
	text, _, done := readStream(call(t, to, "GET", "/v1/streams/r1?from=0", "", "").Body)
	h := hashOf("x")
	if !done || text != Answer(h, 0, OutputTokens(h, 40, false)) {
		t.Fatalf("moved stream: done %v, text %q", done, text)
	}
}

func TestOrdersAndFence(t *testing.T) {
	for _, checks := range []bool{true, false} {
		s := start(t, Options{ChecksFence: checks})
		call(t, s, "POST", "/orders", "", `{"verb":"load_model","model":"n","fence":7}`)
		old := call(t, s, "POST", "/orders", "", `{"verb":"change_role","role":"prefill","fence":6}`)
		refused := old.StatusCode == http.StatusConflict && old.Header.Get(HeaderRan) == "no"
		if refused != checks || (s.catalog.currentRole() == "prefill") == checks {
			t.Errorf("checks %v: old order answered %d, role %q", checks, old.StatusCode, s.catalog.currentRole())
		}
		if models, _ := s.catalog.lists(); len(models) != 2 {
			t.Errorf("models %v, want the loaded one too", models)
		}
	}
}

func TestLedgerCountsEachRun(t *testing.T) {
	s := start(t, Options{})
	call(t, s, "POST", "/services/cash/entries", "", `{"id":"e1"}`)
	call(t, s, "POST", "/services/cash/entries", "", `{"id":"e1"}`)
	s.SetFaults(Faults{Refuse: true}, nil)
	refused := call(t, s, "POST", "/services/cash/entries", "", `{"id":"e2"}`)
	if refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get(HeaderRan) != "no" {
		t.Fatalf("refusal: %d, ran %q", refused.StatusCode, refused.Header.Get(HeaderRan))
	}
	runs := decode[Runs](t, call(t, s, "GET", "/debug/runs", "", "").Body)
	if runs.Entries["e1"] != 2 || runs.Entries["e2"] != 0 {
		t.Fatalf("runs %+v, want two of e1 and none of e2", runs.Entries)
	}
}

// Simulates a device between the two ends that loses the state of open connections. Their streams
// stall forever because neither end is notified, while the server and new connections work.
func TestOpenConnectionsSilencedNewOnesWork(t *testing.T) {
	s := start(t, Options{DecodeSpeed: 1000})
	old := call(t, s, "POST", "/v1/chat/completions", "r1", chatBody("x", 200))
	call(t, s, "POST", "/debug/faults", "", `{"silence_open":true}`)
	text, _, done := readStream(call(t, s, "GET", "/v1/streams/r1", "", "").Body)
	h := hashOf("x")
	if !done || text != Answer(h, 0, OutputTokens(h, 200, false)) {
		t.Fatalf("new connection: done %v, text %q", done, text)
	}
	s.listener.closeAll()
	if silenced, _, done := readStream(old.Body); done || len(silenced) >= len(text) {
		t.Fatalf("the silent connection delivered the whole answer")
	}
}

func TestCapCanBeIgnored(t *testing.T) {
	s := start(t, Options{})
	s.SetFaults(Faults{IgnoreMaxTokens: true}, nil)
	_, u, _ := readStream(call(t, s, "POST", "/v1/chat/completions", "", chatBody("x", 10)).Body)
	if u.CompletionTokens <= 10 {
		t.Fatalf("%d tokens, want more than the cap of 10", u.CompletionTokens)
	}
}

func TestLeavingServerAnnouncesItAndFinishesStreams(t *testing.T) {
	states := make(chan *pb.ServerState, 100)
	host := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		st := &pb.ServerState{}
		if r.URL.Path == "/v1/announce" && json.NewDecoder(r.Body).Decode(st) == nil {
			states <- st
		}
	}))
	t.Cleanup(host.Close)
	s := start(t, Options{
		Announce:      []string{strings.TrimPrefix(host.URL, "http://")},
		AnnounceEvery: 10 * time.Millisecond,
		LeaveGrace:    time.Nanosecond,
		DecodeSpeed:   400,
		Zone:          "a",
	})
	first := <-states
	if first.Address != s.Address() || first.Leaving || first.Models[0] != "m" || !first.Resumes || first.Zone != "a" {
		t.Fatalf("announced %v", first)
	}
	resp := call(t, s, "POST", "/v1/chat/completions", "r1", chatBody("x", 80))
	left := make(chan error, 1)
	go func() { left <- s.Leave(context.Background()) }()
	if text, _, done := readStream(resp.Body); !done {
		t.Fatalf("the stream was cut at %q", text)
	}
	if err := <-left; err != nil {
		t.Fatal(err)
	}
	limit := time.After(testLimit)
	for {
		select {
		case st := <-states:
			if st.Leaving {
				return
			}
		case <-limit:
			t.Fatal("leaving was not announced")
		}
	}
}

// Guards against a leaving server that only waits for open connections. A stream whose host has
// died has no connection, and must still be finished so that it can be resumed.
func TestLeavingServerFinishesRunsWithoutConnection(t *testing.T) {
	s := start(t, Options{DecodeSpeed: 400, LeaveGrace: time.Nanosecond})
	call(t, s, "POST", "/v1/chat/completions", "r1", chatBody("x", 80)).Body.Close()
	if err := s.Leave(context.Background()); err != nil {
		t.Fatal(err)
	}
	if want := OutputTokens(hashOf("x"), 80, false); s.Runs().Output != want {
		t.Fatalf("%d tokens at the end, want %d", s.Runs().Output, want)
	}
}
