package callerapi

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// fakeEngine is an in-process model engine and plain service. Its tokens are "t1 ", "t2 " and
// so on.
type fakeEngine struct {
	mu      sync.Mutex
	conns   chan net.Conn
	server  *http.Server
	resumes bool
	// fault takes effect after token number at; tokens is the run's length.
	fault  string
	at     int
	tokens int
	prefix string // before each token's text
	down   bool
	delay  func(body string) time.Duration // before a plain service's answer
	// tokenDelay is the time before each token.
	tokenDelay time.Duration
	until      time.Time     // when a stall ends
	lateEnd    time.Duration // between the last event and the body's end
	stuck      bool          // resumed streams have the same fault
	burst      bool          // sends everything at the end of the run, without flushing
	runs       int           // requests that were executed
	cancels    int
	resumed    []string // "from" of each resume
	bodies     []string
	ids        []string // engine request IDs of the runs
	prefill    float64  // announced prefill speed
	key        string   // idempotency key of the plain service's last call
	open       int      // streams in progress
	newline    string   // ends the lines of streams; empty: LF
	mark       string   // sent before the first event of a stream
	lastToken  bool     // the last token comes with the finish reason
	answer     string   // what a plain service sends as JSON; empty: text made of the request
	unframed   bool     // answers have neither a length nor chunks and end with their connections
}

func (f *fakeFleet) engine(resumes bool, fault string, at int) *fakeEngine {
	e := &fakeEngine{conns: make(chan net.Conn, 16), resumes: resumes, fault: fault, at: at, tokens: 5}
	e.server = &http.Server{Handler: e}
	address := fmt.Sprintf("10.0.0.%d:80", len(f.order)+1)
	f.engines[address], f.order = e, append(f.order, address)
	go func() { _ = e.server.Serve(e) }()
	return e
}

// tcpEngine returns an engine that listens on a loopback address.
func (f *fakeFleet) tcpEngine(t testing.TB, fault string, at int) *fakeEngine {
	e := &fakeEngine{resumes: true, fault: fault, at: at, tokens: 5}
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	address := s.Listener.Addr().String()
	f.engines[address], f.order = e, append(f.order, address)
	return e
}

func (e *fakeEngine) refusesConnections() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down || e.fault == "refuses connections"
}

// Accept, Close and Addr implement net.Listener on the engine itself.
func (e *fakeEngine) Accept() (net.Conn, error) {
	c, ok := <-e.conns
	if !ok {
		return nil, io.EOF
	}
	return c, nil
}
func (e *fakeEngine) Close() error   { return nil }
func (e *fakeEngine) Addr() net.Addr { return &net.TCPAddr{} }

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/v1/streams/")
	switch {
	case strings.HasSuffix(path, "/cancel"):
		e.count(func() { e.cancels++ })
		_, _ = io.WriteString(w, `{}`)
	case path != r.URL.Path:
		from, _ := strconv.Atoi(r.URL.Query().Get("from"))
		e.count(func() { e.resumed = append(e.resumed, r.URL.Query().Get("from")) })
		fault := ""
		if e.stuck {
			fault = e.fault
		}
		if e.fault == "computes for long" {
			time.Sleep(time.Until(e.until))
		}
		if fault == "never answers" {
			<-r.Context().Done()
			return
		}
		e.stream(w, r, from, fault)
	default:
		e.run(w, r)
	}
}

