package callerapi

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/filter/parse"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

// Guards against tokens that are lost, or streams that are held back, because an engine ends its
// lines in CR or begins with a byte-order mark.
func TestStreamsWithAnyLineEnds(t *testing.T) {
	for _, mark := range []string{"", "\xEF\xBB\xBF"} {
		for _, newline := range []string{"\n", "\r\n", "\r"} {
			t.Run(fmt.Sprintf("%q %q", mark, newline), func(t *testing.T) {
				inFleet(t, func(t *testing.T, f *fakeFleet) {
					e := f.engine(false, "", 0)
					e.newline, e.mark = newline, mark
					w := f.host("a").do(parse.PathChat, chatBody)
					if text, whole := textOf(w.Body.String()); text != wholeText || !whole {
						t.Errorf("got %d %q", w.Code, w.Body)
					}
					role := `"role":"assistant"`
					if !strings.Contains(w.Body.String(), role) {
						t.Errorf("the first event is missing: %q", w.Body)
					}
				})
			})
		}
	}
}

// Guards against the end of an engine's stream that is taken for the end of the run, whichever way
// the stream is framed.
func TestStreamThatEndsEarlyIsReadAgain(t *testing.T) {
	for _, fault := range []string{"ends in the stream", "ends inside an event"} {
		for _, unframed := range []bool{false, true} {
			for _, resumes := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, unframed %v, resumes %v", fault, unframed, resumes), func(t *testing.T) {
					inFleet(t, func(t *testing.T, f *fakeFleet) {
						first, second := f.engine(resumes, fault, 2), f.engine(false, "", 0)
						first.unframed = unframed
						h := f.host("a")
						w := h.do(parse.PathChat, chatBody)
						if text, whole := textOf(w.Body.String()); text != wholeText || !whole {
							t.Errorf("got %q, complete %v", text, whole)
						}
						if elsewhere := second.runs == 1; elsewhere == resumes {
							t.Errorf("%d resumed streams, %d runs elsewhere", len(first.resumed), second.runs)
						}
						if f.billed[h.call.Identity] != wholeUsage {
							t.Errorf("billed %v", f.billed)
						}
					})
				})
			}
		}
	}
}

// Guards against the end of a second run that is shorter than what the caller has of the first: the
// caller would take the joined part of two runs for one whole answer.
func TestShorterSecondRunIsNoWholeAnswer(t *testing.T) {
	for _, lastToken := range []bool{false, true} {
		inFleet(t, func(t *testing.T, f *fakeFleet) {
			f.engine(false, "dies in the stream", 3)
			second := f.engine(false, "", 0)
			second.tokens, second.lastToken = 2, lastToken
			w := f.host("a").do(parse.PathChat, chatBody)
			if text, whole := textOf(w.Body.String()); whole || text != "t1 t2 t3 " {
				t.Errorf("finish reason with the last token %v: got %q, complete %v", lastToken, text, whole)
			}
		})
	}
}

const entryAnswer = `{"id":"entry 1","run":1}`

// Guards against a part of a service's answer that reaches its caller as the whole, is billed and is
// replayed to a caller that asks again.
func TestPartOfAnAnswerIsNotPassedOn(t *testing.T) {
	for n := range entryAnswer {
		inFleet(t, func(t *testing.T, f *fakeFleet) {
			first, second := f.engine(false, "", 0), f.engine(false, "", 0)
			first.unframed, first.answer, second.answer = true, entryAnswer[:n]+" ", entryAnswer
			h := f.host("a")
			for _, key := range []string{"k", "k"} {
				w := h.do(service, "entry 1", filter.HeaderIdempotencyKey, key)
				if w.Body.String() != entryAnswer || second.runs != 1 || h.settled != 1 {
					t.Errorf("%d bytes: got %d %q, runs elsewhere %d, bills %d", n, w.Code, w.Body, second.runs, h.settled)
				}
			}
			h.noRetry = true
			for range 2 {
				w := h.do(service, "entry 1", filter.HeaderNotIdempotent, "true", filter.HeaderIdempotencyKey, "once")
				if got := refusalOf(t, w.Body.String()); got.Kind != errkind.OutcomeUnknown || first.runs != 2 {
					t.Errorf("%d bytes, not idempotent: got %+v after %d runs", n, got, first.runs)
				}
			}
		})
	}
}

// suspicions is a filter.Quarantine and filter.Admission that records what it is told.
type suspicions struct{ answered, lost int }

func (s *suspicions) Admit(context.Context, quarantine.Request) (filter.Admission, error) {
	return s, nil
}
func (s *suspicions) AdmitResumed(quarantine.Request) filter.Admission { return s }
func (s *suspicions) AllowSend(context.Context) error                  { return nil }
func (s *suspicions) ServerReached()                                   {}
func (s *suspicions) ConnectionLost(filter.ConnectionLoss)             { s.lost++ }
func (s *suspicions) AllowRetry(context.Context) error                 { return nil }
func (s *suspicions) Answered(filter.ServerAnswer)                     { s.answered++ }
func (s *suspicions) Status() quarantine.Status                        { return quarantine.Status{} }
func (s *suspicions) Close()                                           {}

