// Package engineclient calls backend servers over HTTP: model engines, whose streams it
// starts, resumes and cancels, and plain services. Its errors report whether the request may
// have run, which decides whether it may be sent again.
package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/propagation"

	"github.com/bluebellsail/bluebellsail/internal/bodyend"
	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// Headers between a host and a backend server.
const (
	// HeaderEngineRequest carries the ID of a run at its engine, for resume and cancel.
	HeaderEngineRequest = "Bluebellsail-Engine-Request"
	// HeaderRan is set to "no" by a backend server that did not run the request.
	HeaderRan = "Bluebellsail-Ran"
	// HeaderRateLimit advertises how many requests per second a backend server accepts from
	// all hosts together, as a decimal number.
	HeaderRateLimit = "Bluebellsail-Rate-Limit"
)

// Defaults of a Config.
const (
	DefaultDialTimeout   = time.Second
	DefaultHeaderTimeout = 60 * time.Second
	DefaultIdlePerServer = 64
	DefaultIdleTimeout   = 90 * time.Second
	DefaultMaxAnswer     = 16 << 20
	maxErrorBody         = 4 << 10
	maxHeaderBytes       = 64 << 10
)

// Config configures a Client. Zero fields take the defaults above.
type Config struct {
	DialTimeout time.Duration
	// HeaderTimeout bounds the time from the request's last byte to the answer's first.
	HeaderTimeout time.Duration
	// IdlePerServer is how many idle connections are kept per backend server, IdleTimeout how
	// long each is kept. IdleTimeout should be shorter than the time after which servers close
	// idle connections.
	IdlePerServer int
	IdleTimeout   time.Duration
	// Unacknowledged bounds how long sent bytes may stay unacknowledged before the connection
	// is closed; 0: no bound beyond that of the system.
	Unacknowledged time.Duration
	// Source is the IP address that connections are opened from; empty: chosen by the system.
	Source string
	// Dial opens connections; nil: Direct.
	Dial DialFunc
	// ObserveDial is called with how long Direct took to open a connection; nil: no call.
	ObserveDial func(took time.Duration)
	// MaxAnswer bounds the body of a plain service's answer, in bytes.
	MaxAnswer int64
	// WriteStall bounds how long a server may read nothing of a request before its answer begins; 0:
	// no bound. It does not apply to connections through a peer.
	WriteStall time.Duration
	// ObserveStall is called when WriteStall ends an attempt, with the bytes that the connection still
	// had to take; nil: no call.
	ObserveStall func(address string, unsent int64, quiet time.Duration)
	// Observe is called with what servers report about themselves in their answers; nil: no
	// call.
	Observe func(Observation)
}

// Observation is what a server reports about itself in an answer.
type Observation struct {
	Address   string
	RequestID string
	// Sent is when the request was sent that this answer belongs to.
	Sent time.Time
	// RateLimit is the value of HeaderRateLimit; empty: none is advertised.
	RateLimit string
	// RetryAfter is the value of Retry-After in a rejection (503 or 429): the server is to
	// receive nothing from this host for that time.
	RetryAfter string
}

// Client calls any number of backend servers. Each has its own connections.
type Client struct {
	cfg     Config
	mu      sync.Mutex
	pools   map[string]*http.Transport
	oneShot *http.Transport
}

// New returns a Client.
func New(cfg Config) *Client {
	defaults.Set(&cfg.DialTimeout, DefaultDialTimeout)
	defaults.Set(&cfg.HeaderTimeout, DefaultHeaderTimeout)
	defaults.Set(&cfg.IdlePerServer, DefaultIdlePerServer)
	defaults.Set(&cfg.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&cfg.MaxAnswer, DefaultMaxAnswer)
	c := &Client{cfg: cfg, pools: make(map[string]*http.Transport)}
	c.oneShot = c.newTransport()
	c.oneShot.DisableKeepAlives = true
	return c
}

