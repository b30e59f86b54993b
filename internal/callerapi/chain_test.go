package callerapi

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/filter/dispatch"
	"github.com/bluebellsail/bluebellsail/internal/filter/parse"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/silence"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const (
	chatBody   = `{"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hello"}],"seed":7}`
	plainBody  = `{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`
	wholeText  = "t1 t2 t3 t4 t5 "
	wholeUsage = 8
)

// textOf returns the text of a streamed answer and whether the stream is complete.
func textOf(body string) (text string, whole bool) {
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var ch struct {
			Choices []struct{ Delta, Message struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &ch) == nil && len(ch.Choices) > 0 {
			text += ch.Choices[0].Delta.Content
		}
	}
	return text, false
}

func refusalOf(t *testing.T, body string) httpserver.ErrorFields {
	t.Helper()
	if i := strings.Index(body, "event: error\ndata: "); i >= 0 {
		body = body[i+len("event: error\ndata: "):]
	}
	var a httpserver.ErrorAnswer
	if err := json.Unmarshal([]byte(strings.TrimSpace(body)), &a); err != nil || a.Error.Kind == "" {
		t.Fatalf("not a refusal: %q", body)
	}
	return a.Error
}

func TestStreamRunsThroughTheChain(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		e := f.engine(true, "", 0)
		h := f.host("a")
		w := h.do(parse.PathChat, chatBody)
		if text, whole := textOf(w.Body.String()); text != wholeText || !whole {
			t.Fatalf("got %d %q", w.Code, w.Body)
		}
		if strings.Contains(w.Body.String(), "usage") {
			t.Error("usage chunk sent to a caller that did not request it")
		}
		for _, want := range []string{`"max_tokens":5`, `"seed":7`, `"include_usage":true`, `"stream":true`} {
			if !strings.Contains(e.bodies[0], want) {
				t.Errorf("%s is missing in the request to the engine: %s", want, e.bodies[0])
			}
		}
		key := w.Header().Get(filter.HeaderIdempotencyKey)
		if h.settled != 1 || f.billed["school/"+key] != wholeUsage {
			t.Errorf("billed %v", f.billed)
		}
		// The same key again gets the same answer, without a second run or a second bill.
		again := h.do(parse.PathChat, chatBody, filter.HeaderIdempotencyKey, key)
		if again.Body.String() != w.Body.String() || e.runs != 1 || h.settled != 1 {
			t.Errorf("replay differs: runs %d, bills %d, %q", e.runs, h.settled, again.Body)
		}
	})
}

func TestWholeAnswerIsAssembled(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		f.engine(true, "", 0)
		h := f.host("a")
		w := h.do(parse.PathChat, plainBody)
		var a struct {
			Object  string
			Choices []struct {
				Message      struct{ Role, Content string }
				FinishReason string `json:"finish_reason"`
			}
			Usage struct {
				CompletionTokens int `json:"completion_tokens"`
			}
		}
		testutil.NoError(t, json.Unmarshal(w.Body.Bytes(), &a))
		c := a.Choices[0]
		if a.Object != "chat.completion" || c.Message.Content != wholeText || c.Message.Role != "assistant" || c.FinishReason != "stop" || a.Usage.CompletionTokens != 5 {
			t.Fatalf("got %s", w.Body)
		}
	})
}

