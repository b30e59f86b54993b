package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// runCounts counts how often ledger entries were executed, by id. A count above 1 is a
// duplicate entry.
type runCounts struct {
	mu      sync.Mutex
	entries map[string]int
	lookups int
}

func (c *runCounts) addEntry(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[id]++
	return c.entries[id]
}

func (c *runCounts) addLookup() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lookups++
}

// Runs is the answer to GET /debug/runs.
type Runs struct {
	// Entries counts the executions of each ledger entry.
	Entries map[string]int `json:"entries"`
	Lookups int            `json:"lookups"`
	// Streams is the number of completions started, Output the number of tokens generated.
	Streams   int `json:"streams"`
	Output    int `json:"output_tokens"`
	Cancelled int `json:"cancelled"`
	// Running and Waiting are the current load.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Runs returns the counts of all work executed so far.
func (s *Server) Runs() Runs {
	l := s.engine.load()
	s.runs.mu.Lock()
	r := Runs{Entries: maps.Clone(s.runs.entries), Lookups: s.runs.lookups}
	s.runs.mu.Unlock()
	r.Running, r.Waiting = l.running, l.waiting
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	r.Streams, r.Output, r.Cancelled = s.engine.runs, s.engine.output, s.engine.cancelled
	return r
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Runs())
}

type lookupAnswer struct {
	Service string `json:"service"`
	Query   string `json:"query"`
	Code    string `json:"code"`
}

type entryRequest struct {
	ID string `json:"id"`
}

type entryAnswer struct {
	ID  string `json:"id"`
	Run int    `json:"run"`
}

// lookup serves /services/{name}/lookup?q=... with an answer that depends only on the query.
func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	if !s.acceptsService(w, r) {
		return
	}
	s.runs.addLookup()
	q := r.FormValue("q")
	s.answerService(w, r, lookupAnswer{Service: r.PathValue("name"), Query: q, Code: LookupCode(q)})
}

// LookupCode returns the code in the answer to a lookup of q.
func LookupCode(q string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(q))
	return fmt.Sprintf("%08x", h.Sum32())
}

// postEntry serves POST /services/{name}/entries with {"id": ...} and counts each execution.
func (s *Server) postEntry(w http.ResponseWriter, r *http.Request) {
	var req entryRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&req); err != nil {
		reject(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !s.acceptsService(w, r) {
		return
	}
	s.answerService(w, r, entryAnswer{ID: req.ID, Run: s.runs.addEntry(req.ID)})
}

// acceptsService reports whether a call of a plain service is accepted. If not, it sends a refusal.
func (s *Server) acceptsService(w http.ResponseWriter, r *http.Request) bool {
	if !s.acceptsWork(w) {
		return false
	}
	if !slices.Contains(s.opts.Services, r.PathValue("name")) {
		reject(w, http.StatusNotFound, "unknown_service", "no such service")
		return false
	}
	return true
}

// answerService sends the answer of a plain service after ServiceTime. The execution was counted
// before.
func (s *Server) answerService(w http.ResponseWriter, r *http.Request, answer any) {
	s.calls.Add(1)
	defer s.calls.Add(-1)
	f := s.faults.get()
	took := s.opts.ServiceTime
	if f.Slow > 1 {
		took = time.Duration(float64(took) * f.Slow)
	}
	sleepUntil(r.Context(), time.Now().Add(took))
	if f.DropServiceAnswers {
		panic(http.ErrAbortHandler)
	}
	if f.CutServiceAnswers {
		cutJSON(w, answer)
	}
	writeJSON(w, http.StatusOK, answer)
}