func (c *Client) newTransport() *http.Transport {
	dial := c.cfg.Dial
	if dial == nil {
		dial = Direct(c.cfg)
	}
	return &http.Transport{
		DialContext:            withCounting(dial, c.cfg.WriteStall, c.cfg.ObserveStall),
		ResponseHeaderTimeout:  c.cfg.HeaderTimeout,
		MaxIdleConnsPerHost:    c.cfg.IdlePerServer,
		IdleConnTimeout:        c.cfg.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

func (c *Client) pool(address string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.pools[address]
	if !ok {
		t = c.newTransport()
		c.pools[address] = t
	}
	return t
}

// DropConnections makes further calls to address use new connections. Idle connections are
// closed; those in use close when their call ends.
//
// A device between the two ends may lose track of its connections. The call on the connection
// in use then times out, but the idle connections beside it are dead as well, and without
// DropConnections each of the next calls would time out on one of them.
func (c *Client) DropConnections(address string) {
	c.mu.Lock()
	old := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if old != nil {
		// Also makes connections in use close when they become idle.
		old.CloseIdleConnections()
	}
}

// OneShot returns a transport with a new connection for each request, for calls that the Client has no method for. It fails the
// same broken answers as the Client does.
func (c *Client) OneShot() http.RoundTripper { return c.oneShot }

// Close closes idle connections.
func (c *Client) Close() { c.DropAllConnections() }

// DropAllConnections is DropConnections for all servers.
func (c *Client) DropAllConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.pools {
		t.CloseIdleConnections()
	}
	c.pools = make(map[string]*http.Transport)
}

// Request is one call to a backend server.
type Request struct {
	Address string
	Method  string
	// Path with its query.
	Path        string
	ContentType string
	Body        []byte
	// EngineRequestID is the ID of the run.
	EngineRequestID string
	// IdempotencyKey lets a plain service recognize a request that is sent again.
	IdempotencyKey string
	// Remaining is the time left until the caller's deadline; 0: not sent.
	Remaining time.Duration
	// Fresh requests a new connection. It is for requests that must not run twice: net/http
	// may resend a request by itself when an idle connection turns out to be closed, and an
	// idle connection that no longer delivers anything leaves the outcome unknown.
	Fresh bool
	// Leaving is set if the server has announced its end: it may stop with its last answer.
	Leaving bool
}

// Error is the error of a call, with what is known about the run.
type Error struct {
	Ran errkind.Ran
	// Cause of the failure; empty: the server's answer itself is the failure.
	Cause Cause
	// Status of the answer; 0: there was no answer.
	Status int
	// Refused: the server reported that it did not run the request.
	Refused bool
	Message string
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// send performs one exchange. If the error is nil, the answer's body is open. The error's Ran
// is "no" only if no byte of the request was written to a connection.
func (c *Client) send(ctx context.Context, r Request) (*http.Response, error) {
	var trace exchangeTrace
	req, err := http.NewRequestWithContext(trace.withTrace(ctx), r.Method, "http://"+r.Address+r.Path, nil)
	if err != nil {
		return nil, &Error{Ran: errkind.RanNo, Cause: CauseInvalid, Message: err.Error()}
	}
	if len(r.Body) > 0 {
		// No GetBody, so that net/http does not send the body a second time by itself.
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	setHeaders(ctx, req, r)
	transport := c.oneShot
	if !r.Fresh {
		transport = c.pool(r.Address)
	}
	sent := time.Now()
	res, err := transport.RoundTrip(req)
	if err != nil {
		defer trace.decideReuse(false)
		return nil, trace.failure(ctx, err)
	}
	trace.decideReuse(answersRun(res, r.EngineRequestID))
	if res.StatusCode == http.StatusSwitchingProtocols {
		_ = res.Body.Close()
		return nil, &Error{Ran: errkind.RanUnknown, Cause: CauseSwitchedProtocols, Message: "the server switched protocols without a request to do so"}
	}
	c.observe(r, res, sent)
	return res, nil
}

// observe passes on what a server reports in an answer. A late answer to another request is
// skipped, because it may come from an earlier incarnation of the server.
func (c *Client) observe(r Request, res *http.Response, sent time.Time) {
	if c.cfg.Observe == nil || !answersRun(res, r.EngineRequestID) {
		return
	}
	obs := Observation{Address: r.Address, RequestID: r.EngineRequestID, Sent: sent, RateLimit: res.Header.Get(HeaderRateLimit)}
	if res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests {
		obs.RetryAfter = res.Header.Get("Retry-After")
	}
	c.cfg.Observe(obs)
}

// exchange is send for requests about a run: an answer that is not a success is an error.
func (c *Client) exchange(ctx context.Context, r Request) (*http.Response, error) {
	res, err := c.send(ctx, r)
	if err != nil {
		return nil, err
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return nil, statusError(res)
	}
	return res, nil
}

func setHeaders(ctx context.Context, req *http.Request, r Request) {
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	if r.EngineRequestID != "" {
		req.Header.Set(HeaderEngineRequest, r.EngineRequestID)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set(filter.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	if r.Remaining > 0 {
		req.Header.Set(filter.HeaderTimeout, strconv.FormatInt(r.Remaining.Milliseconds(), 10))
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
}

// statusError converts an answer with an error status to an Error and closes the body.
func statusError(res *http.Response) *Error {
	body, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBody))
	_ = res.Body.Close()
	refused := strings.EqualFold(res.Header.Get(HeaderRan), string(errkind.RanNo))
	e := &Error{Ran: errkind.RanUnknown, Status: res.StatusCode, Refused: refused}
	if refused {
		e.Ran = errkind.RanNo
	}
	e.Message = "status " + strconv.Itoa(res.StatusCode) + ": " + string(body)
	return e
}

// Open starts a run and returns its stream.
func (c *Client) Open(ctx context.Context, r Request) (*Stream, error) {
	res, err := c.send(ctx, r)
	if err != nil {
		return nil, err
	}
	return newStream(res, r.EngineRequestID)
}

// Resume reads the stream of a run again over a new connection, starting at token number from.
func (c *Client) Resume(ctx context.Context, address, engineRequestID string, from uint64) (*Stream, error) {
	path := streamPath(engineRequestID) + "?from=" + strconv.FormatUint(from, 10)
	res, err := c.send(ctx, Request{Address: address, Method: http.MethodGet, Path: path, Fresh: true})
	if err != nil {
		return nil, err
	}
	return newStream(res, engineRequestID)
}

// Cancel stops a run. It returns the usage if the engine reports it.
func (c *Client) Cancel(ctx context.Context, address, engineRequestID string) (*Usage, error) {
	r := Request{Address: address, Method: http.MethodPost, Path: streamPath(engineRequestID) + "/cancel", Fresh: true}
	res, err := c.exchange(ctx, r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	var answer struct {
		Usage *Usage `json:"usage"`
	}
	if json.NewDecoder(io.LimitReader(res.Body, maxErrorBody)).Decode(&answer) != nil {
		return nil, nil
	}
	return answer.Usage, nil
}

func streamPath(id string) string { return "/v1/streams/" + url.PathEscape(id) }

// Answer is the answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// EndShown is set if the framing or the content of the body shows that it is whole.
	EndShown bool
}

// Call makes one call to a plain service and reads the whole answer.
func (c *Client) Call(ctx context.Context, r Request) (*Answer, error) {
	res, err := c.send(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := checkID(res, r.EngineRequestID); err != nil {
		return nil, err
	}
	if strings.EqualFold(res.Header.Get(HeaderRan), string(errkind.RanNo)) {
		return nil, statusError(res)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, c.cfg.MaxAnswer+1))
	if err != nil {
		e := truncated(res, err.Error())
		e.Cause = TruncationCause(err, e.Cause)
		return nil, e
	}
	if int64(len(body)) > c.cfg.MaxAnswer {
		return nil, &Error{Ran: errkind.RanYes, Status: res.StatusCode, Message: "the answer is longer than the limit"}
	}
	end := EndOf(res, body)
	switch {
	case end == bodyend.Truncated:
		return nil, truncated(res, "the connection ended inside the answer's content")
	case end == bodyend.Unknown && !r.Leaving && c.serverEnded(ctx, r.Address):
		return nil, truncated(res, "the connection ended, and the server accepts no others")
	}
	return &Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body, EndShown: end == bodyend.Whole}, nil
}

// truncated returns the error for an answer of which only a part arrived.
func truncated(res *http.Response, message string) *Error {
	return &Error{Ran: errkind.RanUnknown, Cause: CauseBodyTruncated, Status: res.StatusCode, Message: message}
}

// ErrOtherAnswer is returned for an answer with the ID of another run: one that arrived late
// or was delivered on the wrong connection. The answer is dropped.
var ErrOtherAnswer = errors.New("the answer belongs to another run")

// CrossedAnswers counts the answers dropped with ErrOtherAnswer.
var CrossedAnswers atomic.Int64

// answersRun reports whether an answer belongs to a run, as far as IDs tell. An empty id is that of a request about no run.
func answersRun(res *http.Response, id string) bool {
	got := res.Header.Get(HeaderEngineRequest)
	return id == "" || got == "" || got == id
}

// checkID checks by ID that the answer belongs to this run, since the position on the
// connection does not prove it. On a mismatch it closes the body.
func checkID(res *http.Response, id string) error {
	if answersRun(res, id) {
		return nil
	}
	CrossedAnswers.Add(1)
	_ = res.Body.Close()
	return errors.Wrapf(ErrOtherAnswer, "want %s, got %s", id, res.Header.Get(HeaderEngineRequest))
}
