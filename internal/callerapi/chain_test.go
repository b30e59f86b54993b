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

// textOf is the answer's text as a caller reads it, and whether it is whole.
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
		t.Fatalf("no refusal: %q", body)
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
			t.Error("usage chunk went to a caller that did not ask for it")
		}
		for _, want := range []string{`"max_tokens":5`, `"seed":7`, `"include_usage":true`, `"stream":true`} {
			if !strings.Contains(e.bodies[0], want) {
				t.Errorf("engine's body lacks %s: %s", want, e.bodies[0])
			}
		}
		key := w.Header().Get(filter.HeaderIdempotencyKey)
		if h.settled != 1 || f.billed["school/"+key] != wholeUsage {
			t.Errorf("billed %v", f.billed)
		}
		// The same key again: the same answer, no second run, no second bill.
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
	// Symptom: a caller is told "did not run", sends the entry again, and it stands twice.
	// Sequence: the backend server dies or refuses at each step of a request.
	// Cause: a failure after the first byte is taken for one before it.
	const model, service = parse.PathChat, "/services/ledger/post"
	for _, c := range []struct {
		fault string
		path  string
		kind  errkind.Kind
		ran   errkind.Ran
	}{
		{"refuses connections", model, errkind.BackendServerFailed, errkind.RanNo},
		{"refuses before running", model, errkind.BackendServerFailed, errkind.RanNo},
		{"refuses as wrong", model, errkind.BadRequest, errkind.RanNo},
		{"is stopped", model, errkind.OutcomeUnknown, errkind.RanYes},
		{"dies without an answer", model, errkind.OutcomeUnknown, errkind.RanUnknown},
		{"answers 500", model, errkind.OutcomeUnknown, errkind.RanUnknown},
		{"answers 400", model, errkind.BadRequest, errkind.RanUnknown},
		{"answers another run", model, errkind.OutcomeUnknown, errkind.RanUnknown},
		{"dies in the stream", model, errkind.OutcomeUnknown, errkind.RanYes},
		{"reports an error", model, errkind.OutcomeUnknown, errkind.RanYes},
		{"falls silent", model, errkind.DeadlineExceeded, errkind.RanYes},
		{"says nothing", model, errkind.DeadlineExceeded, errkind.RanUnknown},
		{"refuses connections", service, errkind.BackendServerFailed, errkind.RanNo},
		{"refuses before running", service, errkind.BackendServerFailed, errkind.RanNo},
		{"dies without an answer", service, errkind.OutcomeUnknown, errkind.RanUnknown},
		{"answers another run", service, errkind.OutcomeUnknown, errkind.RanUnknown},
		{"says nothing", service, errkind.DeadlineExceeded, errkind.RanUnknown},
	} {
		t.Run(c.path+" "+c.fault, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fakeFleet) {
				e, spare := f.engine(false, c.fault, 2), f.engine(false, "", 0)
				h := f.host("a")
				h.noRetry = true // a retry would hide what the first attempt said
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
	// Symptom: a posting that may not be repeated is made at two servers.
	// Sequence: the first server fails, before or after the request reached it.
	// Cause: a retry without regard to what may have run.
	for _, c := range []struct {
		fault, idempotent string
		want              int
	}{
		{"refuses connections", "true", 1}, {"refuses before running", "true", 1},
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
				t.Errorf("%s: answer whole: %v", c.fault, whole)
			}
		})
	}
}

func TestNoTokenTwice(t *testing.T) {
	// Symptom: an answer repeats or lacks words.
	// Sequence: the connection breaks or falls silent in the stream; the run is read again there or made again elsewhere.
	// Cause: tokens are relayed by what a connection brings, not by what the caller has.
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
					t.Errorf("got %q, whole %v", text, whole)
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
	// Symptom: each call waits for a new connection, and the host runs out of ports.
	// Sequence: the end of a body comes a little after the stream's last event.
	// Cause: a stream left at its last event closes its connection.
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		f.engine(true, "", 0).lateEnd = 10 * time.Millisecond
		h := f.host("a")
		for range 5 {
			h.do(parse.PathChat, chatBody)
			h.api.Wait()
		}
		if f.dials != 1 {
			t.Errorf("%d connections for 5 calls", f.dials)
		}
	})
}

func TestSilentConnectionOfAPlainService(t *testing.T) {
	// Symptom: a kiosk's lookup fails although servers are idle.
	// Sequence: something between host and server has lost track of the connection; the call on it gets no answer.
	// Cause: the whole time up to the deadline is spent waiting on that connection.
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		f.engine(false, "says nothing", 0)
		f.engine(false, "", 0)
		h := f.host("a")
		w := h.do("/services/codes/tv", "brand", filter.HeaderTimeout, "2000")
		if w.Body.String() != "service:brand" || h.settled != 1 || !h.outcomes[0].Silent {
			t.Errorf("got %d %s, bills %d, outcomes %+v", w.Code, w.Body, h.settled, h.outcomes)
		}
	})
}

func TestSilenceLimitsForStreams(t *testing.T) {
	// Symptom: a connection that is lost in the stream costs seconds, or a stalled engine's work is thrown away.
	// Sequence: after some streams with steady gaps, one falls silent; another only stalls for some seconds.
	// Cause: one fixed limit for all, or giving a run up while its engine answers.
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
				t.Errorf("%s: got %q, whole %v, after %v", c.fault, text, whole, took)
			}
		}
		if other.runs != 0 {
			t.Errorf("%d runs elsewhere", other.runs)
		}
	})
}

func TestSilenceBeforeTheFirstToken(t *testing.T) {
	// Symptom: a call fails at its deadline on a lost connection, or a long prompt is begun again and again.
	// Sequence: the engine's answer never comes; or it comes late because the prompt takes most of the time.
	// Cause: one limit for the first token, whatever the deadline and the prompt.
	for _, c := range []struct {
		fault       string
		prefill     float64
		runs, other int
	}{{"says nothing", 0, 1, 0}, {"computes long", 10, 1, 0}} {
		inFleet(t, func(t *testing.T, f *fakeFleet) {
			e, other := f.engine(true, c.fault, 0), f.engine(true, "", 0)
			e.prefill = c.prefill
			h := f.host("a")
			h.api.deps.Dispatch.Silence = dispatch.NewLearnedSilence(silence.Config{})
			_, whole := textOf(h.do(parse.PathChat, chatBody).Body.String())
			if !whole || e.runs != c.runs || other.runs != c.other {
				t.Errorf("%s: whole %v, runs %d and %d", c.fault, whole, e.runs, other.runs)
			}
		})
	}
}
