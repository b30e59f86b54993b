// Package engineclient calls backend servers over HTTP: model engines, whose streams
// it starts, resumes and cancels, and plain services. Its errors say whether the
// request can have run, which decides whether it may be sent again.
package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/propagation"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// Headers between a host and a backend server.
const (
	// HeaderEngineRequest names a run at its engine, for resume and cancel.
	HeaderEngineRequest = "Bluebellsail-Engine-Request"
	// HeaderRan set to "no" by a backend server says that it did not run the request.
	HeaderRan = "Bluebellsail-Ran"
	// HeaderRateLimit says how many requests a second a backend server takes from all hosts
	// together, as a decimal number.
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

// Config of a Client. Zero fields take the defaults above.
type Config struct {
	DialTimeout time.Duration
	// HeaderTimeout bounds the time from the request's last byte to the answer's first.
	HeaderTimeout time.Duration
	// IdlePerServer is how many idle connections are kept per backend server, IdleTimeout
	// how long each; less than the time after which servers close theirs.
	IdlePerServer int
	IdleTimeout   time.Duration
	// Unacknowledged bounds how long sent bytes may stay unacknowledged until a connection
	// is given up; 0: no bound of its own.
	Unacknowledged time.Duration
	// Source is the IP number that connections are opened from; empty: the system's choice.
	Source string
	// Dial opens connections; nil: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxAnswer bounds the body of a plain service's answer, in bytes.
	MaxAnswer int64
	// Observe is told what servers say of themselves with their answers; nil: nobody is.
	Observe func(Observation)
}

// Observation is what a server says of itself with an answer.
type Observation struct {
	Address   string
	RequestID string
	// Sent is when the request was sent that it answers.
	Sent time.Time
	// RateLimit is the header's text; empty: none is named.
	RateLimit string
	// RetryAfter is the header's text in an answer that turns the request away (503 or 429):
	// the server wants nothing from this host for so long.
	RetryAfter string
}

// Client calls any number of backend servers, each over connections of its own.
type Client struct {
	cfg     Config
	mu      sync.Mutex
	pools   map[string]*http.Transport
	oneShot *http.Transport
}

// New makes a Client.
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
		dial = tcpDialer(c.cfg).DialContext
	}
	return &http.Transport{
		DialContext:            withCounting(dial),
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

// DropConnections makes further calls to address use new connections. Idle ones are closed;
// those in use close when their call ends.
//
// What goes wrong without it: something between the two ends forgets its
// connections. The one in use is noticed by its silence, but the idle ones beside
// it are as dead, and each next call would find that out anew.
func (c *Client) DropConnections(address string) {
	c.mu.Lock()
	old := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if old != nil {
		// Also makes connections in use close when they come back.
		old.CloseIdleConnections()
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.pools {
		t.CloseIdleConnections()
	}
	c.pools = make(map[string]*http.Transport)
}

// Request is one call of a backend server.
type Request struct {
	Address string
	Method  string
	// Path with its query.
	Path        string
	ContentType string
	Body        []byte
	// EngineRequestID names the run.
	EngineRequestID string
	// IdempotencyKey lets a plain service recognise a request that comes again.
	IdempotencyKey string
	// Remaining is the time left until the caller's deadline; 0: not said.
	Remaining time.Duration
	// Fresh asks for a connection of its own. For requests that must not run twice:
	// net/http may send a request again by itself when an idle connection turns out
	// to be closed, and an idle connection that went silent leaves the outcome unknown.
	Fresh bool
}

// Error of a call, with what is known of the run.
type Error struct {
	Ran errkind.Ran
	// Cause of the failure; empty: the server's answer is the failure.
	Cause Cause
	// Status of the answer; 0: there was none.
	Status int
	// Refused: the server itself said that it did not run the request.
	Refused bool
	Message string
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// send runs one exchange. A nil error comes with an open body. The error's Ran is
// "no" only if no byte of the request was written to a connection.
func (c *Client) send(ctx context.Context, r Request) (*http.Response, error) {
	var d exchangeTrace
	req, err := http.NewRequestWithContext(d.withTrace(ctx), r.Method, "http://"+r.Address+r.Path, nil)
	if err != nil {
		return nil, &Error{Ran: errkind.RanNo, Cause: CauseInvalid, Message: err.Error()}
	}
	if len(r.Body) > 0 {
		// No GetBody: net/http must not send the body a second time by itself.
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
		return nil, d.failure(ctx, err)
	}
	c.observe(r, res, sent)
	return res, nil
}

// observe tells what a server says of itself. An answer to another request, which came late, may be
// of a run of the server that has ended.
func (c *Client) observe(r Request, res *http.Response, sent time.Time) {
	id := res.Header.Get(HeaderEngineRequest)
	if c.cfg.Observe == nil || r.EngineRequestID != "" && id != "" && id != r.EngineRequestID {
		return
	}
	said := Observation{Address: r.Address, RequestID: r.EngineRequestID, Sent: sent, RateLimit: res.Header.Get(HeaderRateLimit)}
	if res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests {
		said.RetryAfter = res.Header.Get("Retry-After")
	}
	c.cfg.Observe(said)
}

// exchange is send for orders about a run: an answer that is no success is an error.
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

// statusError reads a refusal of the server and closes its body.
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

// Resume reads the stream of a run again from its token number from on, over a new
// connection.
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

// Answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call makes one call of a plain service and reads its whole answer.
func (c *Client) Call(ctx context.Context, r Request) (*Answer, error) {
	res, err := c.send(ctx, r)
	if err != nil {
		return nil, err
	}
	if strings.EqualFold(res.Header.Get(HeaderRan), string(errkind.RanNo)) {
		return nil, statusError(res)
	}
	if err := checkID(res, r.EngineRequestID); err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, c.cfg.MaxAnswer+1))
	if err != nil {
		return nil, &Error{Ran: errkind.RanUnknown, Status: res.StatusCode, Message: err.Error()}
	}
	if int64(len(body)) > c.cfg.MaxAnswer {
		return nil, &Error{Ran: errkind.RanYes, Status: res.StatusCode, Message: "the answer is too long"}
	}
	return &Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}, nil
}

// errOtherAnswer is returned for an answer that names another run: one that came
// late or crossed on the connection. It is dropped.
var errOtherAnswer = errors.New("the answer belongs to another run")

// CrossedAnswers counts answers dropped as errOtherAnswer.
var CrossedAnswers atomic.Int64

// checkID makes sure that the answer is for this run, by id and not by its position
// on the connection. On a mismatch the body is closed.
func checkID(res *http.Response, id string) error {
	got := res.Header.Get(HeaderEngineRequest)
	if id == "" || got == "" || got == id {
		return nil
	}
	CrossedAnswers.Add(1)
	_ = res.Body.Close()
	return errors.Wrapf(errOtherAnswer, "want %s, got %s", id, got)
}
