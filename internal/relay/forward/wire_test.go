package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/controller/slowreaders"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// Answers of the servers and bounds in the tests over sockets.
const (
	wholeBody   = "a whole answer"
	wholeEvents = 6
	testTimeout = 10 * time.Second
	// maxAttempts is the maximum number of attempts of every route.
	maxAttempts = 2
)

// wireDialect is the test dialect for requests that arrive over a socket.
type wireDialect struct{ dialect }

func (wireDialect) Decode(r *http.Request, body []byte) (*relay.Request, error) {
	h := r.Header.Clone()
	for _, name := range hopHeaders {
		h.Del(name)
	}
	return &relay.Request{
		ID: r.Header.Get(hID), Method: r.Method, Target: r.RequestURI, Path: r.URL.Path, Host: r.Host, Header: h, Body: body,
	}, nil
}

func (wireDialect) Refuse(w http.ResponseWriter, x *relay.Exchange, err error) {
	e := errkind.From(err)
	w.Header().Set(hID, x.ID)
	w.Header().Set("Ran", string(e.Ran()))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(e.Status())
}

// inTurn chooses the first server that was not tried yet.
type inTurn []instance.Announcement

func (s inTurn) Acquire(_ context.Context, w *balance.Work) (relay.Lease, error) {
	if len(w.Exclude) >= len(s) {
		return nil, errkind.New(errkind.NoBackendServer, "no server is left").After(time.Second)
	}
	return inTurnLease{choice: balance.Choice{Instance: s[len(w.Exclude)]}}, nil
}

type inTurnLease struct{ choice balance.Choice }

func (l inTurnLease) Choice() balance.Choice       { return l.choice }
func (inTurnLease) Version() (string, bool)        { return "v1", true }
func (inTurnLease) FirstByte()                     {}
func (inTurnLease) Report(balance.Load)            {}
func (inTurnLease) CoolDown(time.Duration, string) {}
func (inTurnLease) Leaving()                       {}
func (inTurnLease) CooldownUnreadable(string)      {}
func (inTurnLease) WrongInstance()                 {}
func (inTurnLease) Output(uint64)                  {}
func (inTurnLease) Done(balance.Result)            {}
func (inTurnLease) MemoryFull() bool               { return false }

// backend is a server whose connections are scripted by a test.
type backend struct {
	t       *testing.T
	address string
	mu      sync.Mutex
	// runs counts the requests read completely, by ID.
	runs map[string]int
}

// serve handles the n-th request of a connection. It returns false to close the connection.
type serve func(n int, c net.Conn, r *bufio.Reader) bool

func newBackend(t *testing.T, script func(b *backend) serve) *backend {
	t.Helper()
	l := testutil.Listen(t)
	b := &backend{t: t, address: l.Addr().String(), runs: map[string]int{}}
	handle := script(b)
	var open sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		open.Wait()
	})
	open.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open.Go(func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for n := 1; handle(n, c, r); n++ {
				}
			})
		}
	})
	return b
}

// read reads a whole request and counts it as run.
func (b *backend) read(r *bufio.Reader) (*http.Request, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil, false
	}
	b.count(req.Header.Get(hID))
	return req, true
}

func (b *backend) count(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
}

func (b *backend) ran(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// answerTo returns the whole answer to a request. On the stream path it consists of the events
// after the one given in the request.
func answerTo(req *http.Request) string {
	head := "HTTP/1.1 200 OK\r\n" + hID + ": " + req.Header.Get(hID) + "\r\n"
	if req.URL.Path != "/stream" {
		return head + "Content-Length: " + strconv.Itoa(len(wholeBody)) + "\r\n\r\n" + wholeBody
	}
	after, _ := strconv.Atoi(req.Header.Get(hAfter))
	var chunks strings.Builder
	for id := after + 1; id <= wholeEvents; id++ {
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(event(id)), event(id))
	}
	return head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks.String() + "0\r\n\r\n"
}

// healthy returns a server script that answers every request.
func healthy(b *backend) serve {
	return func(_ int, c net.Conn, r *bufio.Reader) bool {
		req, ok := b.read(r)
		if !ok {
			return false
		}
		_, err := io.WriteString(c, answerTo(req))
		return err == nil
	}
}

// exchangeLog collects the finished exchanges.
type exchangeLog struct {
	mu  sync.Mutex
	all map[string]*relay.Exchange
}

func (f *exchangeLog) Finished(x *relay.Exchange, _ error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all[x.ID] = x
}

// wait waits for the exchange of a request to finish and returns it. The caller may have the answer
// before that.
func (f *exchangeLog) wait(t *testing.T, id string) *relay.Exchange {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		x := f.all[id]
		f.mu.Unlock()
		if x != nil {
			return x
		}
	}
	t.Fatalf("the exchange of request %s did not finish", id)
	return nil
}

