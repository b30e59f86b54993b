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

// endlessOutput is added to four times the cap if the cap is ignored.
const endlessOutput = 16

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
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	prompt, err := req.prompt()
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !s.serves(w, &req) {
		return
	}
	st := s.newRun(&req, prompt, r)
	err = s.engine.submit(st, parse.PrefixHashes(req.Model, req.cacheText()), req.Priority)
	if err != nil {
		refuseRun(w, err)
		return
	}
	if mark := s.faults.get().DieOnPrompt; mark != "" && strings.Contains(string(req.cacheText()), mark) {
		s.die()
	}
	s.serveRun(w, r, st, req.Stream)
}

// serves reports whether the server accepts a completion. If not, it sends a refusal.
func (s *Server) serves(w http.ResponseWriter, req *completionRequest) bool {
	if !s.takesWork(w) {
		return false
	}
	models, adapters := s.offer.lists()
	if !slices.Contains(models, req.Model) {
		refuse(w, http.StatusNotFound, "unknown_model", "model "+req.Model+" is not loaded")
		return false
	}
	if req.Adapter != "" && !slices.Contains(adapters, req.Adapter) {
		refuse(w, http.StatusNotFound, "unknown_adapter", "adapter "+req.Adapter+" is not loaded")
		return false
	}
	return true
}

// newRun returns the stream for a completion, whose answer follows from the prompt.
func (s *Server) newRun(req *completionRequest, prompt Prompt, r *http.Request) *stream {
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
		st.limit = 4*limit + endlessOutput
	}
	return st
}

// serveRun sends the stream's whole text or streams it. A stream whose request has an engine
// request id continues after its connection ends, so that another host can read the rest. A
// stream without one is cancelled with its connection.
func (s *Server) serveRun(w http.ResponseWriter, r *http.Request, st *stream, streamed bool) {
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

// refuseRun sends the refusal for an error of the engine.
func refuseRun(w http.ResponseWriter, err error) {
	if errors.Is(err, errKnown) {
		w.Header().Set(HeaderRan, "yes")
		writeJSON(w, http.StatusConflict, errorBody("already_known", err.Error()))
		return
	}
	w.Header().Set("Retry-After", "1")
	refuse(w, http.StatusServiceUnavailable, "overloaded", err.Error())
}
