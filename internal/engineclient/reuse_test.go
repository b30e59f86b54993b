package engineclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// await waits until c is closed or ctx ends.
func await(ctx context.Context, c <-chan struct{}) {
	select {
	case <-c:
	case <-ctx.Done():
	}
}

// Guards against a request that is written to a connection which net/http has kept after an answer without a body, before that
// answer has shown that the connection is out of step.
func TestConnectionIsNotUsedUntilItsLastAnswerHasBeenRead(t *testing.T) {
	var onFirst atomic.Int64
	address := startRawServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if n == 1 {
				onFirst.Add(1)
			}
			_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	})
	client, ctx := New(Config{}), testutil.Within(t, 5*time.Second)
	kept, given, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var second error
	go func() {
		defer close(done)
		await(ctx, kept)
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) {
				if info.Reused {
					close(given)
				}
			},
		})
		f := payment(address)
		f.Header = http.Header{}
		var res *http.Response
		if res, second = client.Forward(traced, f); second == nil {
			_ = res.Body.Close()
		}
	}()
	first := payment(address)
	first.MayReuse = func(*http.Response, bool) bool {
		close(kept)
		await(ctx, given)
		return false
	}
	if _, _, err := forward(t, client, first); err != nil {
		t.Fatal(err)
	}
	await(ctx, done)
	if second != nil || onFirst.Load() != 1 {
		t.Errorf("second request: %v; the first connection had %d requests", second, onFirst.Load())
	}
}

// Guards against a late answer to another run that is believed when it says that the run was not started, and against a
// connection that is kept out of step after it.
func TestAnswerOfAnotherRunSaysNothingAboutThisOne(t *testing.T) {
	address := startRawServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		for requests := 1; ; requests++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if n == 1 && requests == 2 {
				_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+HeaderRan+": no\r\n"+HeaderEngineRequest+": run-1\r\nContent-Length: 0\r\n\r\n")
				if _, err := r.Peek(1); err != nil { // the answer to run-2 would be taken for that to the next request
					return
				}
			}
			id := req.Header.Get(HeaderEngineRequest)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderEngineRequest, id, len(id), id)
		}
	})
	client := New(Config{})
	call := func(id string) (*Answer, error) {
		return client.Call(testutil.Within(t, 5*time.Second), Request{Address: address, Method: http.MethodPost, Path: "/", EngineRequestID: id})
	}
	if a, err := call("run-1"); err != nil || string(a.Body) != "run-1" {
		t.Fatalf("first call: %v %v", a, err)
	}
	_, err := call("run-2")
	var e *Error
	if !errors.Is(err, ErrOtherAnswer) || errors.As(err, &e) && e.Ran == errkind.RanNo {
		t.Errorf("second call: %v", err)
	}
	if a, err := call("run-3"); err != nil || string(a.Body) != "run-3" {
		t.Errorf("third call: %v %v", a, err)
	}
}