// entryHost starts a host that serves a route with the given backends.
func entryHost(t *testing.T, route routes.Route, backends ...*backend) (string, *exchangeLog) {
	t.Helper()
	s, seen := newHost(t, route, bounded(slowreaders.New(slowreaders.Config{Bound: slowReadersBound, Log: zerolog.Nop()})), backends...)
	return s.Address(), seen
}

// slowReadersBound is what the smallest host may hold for slow callers and servers, in bytes.
const slowReadersBound = smallestHost / 8

// bounded returns the options of a host that bounds slow readers.
func bounded(k *slowreaders.Keeper) hostOptions {
	return hostOptions{
		pacer: k, server: httpserver.Config{Hold: k.Connection},
		client: engineclient.Config{WriteStall: time.Second, ObserveStall: k.ServerStalled},
	}
}

// anyRetries and anyLimits keep nothing, so that requests may run beside each other.
type anyRetries struct{}

func (anyRetries) CountRequest(string)              {}
func (anyRetries) Allow(string, string) relay.Retry { return allowedRetry{} }

// allowedRetry is a retry that nobody counts.
type allowedRetry struct{}

func (allowedRetry) Sent()   {}
func (allowedRetry) Return() {}

type anyLimits struct{}

func (anyLimits) Observe(instance.Incarnation, ratelimit.Observation, string)        {}
func (anyLimits) RecordUnreadable(instance.Incarnation, string)                      {}
func (anyLimits) ObserveBrittle(instance.Incarnation, ratelimit.Observation, string) {}
func (anyLimits) RecordBrittleUnreadable(instance.Incarnation, string)               {}
func (anyLimits) RecordSend(instance.Incarnation, ratelimit.Send) ratelimit.Observation {
	return ratelimit.Observation{}
}

// hostOptions are what the hosts of some tests differ in.
type hostOptions struct {
	pacer  relay.Pacer
	server httpserver.Config
	client engineclient.Config
}

func newHost(t *testing.T, route routes.Route, o hostOptions, backends ...*backend) (*httpserver.Server, *exchangeLog) {
	t.Helper()
	var servers inTurn
	for i, b := range backends {
		servers = append(servers, instance.Announcement{ID: "s" + strconv.Itoa(i), Address: b.address})
	}
	route.MaxAttempts, route.Timeout = maxAttempts, settings.Duration(testTimeout)
	seen := &exchangeLog{all: map[string]*relay.Exchange{}}
	client := engineclient.New(o.client)
	o.server.Address, o.server.Handler = "127.0.0.1:0", relay.NewHandler(wireDialect{}, seen,
		routed{&route},
		&Filter{Dialect: wireDialect{}, Client: client, Accepts: client.Accepts, Balancer: servers, Retries: anyRetries{}, Limits: anyLimits{}, Origins: &recordedOrigins{}, Versions: sharedVersions{}, Abort: httpserver.Abort, Pacer: o.pacer})
	s := httpserver.New(o.server)
	testutil.NoError(t, s.Start())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Drain(ctx)
		client.Close()
	})
	return s, seen
}

// routed replaces the filters that precede forward.
type routed struct{ route *routes.Route }

func (f routed) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	x := relay.ExchangeFrom(r.Context())
	x.Route, x.Service = f.route, &routes.Service{Name: "pool"}
	x.Deadline = x.Arrived.Add(f.route.Timeout.Std())
	ctx, cancel := context.WithDeadline(r.Context(), x.Deadline)
	defer cancel()
	return next.ServeHTTP(w, r.WithContext(ctx))
}

// keptCaller sends its requests over one kept-alive connection.
type keptCaller struct {
	t *testing.T
	c net.Conn
	r *bufio.Reader
}

func dialCaller(t *testing.T, address string) *keptCaller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	testutil.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &keptCaller{t: t, c: c, r: bufio.NewReader(c)}
}

// got is an answer as a caller received it.
type got struct {
	// status is 0 if the connection ended without an answer.
	status int
	header http.Header
	body   string
	// whole is set if the answer had its proper end.
	whole bool
}

func (c *keptCaller) ask(id, path, body string) got {
	c.t.Helper()
	testutil.NoError(c.t, c.c.SetDeadline(time.Now().Add(testTimeout)))
	_, err := fmt.Fprintf(c.c, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", path, hID, id, len(body), body)
	testutil.NoError(c.t, err)
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return got{}
	}
	content, err := io.ReadAll(res.Body)
	return got{status: res.StatusCode, header: res.Header, body: string(content), whole: err == nil}
}

// askWhole sends a request that must get a whole answer.
func (c *keptCaller) askWhole(id string) {
	c.t.Helper()
	if a := c.ask(id, "/", ""); !a.whole || a.body != wholeBody {
		c.t.Fatalf("the answer to %s is %+v", id, a)
	}
}

func allEvents() string {
	var s strings.Builder
	for id := 1; id <= wholeEvents; id++ {
		s.WriteString(event(id))
	}
	return s.String()
}
