package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// headerRan is the header of a refusal that states whether the request was executed.
const headerRan = "Bluebellsail-Ran"

// maxLine bounds one line of an event stream.
const maxLine = 1 << 20

// attempt is the outcome of sending a request once.
type attempt struct {
	// broken is the error if there was no complete answer: the connection failed, was cut
	// or gave no byte within the patience.
	broken error
	// refusal is set if the answer is a refusal.
	refusal *refusal

	requestID string
	text      string
	prompt    uint64
	output    uint64
	code      string
	entryID   string
	entryRun  int
	// firstToken is when the first token arrived.
	firstToken time.Time
}

// refusal is an answer that rejects the request.
type refusal struct {
	Status     int
	Kind       errkind.Kind
	Ran        errkind.Ran
	Retry      errkind.Retry
	Message    string
	RetryAfter time.Duration
}

// sender makes single attempts.
type sender struct {
	client *http.Client
	// patience is Options.Patience.
	patience time.Duration
	// onText is called with each part of a streamed answer; may be nil.
	onText func(string)
}

// errSilent is the error of an attempt that received no byte within the patience.
var errSilent = errors.New("no byte received within the patience")

// try sends r to address with the remaining time as its timeout.
func (s *sender) try(ctx context.Context, address string, r *request, left time.Duration) *attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := s.watch(cancel)
	defer watch.Stop()
	req, err := newHTTPRequest(ctx, address, r, left)
	if err != nil {
		return &attempt{broken: err}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return &attempt{broken: causeOf(ctx, err)}
	}
	defer resp.Body.Close()
	a := &attempt{requestID: resp.Header.Get(filter.HeaderRequestID)}
	body := &watchedReader{r: resp.Body, progress: func() { s.rearm(watch) }}
	a.read(resp, body, r, s.onText)
	if a.broken != nil {
		a.broken = causeOf(ctx, a.broken)
	}
	return a
}

func causeOf(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errSilent) {
		return errSilent
	}
	return err
}

// watch returns a timer that cancels an attempt after the patience. It never fires if the
// patience is 0.
func (s *sender) watch(cancel context.CancelCauseFunc) *time.Timer {
	if s.patience <= 0 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.AfterFunc(s.patience, func() { cancel(errSilent) })
}

func (s *sender) rearm(t *time.Timer) {
	if s.patience > 0 {
		t.Reset(s.patience)
	}
}

// watchedReader calls progress whenever bytes were read.
type watchedReader struct {
	r        io.Reader
	progress func()
}

// Read implements io.Reader.
func (w *watchedReader) Read(p []byte) (int, error) {
	n, err := w.r.Read(p)
	if n > 0 {
		w.progress()
	}
	return n, err
}

func newHTTPRequest(ctx context.Context, address string, r *request, left time.Duration) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(filter.HeaderIdempotencyKey, r.key)
	ms := max(left.Milliseconds(), 1)
	req.Header.Set(filter.HeaderTimeout, strconv.FormatInt(ms, 10))
	if r.account.Key != "" {
		req.Header.Set("Authorization", "Bearer "+r.account.Key)
	}
	if r.work == WorkEntry {
		req.Header.Set(filter.HeaderNotIdempotent, "true")
	}
	return req, nil
}

// read reads the answer: a refusal, an event stream or a single JSON object.
func (a *attempt) read(resp *http.Response, body io.Reader, r *request, onText func(string)) {
	if resp.StatusCode != http.StatusOK {
		a.readRefusal(resp, body)
		return
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(body, onText)
		return
	}
	b, err := io.ReadAll(body)
	if err != nil {
		a.broken = errors.Wrap(err, "answer")
		return
	}
	a.firstToken = time.Now()
	a.readWhole(b, r)
}

// answerJSON is the union of all answers: of a completion, of a plain service, or an error.
type answerJSON struct {
	Choices []struct {
		Delta   *textJSON `json:"delta"`
		Message *textJSON `json:"message"`
	} `json:"choices"`
	Usage *struct {
		Prompt uint64 `json:"prompt_tokens"`
		Output uint64 `json:"completion_tokens"`
	} `json:"usage"`
	Error *errorJSON `json:"error"`
	Code  string     `json:"code"`
	ID    string     `json:"id"`
	Run   int        `json:"run"`
}

type textJSON struct {
	Content string `json:"content"`
}

type errorJSON struct {
	Kind         string `json:"kind"`
	Type         string `json:"type"`
	Message      string `json:"message"`
	Ran          string `json:"ran"`
	Retry        string `json:"retry"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

func (a *attempt) readWhole(b []byte, r *request) {
	var j answerJSON
	if err := json.Unmarshal(b, &j); err != nil {
		a.broken = errors.Wrap(err, "answer")
		return
	}
	a.addMessage(&j, nil)
	a.code = j.Code
	if r.work == WorkEntry {
		a.entryID, a.entryRun = j.ID, j.Run
	}
}

// addMessage adds the text and the usage in one message of the answer.
func (a *attempt) addMessage(j *answerJSON, onText func(string)) {
	for _, c := range j.Choices {
		t := c.Delta
		if t == nil {
			t = c.Message
		}
		if t == nil || t.Content == "" {
			continue
		}
		a.text += t.Content
		if a.firstToken.IsZero() {
			a.firstToken = time.Now()
		}
		if onText != nil {
			onText(t.Content)
		}
	}
	if j.Usage != nil {
		a.prompt, a.output = j.Usage.Prompt, j.Usage.Output
	}
}

// readStream reads server-sent events. A stream is complete only if it ends with the event [DONE]. If
// the connection ends before or inside it, the stream was cut.
func (a *attempt) readStream(body io.Reader, onText func(string)) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for done := false; lines.Scan(); {
		if done && lines.Text() == "" {
			return
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var j answerJSON
		if err := json.Unmarshal([]byte(data), &j); err != nil {
			a.broken = errors.Wrap(err, "stream")
			return
		}
		if j.Error != nil {
			a.refusal = j.Error.refusal(http.StatusOK, nil)
			return
		}
		a.addMessage(&j, onText)
	}
	a.broken = errors.New("the stream ended without [DONE]")
	if err := lines.Err(); err != nil {
		a.broken = errors.Wrap(err, "stream")
	}
}

func (a *attempt) readRefusal(resp *http.Response, body io.Reader) {
	var j answerJSON
	if err := json.NewDecoder(body).Decode(&j); err != nil || j.Error == nil {
		a.broken = errors.Errorf("status %d without a valid error body", resp.StatusCode)
		return
	}
	a.refusal = j.Error.refusal(resp.StatusCode, resp.Header)
}

func (e *errorJSON) refusal(status int, h http.Header) *refusal {
	f := &refusal{
		Status:     status,
		Kind:       errkind.Kind(e.Kind),
		Ran:        errkind.Ran(e.Ran),
		Retry:      errkind.Retry(e.Retry),
		Message:    e.Message,
		RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond,
	}
	if f.Kind == "" {
		f.Kind = errkind.Kind(e.Type)
	}
	if f.Retry == "" {
		f.Retry = errkind.Lookup(f.Kind).Retry
	}
	if f.Ran == "" {
		f.Ran = errkind.Ran(h.Get(headerRan))
	}
	if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil && f.RetryAfter == 0 {
		f.RetryAfter = time.Duration(s) * time.Second
	}
	return f
}