func (e *fakeEngine) count(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

func (e *fakeEngine) run(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if e.fault == "rejects before running" {
		w.Header().Set(engineclient.HeaderRan, "no")
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	if e.fault == "rejects as invalid" {
		w.Header().Set(engineclient.HeaderRan, "no")
		http.Error(w, "bad field", http.StatusBadRequest)
		return
	}
	e.count(func() {
		e.runs++
		e.bodies = append(e.bodies, string(body))
		e.ids = append(e.ids, r.Header.Get(engineclient.HeaderEngineRequest))
	})
	w.Header().Set(engineclient.HeaderEngineRequest, r.Header.Get(engineclient.HeaderEngineRequest))
	switch e.fault {
	case "dies without an answer":
		panic(http.ErrAbortHandler)
	case "never answers":
		<-r.Context().Done()
		return
	case "computes for long":
		e.count(func() { e.until = time.Now().Add(8 * time.Second) })
		time.Sleep(8 * time.Second)
	case "answers 500":
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	case "answers 400":
		http.Error(w, "bad field", http.StatusBadRequest)
		return
	case "is slow":
		time.Sleep(time.Second)
	case "answers for another run":
		w.Header().Set(engineclient.HeaderEngineRequest, "other")
	}
	if strings.HasPrefix(r.URL.Path, "/services/") {
		if e.delay != nil {
			time.Sleep(e.delay(string(body)))
		}
		e.count(func() { e.key = r.Header.Get(filter.HeaderIdempotencyKey) })
		e.frame(w)
		if e.answer != "" {
			w.Header().Set("Content-Type", "application/json")
		}
		if e.fault == "dies with its answer" {
			e.count(func() { e.down = true })
		}
		_, _ = io.WriteString(w, cmp.Or(e.answer, "service:"+string(body)))
		if e.fault == "dies in the answer" {
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		return
	}
	e.stream(w, r, 0, e.fault)
}

func (e *fakeEngine) stream(w http.ResponseWriter, r *http.Request, from int, fault string) {
	e.count(func() { e.open++ })
	defer e.count(func() { e.open-- })
	w.Header().Set("Content-Type", "text/event-stream")
	e.frame(w)
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, e.mark)
	if !e.burst {
		w.(http.Flusher).Flush()
	}
	if from == 0 {
		e.send(w, `{"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"role":"assistant","content":""}}]}`)
	}
	for i := from + 1; i <= e.tokens; i++ {
		if i > e.at && fault != "" {
			switch fault {
			case "dies in the stream":
				panic(http.ErrAbortHandler)
			case "ends in the stream":
				return
			case "ends inside an event":
				_, _ = io.WriteString(w, `data: {"id":"x","choices":[{"index":0,"delta":{"content":"t`)
				return
			case "falls silent":
				<-r.Context().Done()
				return
			case "stalls":
				if i == e.at+1 {
					e.count(func() {
						if e.until.IsZero() {
							e.until = time.Now().Add(3 * time.Second)
						}
					})
					time.Sleep(time.Until(e.until))
				}
			case "is stopped":
				e.send(w, `{"id":"x","choices":[{"index":0,"delta":{},"finish_reason":"cancelled"}]}`)
				e.send(w, "[DONE]")
				return
			case "reports an error":
				e.send(w, `{"error":{"message":"out of memory"}}`)
				return
			}
		}
		time.Sleep(e.tokenDelay)
		text, _ := json.Marshal(e.prefix + "t" + strconv.Itoa(i) + " ")
		finish := "null"
		if e.lastToken && i == e.tokens {
			finish = `"stop"`
		}
		e.send(w, fmt.Sprintf(`{"id":"x","choices":[{"index":0,"delta":{"content":%s},"finish_reason":%s}]}`, text, finish))
	}
	if !e.lastToken {
		e.send(w, `{"id":"x","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)
	}
	switch fault {
	case "ends before its usage":
		return
	case "dies before its usage":
		panic(http.ErrAbortHandler)
	case "falls silent before its usage":
		<-r.Context().Done()
		return
	}
	e.send(w, fmt.Sprintf(`{"id":"x","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":%d,"total_tokens":%d}}`, e.tokens, e.tokens+3))
	e.send(w, "[DONE]")
	time.Sleep(e.lateEnd)
}

// frame makes net/http send the answer without a length and without chunks if the engine is to.
func (e *fakeEngine) frame(w http.ResponseWriter) {
	if e.unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
}

func (e *fakeEngine) send(w http.ResponseWriter, data string) {
	newline := cmp.Or(e.newline, "\n")
	_, _ = io.WriteString(w, "data: "+data+newline+newline)
	if !e.burst {
		w.(http.Flusher).Flush()
	}
}