func TestRanIsCorrectForEachServerFault(t *testing.T) {
	// Guards against a caller that is told that its request did not run, sends it again and
	// has it executed twice. The server crashes or rejects the request at each step; a failure
	// after the first byte must not be taken for one before it.
	const model, service = parse.PathChat, "/services/ledger/post"
	for _, c := range []struct {
		fault string
		path  string
		kind  errkind.Kind
		ran   errkind.Ran
	}{
		{"refuses connections", model, errkind.BackendServerFailed, errkind.RanNo},
		{"rejects before running", model, errkind.BackendServerFailed, errkind.RanNo},
		{"rejects as invalid", model, errkind.BadRequest, errkind.RanNo},
		{"is stopped", model, errkind.OutcomeUnknown, errkind.RanYes},
		{"dies without an answer", model, errkind.OutcomeUnknown, errkind.RanUnknown},
		{"answers 500", model, errkind.OutcomeUnknown, errkind.RanUnknown},
		{"answers 400", model, errkind.BadRequest, errkind.RanUnknown},
		{"answers for another run", model, errkind.OutcomeUnknown, errkind.RanUnknown},
		{"dies in the stream", model, errkind.OutcomeUnknown, errkind.RanYes},
		{"reports an error", model, errkind.OutcomeUnknown, errkind.RanYes},
		{"falls silent", model, errkind.DeadlineExceeded, errkind.RanYes},
		{"never answers", model, errkind.DeadlineExceeded, errkind.RanUnknown},
		{"refuses connections", service, errkind.BackendServerFailed, errkind.RanNo},
		{"rejects before running", service, errkind.BackendServerFailed, errkind.RanNo},
		{"dies without an answer", service, errkind.OutcomeUnknown, errkind.RanUnknown},
		{"answers for another run", service, errkind.OutcomeUnknown, errkind.RanUnknown},
		{"never answers", service, errkind.DeadlineExceeded, errkind.RanUnknown},
	} {
		t.Run(c.path+" "+c.fault, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fakeFleet) {
				e, spare := f.engine(false, c.fault, 2), f.engine(false, "", 0)
				h := f.host("a")
				h.noRetry = true // a retry would hide the result of the first attempt
				w := h.do(c.path, chatBody, filter.HeaderNotIdempotent, "true")
				got := refusalOf(t, w.Body.String())
				if got.Kind != c.kind || got.Ran != c.ran {
					t.Errorf("got %s, ran %s; want %s, ran %s", got.Kind, got.Ran, c.kind, c.ran)
				}
				if spare.runs > 0 || (got.Ran == errkind.RanNo && e.runs > 0) {
					t.Errorf("runs: %d and %d at another server", e.runs, spare.runs)
				}
			})
		})
	}
}

func TestRetryOnlyWhenSafe(t *testing.T) {
	// Guards against a non-idempotent request that is executed by two servers. The first
	// server fails before or after the request has reached it; a retry is safe only if the
	// request can't have run.
	for _, c := range []struct {
		fault, idempotent string
		want              int
	}{
		{"refuses connections", "true", 1}, {"rejects before running", "true", 1},
		{"dies without an answer", "true", 0}, {"answers 500", "true", 0}, {"dies in the stream", "true", 0},
		{"dies without an answer", "false", 1}, {"answers 500", "false", 1}, {"answers 400", "false", 0},
	} {
		inFleet(t, func(t *testing.T, f *fakeFleet) {
			f.engine(false, c.fault, 2)
			second := f.engine(false, "", 0)
			h := f.host("a")
			w := h.do(parse.PathChat, chatBody, filter.HeaderNotIdempotent, c.idempotent)
			if second.runs != c.want {
				t.Errorf("%s, not idempotent %s: %d runs at the second server, want %d", c.fault, c.idempotent, second.runs, c.want)
			}
			if _, whole := textOf(w.Body.String()); whole != (c.want == 1) {
				t.Errorf("%s: answer complete: %v", c.fault, whole)
			}
		})
	}
}

func TestNoTokenTwice(t *testing.T) {
	// Guards against answers with repeated or missing tokens. The connection breaks or falls
	// silent during the stream, and the run is resumed at the same server or executed again at
	// another one. What is sent on must depend on the tokens that the caller already has, not
	// on what the new connection delivers.
	for _, c := range []struct {
		name, fault, prefix string
		resumes, whole      bool
	}{
		{"broken, resumed", "dies in the stream", "", true, true},
		{"silent, resumed", "falls silent", "", true, true},
		{"error behind tokens, run again", "reports an error", "", false, true},
		{"stopped from outside, run again", "is stopped", "", false, true},
		{"broken, run again", "dies in the stream", "", false, true},
		{"broken, run again with another text", "dies in the stream", "other ", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fakeFleet) {
				first, second := f.engine(c.resumes, c.fault, 2), f.engine(false, "", 0)
				second.prefix = c.prefix
				first.burst = c.fault == "reports an error"
				h := f.host("a")
				w := h.do(parse.PathChat, chatBody)
				text, whole := textOf(w.Body.String())
				if whole != c.whole || (whole && text != wholeText) || (!whole && text != "t1 t2 ") {
					t.Errorf("got %q, complete %v", text, whole)
				}
				if c.resumes && (strings.Join(first.resumed, " ") != "2" || second.runs != 0) {
					t.Errorf("resumed from %v, runs elsewhere %d", first.resumed, second.runs)
				}
				if !c.whole {
					if got := refusalOf(t, w.Body.String()); got.Ran != errkind.RanYes {
						t.Errorf("last event is %+v", got)
					}
				}
			})
		})
	}
}

