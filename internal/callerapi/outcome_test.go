package callerapi

import (
	"strings"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/filter/idempotency"
	"github.com/bluebellsail/bluebellsail/internal/filter/parse"
)

const service = "/services/ledger/post"

func TestEveryCallIsAnsweredByItsDeadline(t *testing.T) {
	// Guards against a deadline that passes without an answer or a refusal. Each dependency of
	// the chain in turn never answers; every wait must be bounded by the deadline.
	for _, c := range []struct {
		hang, path string
		ran        errkind.Ran
	}{
		{"records", parse.PathChat, errkind.RanNo}, {"budget", parse.PathChat, errkind.RanNo},
		{"claims", parse.PathChat, errkind.RanNo}, {"scheduler", parse.PathChat, errkind.RanNo},
		{"never answers", parse.PathChat, errkind.RanUnknown}, {"falls silent", parse.PathChat, errkind.RanYes},
		{"never answers", service, errkind.RanUnknown},
	} {
		for _, notIdempotent := range []string{"true", "false"} {
			if c.hang == "claims" && notIdempotent == "false" {
				continue
			}
			inFleet(t, func(t *testing.T, f *fakeFleet) {
				f.blockedPort = c.hang
				for range 9 {
					f.engine(true, c.hang, 2).stuck = true
				}
				h := f.host("a")
				began := time.Now()
				w := h.do(c.path, chatBody, filter.HeaderNotIdempotent, notIdempotent, filter.HeaderTimeout, "3000")
				if took := time.Since(began); took > 3*time.Second {
					t.Errorf("%s at %s: answered after %v", c.hang, c.path, took)
				}
				kind := errkind.DeadlineExceeded
				if c.hang == "falls silent" && notIdempotent == "false" {
					kind = errkind.BackendServerFailed // three servers were tried, each for half of the remaining time
				}
				if got := refusalOf(t, w.Body.String()); got.Kind != kind || got.Ran != c.ran {
					t.Errorf("%s at %s, not idempotent %s: got %s, ran %s, want ran %s", c.hang, c.path, notIdempotent, got.Kind, got.Ran, c.ran)
				}
			})
		}
	}
}

func TestCallerGoneCancelsTheRun(t *testing.T) {
	// Guards against engines that generate tokens for callers that have disconnected. The
	// caller closes its connection during the stream, while the chain waits for the engine.
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		e := f.engine(true, "falls silent", 2)
		e.stuck = true
		h := f.host("a")
		go func() {
			time.Sleep(300 * time.Millisecond)
			h.mu.Lock()
			defer h.mu.Unlock()
			h.closed = true
		}()
		w := h.do(parse.PathChat, chatBody)
		if got := refusalOf(t, w.Body.String()); got.Kind != errkind.CallerGone || got.Ran != errkind.RanYes {
			t.Errorf("got %+v", got)
		}
		h.api.Wait()
		if e.cancels != 1 {
			t.Errorf("%d runs canceled, want 1", e.cancels)
		}
		// The bill covers two tokens and the upper bound of the prompt's tokens.
		want := h.call.PromptTokens + 2
		if got := f.billed[h.call.Identity]; got != want {
			t.Errorf("billed %d, want %d", got, want)
		}
	})
}

func TestNonIdempotentRunContinuesWithoutCaller(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		e := f.engine(false, "is slow", 2)
		h := f.host("a")
		time.AfterFunc(100*time.Millisecond, func() { h.mu.Lock(); h.closed = true; h.mu.Unlock() })
		h.do(service, "entry 1", filter.HeaderNotIdempotent, "true", filter.HeaderIdempotencyKey, "k")
		h.mu.Lock()
		h.closed = false
		h.mu.Unlock()
		again := h.do(service, "entry 1", filter.HeaderNotIdempotent, "true", filter.HeaderIdempotencyKey, "k")
		if e.key != "school/k" {
			t.Errorf("the service got key %q", e.key)
		}
		if again.Body.String() != "service:entry 1" || e.runs != 1 || h.settled != 1 {
			t.Errorf("got %q after %d runs and %d bills", again.Body, e.runs, h.settled)
		}
	})
}

