package callerapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/filter/parse"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const patience = 5 * time.Second

func init() { zerolog.SetGlobalLevel(zerolog.WarnLevel) }

// serve starts an nbhttp server with the host's API.
func serve(t testing.TB, h *fakeHost) *httpserver.Server {
	t.Helper()
	h.api.deps.CallerClosed = nil
	s := httpserver.New(httpserver.Config{Address: "127.0.0.1:0", Handler: New(h.api.deps), NeverShed: NeverShed})
	testutil.NoError(t, s.Start())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_ = s.Drain(ctx)
	})
	return s
}

func post(s *httpserver.Server, path, body string, header ...string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return (&http.Client{Timeout: patience}).Do(r)
}

func (e *fakeEngine) awaitCount(t *testing.T, what string, get func() int, want int) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		e.mu.Lock()
		n := get()
		e.mu.Unlock()
		if n == want {
			return
		}
	}
	t.Fatalf("the number of %s never reached %d", what, want)
}

func TestClosedConnectionCancelsTheRun(t *testing.T) {
	// Same as TestCallerGoneCancelsTheRun on real connections: the caller closes its TCP
	// connection during the stream, of which nbhttp does not notify the handler.
	f := newFleet()
	e := f.tcpEngine(t, "falls silent", 2)
	e.stuck = true
	s := serve(t, f.host("a"))
	c, err := net.Dial("tcp", s.Address())
	testutil.NoError(t, err)
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", parse.PathChat, testKey, len(chatBody), chatBody)
	_ = c.SetReadDeadline(time.Now().Add(patience))
	r := bufio.NewReader(c)
	for line := ""; !strings.Contains(line, "t2"); {
		if line, err = r.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	_ = c.Close()
	e.awaitCount(t, "canceled runs", func() int { return e.cancels }, 1)
	e.awaitCount(t, "open streams", func() int { return e.open }, 0)
}

func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	// Guards against a caller that gets another caller's answer. Many callers use shared
	// connections at once, and some deadlines pass, so that their answers arrive late. An
	// answer must be matched by its ID and not by its position on a connection.
	f := newFleet()
	e := f.tcpEngine(t, "", 0)
	e.delay = func(body string) time.Duration {
		if strings.Contains(body, "late") {
			return 60 * time.Millisecond
		}
		return time.Duration(len(body)%7) * time.Millisecond
	}
	s := serve(t, f.host("a"))
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			for n := range 5 {
				body, timeout := fmt.Sprintf("entry %d of caller %d%s", n, i, strings.Repeat("x", i%9)), "5000"
				if (i+n)%4 == 0 {
					body, timeout = body+" late", "30"
				}
				res, err := post(s, "/services/ledger/read", body, filter.HeaderTimeout, timeout)
				if err != nil {
					t.Error(err)
					return
				}
				got, _ := io.ReadAll(res.Body)
				_ = res.Body.Close()
				if timeout == "30" && res.StatusCode == http.StatusGatewayTimeout {
					continue
				}
				if string(got) != "service:"+body {
					t.Errorf("caller %d sent %q and got %d %q", i, body, res.StatusCode, got)
				}
			}
		})
	}
	wg.Wait()
}

func TestDrainCompletesStreams(t *testing.T) {
	// Guards against truncated answers when a host restarts: it drains with a stream open, and
	// shutdown must not close connections that handlers still write to.
	f := newFleet()
	e := f.tcpEngine(t, "", 0)
	e.tokenDelay = 20 * time.Millisecond
	s := serve(t, f.host("a"))
	res, err := post(s, parse.PathChat, chatBody)
	testutil.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(ctx) }()
	body, _ := io.ReadAll(res.Body)
	if text, whole := textOf(string(body)); text != wholeText || !whole {
		t.Errorf("got %q, complete %v", text, whole)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

func BenchmarkStream(b *testing.B)  { benchmark(b, parse.PathChat, chatBody) }
func BenchmarkWhole(b *testing.B)   { benchmark(b, parse.PathChat, plainBody) }
func BenchmarkService(b *testing.B) { benchmark(b, "/services/ledger/read", "entry") }

// benchmark measures requests through nbhttp, the chain and an engine on the loopback
// interface, all in this process. Bytes and allocations include all three and the caller.
func benchmark(b *testing.B, path, body string) {
	f := newFleet()
	f.tcpEngine(b, "", 0)
	s := serve(b, f.host("a"))
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			res, err := post(s, path, body)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkToken measures one token of a long stream through the chain, from an engine on the
// loopback interface in this process.
func BenchmarkToken(b *testing.B) {
	f := newFleet()
	e := f.tcpEngine(b, "", 0)
	e.tokens = b.N
	h := f.host("a")
	h.team.MaxOutputTokens = uint64(b.N)
	b.ReportAllocs()
	w := h.do(parse.PathChat, strings.Replace(chatBody, `"max_tokens":5,`, "", 1), filter.HeaderTimeout, "900000")
	if !strings.HasSuffix(w.Body.String(), "[DONE]\n\n") {
		b.Fatalf("answer is incomplete: %.200s", w.Body)
	}
}

// BenchmarkFirstToken measures the time to the first token of one caller at a time, through
// the host and directly at the engine. The difference is what the host adds.
func BenchmarkFirstToken(b *testing.B) {
	f := newFleet()
	f.tcpEngine(b, "", 0)
	s := serve(b, f.host("a"))
	for name, base := range map[string]string{"host": "http://" + s.Address(), "engine": "http://" + f.order[0]} {
		b.Run(name, func(b *testing.B) {
			var total time.Duration
			for range b.N {
				r, _ := http.NewRequest(http.MethodPost, base+parse.PathChat, strings.NewReader(chatBody))
				r.Header.Set("Authorization", "Bearer "+testKey)
				began := time.Now()
				res, err := http.DefaultClient.Do(r)
				if err != nil {
					b.Fatal(err)
				}
				in := bufio.NewReader(res.Body)
				for line := ""; !strings.Contains(line, "t1"); {
					if line, err = in.ReadString('\n'); err != nil {
						b.Fatal(err)
					}
				}
				total += time.Since(began)
				_, _ = io.Copy(io.Discard, in)
				_ = res.Body.Close()
			}
			b.ReportMetric(float64(total.Microseconds())/float64(b.N), "us/first-token")
		})
	}
}