// Guards against a request that crashes its servers and is cleared of it by the part of an answer
// that arrived before, or is never suspected.
func TestOnlyAWholeAnswerClearsARequest(t *testing.T) {
	for _, c := range []struct {
		name, fault, answer string
		unframed            bool
		answered, lost      int
	}{
		{"whole", "", entryAnswer, false, 1, 0},
		{"whole, unframed", "", entryAnswer, true, 1, 0},
		{"end not shown", "", "", true, 0, 0},
		{"ends inside its content", "", entryAnswer[:9], true, 0, 1},
		{"connection lost", "dies in the answer", entryAnswer[:9], false, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fakeFleet) {
				e := f.engine(false, c.fault, 0)
				e.unframed, e.answer = c.unframed, c.answer
				h, s := f.host("a"), &suspicions{}
				h.noRetry, h.api.deps.Quarantine = true, s
				h.api = New(h.api.deps)
				h.do(service, "entry 1")
				if s.answered != c.answered || s.lost != c.lost {
					t.Errorf("%d whole answers and %d lost connections, want %d and %d", s.answered, s.lost, c.answered, c.lost)
				}
			})
		})
	}
}

// Guards against a bill and an answer without the engine's usage because the stream ended between its
// finish reason and its usage, and against a second run for a text that is whole.
func TestStreamThatEndsBeforeItsUsage(t *testing.T) {
	for _, fault := range []string{"ends before its usage", "dies before its usage", "falls silent before its usage"} {
		for _, idempotent := range []string{"true", "false"} {
			for _, engine := range []struct{ resumes, stuck bool }{{false, false}, {true, false}, {true, true}} {
				t.Run(fmt.Sprintf("%s, idempotent %s, %+v", fault, idempotent, engine), func(t *testing.T) {
					inFleet(t, func(t *testing.T, f *fakeFleet) {
						first, second := f.engine(engine.resumes, fault, 0), f.engine(false, "", 0)
						first.stuck = engine.stuck
						h := f.host("a")
						body := strings.Replace(chatBody, `"stream":true`, `"stream":true,"stream_options":{"include_usage":true}`, 1)
						w := h.do(parse.PathChat, body, filter.HeaderNotIdempotent, fmt.Sprint(idempotent == "false"))
						if text, whole := textOf(w.Body.String()); text != wholeText || !whole {
							t.Errorf("got %q, complete %v", text, whole)
						}
						if first.runs+second.runs != 1 || len(first.resumed) > 1 {
							t.Errorf("%d and %d runs, resumed %d times", first.runs, second.runs, len(first.resumed))
						}
						known := engine.resumes && !engine.stuck
						if strings.Contains(w.Body.String(), `"usage"`) != known {
							t.Errorf("want the usage %v: %q", known, w.Body)
						}
						want := h.call.PromptTokens + 5
						if known {
							want = wholeUsage
						}
						if got := f.billed[h.call.Identity]; got != want {
							t.Errorf("billed %d, want %d", got, want)
						}
					})
				})
			}
		}
	}
}

// Guards against suspecting a request of crashing its server where the connection was not lost: the
// engine ended its stream itself, or sent something that can't be used.
func TestOnlyALostConnectionIsLikeACrash(t *testing.T) {
	for _, c := range []struct {
		name, fault, mark string
		unframed          bool
		lost              int
	}{
		{"dies", "dies in the stream", "", false, 1},
		{"ends, unframed", "ends in the stream", "", true, 1},
		{"ends inside an event, unframed", "ends inside an event", "", true, 1},
		{"ends, framed", "ends in the stream", "", false, 0},
		{"ends inside an event, framed", "ends inside an event", "", false, 0},
		{"answers for another run", "answers for another run", "", false, 0},
		{"event too long", "", "data: " + strings.Repeat("x", 2<<20), false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fakeFleet) {
				e := f.engine(false, c.fault, 2)
				e.unframed, e.mark = c.unframed, c.mark
				h, s := f.host("a"), &suspicions{}
				h.noRetry, h.api.deps.Quarantine = true, s
				h.api = New(h.api.deps)
				h.do(parse.PathChat, chatBody)
				if s.answered != 0 || s.lost != c.lost {
					t.Errorf("%d whole answers and %d lost connections, want none and %d", s.answered, s.lost, c.lost)
				}
			})
		})
	}
}

// Guards against taking the crash of a service for the end of its answer where the answer ends with its
// connection and its content doesn't show its end.
func TestAnswerThatEndsWithItsServer(t *testing.T) {
	for _, c := range []struct {
		name, fault string
		unframed    bool
		elsewhere   int
	}{
		{"server goes on", "", true, 0},
		{"server ends", "dies with its answer", true, 1},
		{"server ends, framed", "dies with its answer", false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fakeFleet) {
				first, second := f.engine(false, c.fault, 0), f.engine(false, "", 0)
				first.unframed = c.unframed
				h, s := f.host("a"), &suspicions{}
				h.api.deps.Quarantine = s
				h.api = New(h.api.deps)
				w := h.do(service, "entry 1")
				if w.Body.String() != "service:entry 1" || second.runs != c.elsewhere || s.lost != c.elsewhere || h.settled != 1 {
					t.Errorf("got %d %q, %d runs elsewhere, %d lost connections, %d bills", w.Code, w.Body, second.runs, s.lost, h.settled)
				}
			})
		})
	}
}