func TestRetryAtAnotherHostRunsAndBillsOnce(t *testing.T) {
	// Guards against a caller that pays twice, or whose request runs twice, because its host
	// failed. Host a dies during the stream and the caller retries at host b with the same
	// key; b must continue the run instead of starting another one.
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		e := f.engine(true, "falls silent", 2)
		a, b := f.host("a"), f.host("b")
		first := make(chan struct{})
		go func() {
			defer close(first)
			a.do(parse.PathChat, chatBody, filter.HeaderIdempotencyKey, "k")
		}()
		time.Sleep(500 * time.Millisecond)
		if got := refusalOf(t, b.do(parse.PathChat, chatBody, filter.HeaderIdempotencyKey, "k").Body.String()); got.Kind != errkind.InProgress {
			t.Errorf("while a is alive: %+v", got)
		}
		f.mu.Lock()
		f.dead["a"] = true
		f.mu.Unlock()
		w := b.do(parse.PathChat, chatBody, filter.HeaderIdempotencyKey, "k")
		if text, whole := textOf(w.Body.String()); text != wholeText || !whole {
			t.Errorf("got %q, complete %v", text, whole)
		}
		<-first // a is only cut off, so its call ends too
		if e.runs != 1 || f.billed["school/k"] != wholeUsage || a.settled+b.settled != 2 || f.doubleBills != 1 {
			t.Errorf("runs %d, billed %v, bills %d and %d, of which duplicate %d", e.runs, f.billed, a.settled, b.settled, f.doubleBills)
		}
		if rec := f.records["school/k"]; rec.RequestId != b.call.ID || string(rec.Answer) != w.Body.String() {
			t.Errorf("host b did not take over the record: %v", rec)
		}
		if got := refusalOf(t, b.do(parse.PathChat, plainBody, filter.HeaderIdempotencyKey, "k").Body.String()); got.Kind != errkind.KeyConflict {
			t.Errorf("same key, another body: %+v", got)
		}
	})
}

func TestNonIdempotentCallRunsAtMostOnce(t *testing.T) {
	// Guards against a non-idempotent request that runs twice. The caller sends it to two
	// hosts that don't see each other's records, or while there is no quorum. It may be
	// dispatched only after the claim is committed and won.
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		e := f.engine(false, "", 0)
		a, b := f.host("a"), f.host("b")
		nonIdempotent := []string{filter.HeaderNotIdempotent, "true", filter.HeaderIdempotencyKey, "k"}
		f.noQuorum = true
		if got := refusalOf(t, a.do(service, "x", nonIdempotent...).Body.String()); got.Kind != errkind.ClaimUnavailable || got.Ran != errkind.RanNo || e.runs != 0 {
			t.Errorf("without a quorum: %+v, runs %d", got, e.runs)
		}
		a.api.Wait()
		f.noQuorum = false
		if w := a.do(service, "x", nonIdempotent...); w.Code != 200 {
			t.Errorf("got %d %s", w.Code, w.Body)
		}
		clear(f.records) // b can't see the records of a
		if got := refusalOf(t, b.do(service, "x", nonIdempotent...).Body.String()); got.Kind != errkind.AnswerNotKept && got.Kind != errkind.OutcomeUnknown {
			t.Errorf("claim lost: %+v", got)
		}
		if e.runs != 1 {
			t.Errorf("%d runs, want 1", e.runs)
		}
	})
}

