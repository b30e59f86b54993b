package standin

import (
	"encoding/json"
	"net/http"
	"strings"
)

// The JSON types of the common completion API.
type (
	completion struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}
	choice struct {
		Index        int      `json:"index"`
		Message      *message `json:"message,omitempty"`
		Delta        *message `json:"delta,omitempty"`
		Text         *string  `json:"text,omitempty"`
		FinishReason *string  `json:"finish_reason"`
	}
	message struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}
	usage struct {
		PromptTokens     int           `json:"prompt_tokens"`
		CompletionTokens int           `json:"completion_tokens"`
		TotalTokens      int           `json:"total_tokens"`
		Details          *usageDetails `json:"prompt_tokens_details,omitempty"`
	}
	usageDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}
	errorAnswer struct {
		Error errorDetail `json:"error"`
	}
	errorDetail struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	}
)

func (s *stream) usage(produced int) *usage {
	return &usage{
		PromptTokens:     s.promptTokens,
		CompletionTokens: produced,
		TotalTokens:      s.promptTokens + produced,
		Details:          &usageDetails{CachedTokens: s.cachedTokens},
	}
}

// writeWhole waits until the stream has ended and sends the answer as one JSON object.
func (s *Server) writeWhole(w http.ResponseWriter, r *http.Request, st *stream) {
	p := st.progress()
	for p.state == streamRunning {
		var err error
		if p, err = st.wait(r.Context(), p.produced); err != nil {
			return
		}
	}
	text := Answer(st.hash, 0, p.produced)
	reason := st.finishReason(p.state)
	answer := completion{ID: st.id, Object: "text_completion", Model: st.model, Usage: st.usage(p.produced)}
	c := choice{FinishReason: &reason, Text: &text}
	if st.chat {
		answer.Object = "chat.completion"
		c.Text = nil
		c.Message = &message{Role: "assistant", Content: text}
	}
	answer.Choices = []choice{c}
	writeJSON(w, http.StatusOK, answer)
}

// writeStream sends the stream's tokens, starting with token number from, as server-sent
// events: one chunk for each token, a chunk with the finish reason and a chunk with the usage.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, st *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	out := newEventWriter(w, st)
	out.flush()
	sent := from
	for {
		p, err := st.wait(r.Context(), sent)
		if err != nil {
			return
		}
		for ; sent < p.produced; sent++ {
			s.injectStreamFault(r, out, sent)
			out.token(sent)
		}
		if p.state != streamRunning {
			out.finish(p)
			return
		}
		out.flush()
	}
}

// injectStreamFault injects the faults that affect a stream after some tokens.
func (s *Server) injectStreamFault(r *http.Request, out *eventWriter, sent int) {
	f := s.faults.get()
	if f.DropAfterTokens > 0 && sent >= f.DropAfterTokens {
		out.flush()
		panic(http.ErrAbortHandler)
	}
	if c := connOf(r); c != nil && f.SilentAfterTokens > 0 && sent >= f.SilentAfterTokens {
		out.flush()
		c.silent.Store(true)
	}
}

// eventWriter writes the chunks of one stream.
type eventWriter struct {
	w      http.ResponseWriter
	st     *stream
	object string
}

func newEventWriter(w http.ResponseWriter, st *stream) *eventWriter {
	object := "text_completion"
	if st.chat {
		object = "chat.completion.chunk"
	}
	return &eventWriter{w: w, st: st, object: object}
}

func (e *eventWriter) token(i int) {
	text := Token(e.st.hash, i)
	e.chunk(completion{Choices: []choice{e.newChoice(text, i == 0)}})
}

func (e *eventWriter) newChoice(text string, first bool) choice {
	if !e.st.chat {
		return choice{Text: &text}
	}
	m := &message{Content: text}
	if first {
		m.Role = "assistant"
	}
	return choice{Delta: m}
}

func (e *eventWriter) finish(p progress) {
	last := e.newChoice("", false)
	reason := e.st.finishReason(p.state)
	last.FinishReason = &reason
	e.chunk(completion{Choices: []choice{last}})
	e.chunk(completion{Choices: []choice{}, Usage: e.st.usage(p.produced)})
	e.writeData([]byte("[DONE]"))
	e.flush()
}

func (e *eventWriter) chunk(c completion) {
	c.ID, c.Object, c.Model = e.st.id, e.object, e.st.model
	b, err := json.Marshal(c)
	if err != nil {
		return
	}
	e.writeData(b)
}

func (e *eventWriter) writeData(data []byte) {
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	_, _ = e.w.Write(line)
}

func (e *eventWriter) flush() {
	_ = http.NewResponseController(e.w).Flush()
}

func errorBody(kind, text string) errorAnswer {
	return errorAnswer{Error: errorDetail{Type: kind, Message: strings.TrimSpace(text)}}
}

// reject sends a refusal, with the header that states that the request was not executed.
func reject(w http.ResponseWriter, status int, kind, text string) {
	w.Header().Set(HeaderRan, "no")
	writeJSON(w, status, errorBody(kind, text))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}

// cutJSON sends half of v and cuts the connection.
func cutJSON(w http.ResponseWriter, v any) {
	b, _ := json.Marshal(v) // the answers of plain services can be marshaled
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b[:len(b)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
