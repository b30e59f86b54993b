package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/filter/parse"
)

// maxBody bounds a request body.
const maxBody = 16 << 20

// uncappedExtra is added to four times the cap if the cap is ignored.
const uncappedExtra = 16

// completionRequest is the body of both completion calls. A chat has messages, a plain
// completion has a prompt.
type completionRequest struct {
	Model               string          `json:"model"`
	Adapter             string          `json:"adapter"`
	Messages            []chatMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	IgnoreEOS           bool            `json:"ignore_eos"`
	Priority            int             `json:"priority"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Text string `json:"text"`
}

// ParsePrompt returns the prompt in the body of a completion call.
func ParsePrompt(body []byte) (Prompt, error) {
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return Prompt{}, errors.Wrap(err, "body")
	}
	return req.prompt()
}

func (c *completionRequest) prompt() (Prompt, error) {
	var p Prompt
	if len(c.Messages) == 0 {
		text, err := contentText(c.Prompt)
		if err != nil {
			return p, errors.Wrap(err, "prompt")
		}
		return Prompt{Roles: []string{""}, Contents: []string{text}}, nil
	}
	for _, m := range c.Messages {
		text, err := contentText(m.Content)
		if err != nil {
			return p, errors.Wrap(err, "content")
		}
		p.Roles = append(p.Roles, m.Role)
		p.Contents = append(p.Contents, text)
	}
	return p, nil
}

// contentText returns the text of a content that is a string, a list of strings or a list of
// parts.
func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var texts []string
	if json.Unmarshal(raw, &texts) == nil {
		return strings.Join(texts, ""), nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errors.New("neither a string nor a list of strings or parts")
	}
	for _, p := range parts {
		text += p.Text
	}
	return text, nil
}

// cacheText returns the text whose prefixes are cached. It is built as on entry hosts, whose
// hashes have to match those in cache events.
func (c *completionRequest) cacheText() []byte {
	if len(c.Messages) == 0 {
		text, _ := contentText(c.Prompt) // was checked by prompt
		return []byte(text)
	}
	var text []byte
	for _, m := range c.Messages {
		text = append(text, m.Role...)
		text = append(text, 0)
		text = append(text, m.Content...)
		text = append(text, 0)
	}
	return text
}

func (c *completionRequest) maxTokens() int {
	if c.MaxCompletionTokens > 0 {
		return c.MaxCompletionTokens
	}
	return c.MaxTokens
}

// postCompletion serves POST /v1/chat/completions and /v1/completions.
func (s *Server) postCompletion(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	body := http.MaxBytesReader(w, r.Body, maxBody)
	if err := json.NewDecoder(body).Decode(&req); err != nil {
		reject(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	prompt, err := req.prompt()
	if err != nil {
		reject(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !s.acceptsCompletion(w, &req) {
		return
	}
	st := s.newCompletionStream(&req, prompt, r)
	err = s.engine.submit(st, parse.PrefixHashes(req.Model, req.cacheText()), req.Priority)
	if err != nil {
		rejectStream(w, err)
		return
	}
	if mark := s.faults.get().DieOnPrompt; mark != "" && strings.Contains(string(req.cacheText()), mark) {
		s.die()
	}
	s.serveStream(w, r, st, req.Stream)
}

// acceptsCompletion reports whether the server accepts a completion. If not, it sends a refusal.
func (s *Server) acceptsCompletion(w http.ResponseWriter, req *completionRequest) bool {
	if !s.acceptsWork(w) {
		return false
	}
	models, adapters := s.catalog.lists()
	if !slices.Contains(models, req.Model) {
		reject(w, http.StatusNotFound, "unknown_model", "model "+req.Model+" is not loaded")
		return false
	}
	if req.Adapter != "" && !slices.Contains(adapters, req.Adapter) {
		reject(w, http.StatusNotFound, "unknown_adapter", "adapter "+req.Adapter+" is not loaded")
		return false
	}
	return true
}

// newCompletionStream returns the stream for a completion, whose answer follows from the prompt.
func (s *Server) newCompletionStream(req *completionRequest, prompt Prompt, r *http.Request) *stream {
	id := r.Header.Get(HeaderEngineRequest)
	if id == "" {
		id = fmt.Sprintf("unnamed-%d", s.unnamed.Add(1))
	}
	st := newStream(id)
	st.model = req.Model
	st.chat = len(req.Messages) > 0
	st.hash = prompt.Hash()
	st.promptTokens = prompt.Tokens()
	limit := req.maxTokens()
	st.limit = OutputTokens(st.hash, limit, req.IgnoreEOS)
	st.capped = st.limit == limit
	if limit > 0 && s.faults.get().IgnoreMaxTokens {
		st.limit = 4*limit + uncappedExtra
	}
	return st
}

// serveStream sends the stream's whole text or streams it. A stream whose request has an engine
// request id continues after its connection ends, so that another host can read the rest. A
// stream without one is cancelled with its connection.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, st *stream, streamed bool) {
	w.Header().Set(HeaderEngineRequest, st.id)
	if r.Header.Get(HeaderEngineRequest) == "" {
		defer s.engine.cancel(st)
	}
	if streamed {
		s.writeStream(w, r, st, 0)
		return
	}
	s.writeWhole(w, r, st)
}

// rejectStream sends the refusal for an error of the engine.
func rejectStream(w http.ResponseWriter, err error) {
	if errors.Is(err, errDuplicate) {
		w.Header().Set(HeaderRan, "yes")
		writeJSON(w, http.StatusConflict, errorBody("already_known", err.Error()))
		return
	}
	w.Header().Set("Retry-After", "1")
	reject(w, http.StatusServiceUnavailable, "overloaded", err.Error())
}
