package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// kvExport is a stream that is moved between two engines: the state that is needed to continue
// at the next token without the prompt.
type kvExport struct {
	ID           string `json:"id"`
	Model        string `json:"model"`
	Chat         bool   `json:"chat"`
	Hash         uint64 `json:"hash"`
	PromptTokens int    `json:"prompt_tokens"`
	Produced     int    `json:"produced"`
	Limit        int    `json:"limit"`
	Capped       bool   `json:"capped"`
}

// cancelAnswer reports the state of a stream after its cancellation.
type cancelAnswer struct {
	ID       string `json:"id"`
	Finished bool   `json:"finished"`
	Usage    *usage `json:"usage"`
}

func (s *Server) findStream(w http.ResponseWriter, r *http.Request) (*stream, bool) {
	st, ok := s.engine.find(r.PathValue("id"))
	if !ok {
		writeJSON(w, http.StatusNotFound, errorBody("unknown_stream", "no stream with this id is kept"))
	}
	return st, ok
}

// getStream serves GET /v1/streams/{id}?from=N. With stream=false it sends the whole text.
func (s *Server) getStream(w http.ResponseWriter, r *http.Request) {
	if s.opts.NoResume {
		writeJSON(w, http.StatusNotFound, errorBody("unknown_path", "this engine does not resume streams"))
		return
	}
	st, ok := s.findStream(w, r)
	if !ok {
		return
	}
	w.Header().Set(HeaderEngineRequest, st.id)
	if r.FormValue("stream") == "false" {
		s.writeWhole(w, r, st)
		return
	}
	from, err := strconv.Atoi(r.FormValue("from"))
	if r.FormValue("from") != "" && (err != nil || from < 0) {
		writeJSON(w, http.StatusBadRequest, errorBody("bad_request", "from must be the number of a token"))
		return
	}
	s.writeStream(w, r, st, from)
}

func (s *Server) cancelStream(w http.ResponseWriter, r *http.Request) {
	st, ok := s.findStream(w, r)
	if !ok {
		return
	}
	p := s.engine.cancel(st)
	writeJSON(w, http.StatusOK, cancelAnswer{
		ID:       st.id,
		Finished: p.state == streamFinished,
		Usage:    st.usage(p.produced),
	})
}

func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	st, ok := s.findStream(w, r)
	if !ok {
		return
	}
	writeJSON(w, http.StatusOK, kvExport{
		ID:           st.id,
		Model:        st.model,
		Chat:         st.chat,
		Hash:         st.hash,
		PromptTokens: st.promptTokens,
		Produced:     st.progress().produced,
		Limit:        st.limit,
		Capped:       st.capped,
	})
}

// importKV continues an exported stream with the id in the path.
func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var kv kvExport
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&kv); err != nil {
		reject(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !s.acceptsCompletion(w, &completionRequest{Model: kv.Model}) {
		return
	}
	if err := s.engine.importStream(kv.stream(r.PathValue("id"), time.Now())); err != nil {
		rejectStream(w, err)
		return
	}
	writeJSON(w, http.StatusOK, kv)
}

func (kv *kvExport) stream(id string, now time.Time) *stream {
	st := newStream(id)
	st.model = kv.Model
	st.chat = kv.Chat
	st.hash = kv.Hash
	st.promptTokens = kv.PromptTokens
	st.cachedTokens = kv.PromptTokens
	st.limit = kv.Limit
	st.capped = kv.Capped
	st.produced = kv.Produced
	if st.produced >= st.limit {
		st.state = streamFinished
		st.ended = now
	}
	return st
}