func TestServerConnectionsAreReused(t *testing.T) {
	// Guards against a new connection for each call, which adds latency and may use up the
	// host's ports. The end of a body may arrive a little after the stream's last event; a
	// stream that is closed at its last event closes its connection.
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		f.engine(true, "", 0).lateEnd = 10 * time.Millisecond
		h := f.host("a")
		for range 5 {
			h.do(parse.PathChat, chatBody)
			h.api.Wait()
		}
		if f.dials != 1 {
			t.Errorf("%d connections for 5 calls, want 1", f.dials)
		}
	})
}

func TestSilentConnectionOfAPlainService(t *testing.T) {
	// Guards against a call that fails although servers are idle: a device between host and
	// server has lost track of the connection, and the call waits on it until its deadline.
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		f.engine(false, "never answers", 0)
		f.engine(false, "", 0)
		h := f.host("a")
		w := h.do("/services/codes/tv", "brand", filter.HeaderTimeout, "2000")
		if w.Body.String() != "service:brand" || h.settled != 1 || !h.outcomes[0].Silent {
			t.Errorf("got %d %s, bills %d, outcomes %+v", w.Code, w.Body, h.settled, h.outcomes)
		}
	})
}

func TestSilenceLimitsForStreams(t *testing.T) {
	// Guards against a connection lost during a stream that costs seconds, and against
	// discarding the run of an engine that only stalls. After some streams with steady gaps,
	// one stream falls silent; another stalls for some seconds. One fixed limit for all
	// servers, or abandoning a run while its engine still answers, would fail here.
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		e, other := f.engine(true, "", 2), f.engine(true, "", 0)
		e.tokenDelay = 30 * time.Millisecond
		h := f.host("a")
		h.api.deps.Dispatch.Silence = dispatch.NewLearnedSilence(silence.Config{})
		for range 5 {
			h.do(parse.PathChat, chatBody)
		}
		for _, c := range []struct {
			fault string
			limit time.Duration
		}{{"falls silent", 600 * time.Millisecond}, {"stalls", 8 * time.Second}} {
			e.fault, e.stuck = c.fault, c.fault == "stalls"
			began := time.Now()
			text, whole := textOf(h.do(parse.PathChat, chatBody).Body.String())
			if took := time.Since(began); took > c.limit || text != wholeText || !whole {
				t.Errorf("%s: got %q, complete %v, after %v", c.fault, text, whole, took)
			}
		}
		if other.runs != 0 {
			t.Errorf("%d runs elsewhere", other.runs)
		}
	})
}

func TestSilenceBeforeTheFirstToken(t *testing.T) {
	// Guards against a call that fails at its deadline on a lost connection, and against a
	// long prompt that is started again and again. Either the engine's answer never arrives,
	// or it arrives late because processing the prompt takes most of the time. A limit for the
	// first token must take the deadline and the prompt into account.
	for _, c := range []struct {
		fault       string
		prefill     float64
		runs, other int
	}{{"never answers", 0, 1, 0}, {"computes for long", 10, 1, 0}} {
		inFleet(t, func(t *testing.T, f *fakeFleet) {
			e, other := f.engine(true, c.fault, 0), f.engine(true, "", 0)
			e.prefill = c.prefill
			h := f.host("a")
			h.api.deps.Dispatch.Silence = dispatch.NewLearnedSilence(silence.Config{})
			_, whole := textOf(h.do(parse.PathChat, chatBody).Body.String())
			if !whole || e.runs != c.runs || other.runs != c.other {
				t.Errorf("%s: complete %v, runs %d and %d", c.fault, whole, e.runs, other.runs)
			}
		})
	}
}