func TestRunOverReservationIsStopped(t *testing.T) {
	// Guards against an engine that ignores max_tokens and overspends a budget: the engine
	// sends more tokens than were reserved. The cap must be enforced, not only sent.
	for _, body := range []string{chatBody, plainBody} {
		inFleet(t, func(t *testing.T, f *fakeFleet) {
			e := f.engine(true, "", 0)
			e.tokens = 20
			h := f.host("a")
			w := h.do(parse.PathChat, body)
			if got := refusalOf(t, w.Body.String()); got.Kind != errkind.ReservationExhausted || got.Ran != errkind.RanYes {
				t.Errorf("got %+v", got)
			}
			if text, _ := textOf(w.Body.String()); strings.Count(text, "t") > 5 {
				t.Errorf("sent %q to the caller", text)
			}
			h.api.Wait()
			if e.cancels != 1 || f.billed[h.call.Identity] != h.call.Reserved {
				t.Errorf("%d runs canceled, billed %v of %d", e.cancels, f.billed, h.call.Reserved)
			}
		})
	}
}

func TestRanCoversAllAttempts(t *testing.T) {
	// Guards against reporting a request as not run although it may have run. The first server
	// crashes with the request and there is no other one; the scheduler's refusal then covers
	// only the second attempt.
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		f.engine(false, "dies without an answer", 0)
		h := f.host("a")
		if got := refusalOf(t, h.do(parse.PathChat, chatBody).Body.String()); got.Kind != errkind.NoBackendServer || got.Ran != errkind.RanUnknown {
			t.Errorf("got %+v", got)
		}
	})
}

func TestRefusalsBeforeDispatch(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fakeFleet) {
		e := f.engine(false, "", 0)
		h := f.host("a")
		h.team.DefaultTimeout = 0
		deadline := []string{filter.HeaderTimeout, "1000"}
		old := idempotency.NewKey(time.Now().Add(-time.Hour))
		for name, c := range map[string]struct {
			path, body string
			header     []string
			kind       errkind.Kind
		}{
			"no key":           {parse.PathChat, chatBody, []string{"Authorization", "Bearer other"}, errkind.Unauthenticated},
			"no deadline":      {parse.PathChat, chatBody, nil, errkind.DeadlineMissing},
			"bad deadline":     {parse.PathChat, chatBody, []string{filter.HeaderTimeout, "-1"}, errkind.DeadlineInvalid},
			"far deadline":     {parse.PathChat, chatBody, []string{filter.HeaderTimeout, "99999999"}, errkind.DeadlineInvalid},
			"no JSON":          {parse.PathChat, "{", deadline, errkind.BadRequest},
			"no messages":      {parse.PathChat, `{"model":"m"}`, deadline, errkind.BadRequest},
			"other case":       {parse.PathChat, strings.Replace(chatBody, "max_tokens", "Max_Tokens", 1), deadline, errkind.BadRequest},
			"several outputs":  {parse.PathChat, strings.Replace(chatBody, `"seed":7`, `"n":2`, 1), deadline, errkind.BadRequest},
			"image":            {parse.PathChat, strings.Replace(chatBody, `"hello"`, `[{"type":"image_url"}]`, 1), deadline, errkind.BadRequest},
			"too long":         {parse.PathChat, strings.Repeat(" ", 5<<20), deadline, errkind.BodyTooLarge},
			"dots in the path": {"/services/a/../b", "", deadline, errkind.BadRequest},
			"expired key":      {parse.PathChat, chatBody, append(deadline, filter.HeaderIdempotencyKey, old), errkind.KeyExpired},
			"bad key":          {parse.PathChat, chatBody, append(deadline, filter.HeaderIdempotencyKey, "a b"), errkind.BadRequest},
			"unknown path":     {"/v2", "", deadline, errkind.UnknownPath},
		} {
			w := h.do(c.path, c.body, c.header...)
			if got := refusalOf(t, w.Body.String()); got.Kind != c.kind || got.Ran != errkind.RanNo {
				t.Errorf("%s: got %s, ran %s: %s", name, got.Kind, got.Ran, got.Message)
			}
		}
		if e.runs != 0 || len(f.records) != 0 {
			t.Errorf("%d runs, %d records", e.runs, len(f.records))
		}
	})
}
