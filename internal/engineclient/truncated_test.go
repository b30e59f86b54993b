package engineclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// Guards against a KV cache of which only a part arrived, and which another engine would continue
// from.
func TestPartOfAKVCacheIsNotExported(t *testing.T) {
	for name, c := range map[string]struct {
		serve http.HandlerFunc
		whole bool
	}{
		"whole": {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "cache") }, true},
		"unframed": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = io.WriteString(w, "cac")
		}, false},
		"truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "5")
			_, _ = io.WriteString(w, "cac")
		}, false},
		"too long": {func(w http.ResponseWriter, _ *http.Request) {
			piece := make([]byte, 1<<20)
			for range maxKV/len(piece) + 1 {
				_, _ = w.Write(piece)
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(c.serve)
			defer s.Close()
			client := New(Config{})
			defer client.Close()
			kv, err := client.ExportKV(t.Context(), s.Listener.Addr().String(), "r1")
			if (err == nil) != c.whole {
				t.Errorf("%d bytes, %v", len(kv), err)
			}
		})
	}
}

// Guards against failing the last answer of a service that stops right after it, as it has announced.
func TestAnswerBeforeAnAnnouncedEnd(t *testing.T) {
	for _, leaving := range []bool{true, false} {
		var s *httptest.Server
		s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = s.Listener.Close()
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = io.WriteString(w, "text")
		}))
		defer s.Close()
		client := New(Config{})
		defer client.Close()
		answer, err := client.Call(t.Context(), Request{Address: s.Listener.Addr().String(), Method: http.MethodPost, Path: "/", Leaving: leaving})
		if leaving && (err != nil || string(answer.Body) != "text") || !leaving && CauseOf(err) != CauseBodyTruncated {
			t.Errorf("leaving %v: got %+v, %v", leaving, answer, err)
		}
	}
}

// brokenConn is a connection on which the given bytes arrive after the request, and then err.
type brokenConn struct {
	net.Conn
	arrives io.Reader
	err     error
	written chan struct{}
	once    sync.Once
}

func (c *brokenConn) Read(b []byte) (int, error) {
	<-c.written
	n, err := c.arrives.Read(b)
	if err == io.EOF {
		err = c.err
	}
	return n, err
}

func (c *brokenConn) Write(b []byte) (int, error) {
	c.once.Do(func() { close(c.written) })
	return len(b), nil
}

func (c *brokenConn) Close() error { return nil }

// Guards against blaming a request for the crash of a server whose machine was silent in the middle of
// an answer.
func TestCauseOfAServicesTruncatedAnswer(t *testing.T) {
	for err, want := range map[error]Cause{syscall.ECONNRESET: CauseBodyTruncated, syscall.ETIMEDOUT: CauseSilent, io.EOF: CauseBodyTruncated} {
		client := New(Config{Dial: func(context.Context, string, string) (net.Conn, error) {
			return &brokenConn{arrives: strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"), err: err, written: make(chan struct{})}, nil
		}})
		_, got := client.Call(t.Context(), Request{Address: "10.0.0.1:80", Method: http.MethodPost, Path: "/"})
		if CauseOf(got) != want {
			t.Errorf("%v: cause %s, want %s (%v)", err, CauseOf(got), want, got)
		}
	}
}

// Guards against taking a KV cache, a probe or a plain answer for good whose server stopped inside the head, the size of
// a chunk or the trailer.
func TestAnswersCutInTheirHeadOrFramingFail(t *testing.T) {
	for name, answer := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ncache",
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ncache\r\n0\r\n\r\n",
		"trailer":  "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ncache\r\n0\r\nSum: 1\r\n\r\n",
		"unframed": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(answer) {
				address := serveOnce(t, answer[:cut])
				client := New(Config{})
				if kv, err := client.ExportKV(t.Context(), address, "r1"); err == nil {
					t.Errorf("cut after %d bytes: a KV cache of %q", cut, kv)
				}
				if a, err := client.Call(t.Context(), Request{Address: address, Method: http.MethodPost, Path: "/"}); err == nil {
					t.Errorf("cut after %d bytes: an answer of %q", cut, a.Body)
				}
				if head, _, _ := strings.Cut(answer, "\r\n\r\n"); cut < len(head)+len("\r\n\r\n") {
					if got := client.Probe(t.Context(), address, "/"); got != Gone {
						t.Errorf("cut after %d bytes: the server counts as alive", cut)
					}
				}
				client.Close()
			}
		})
	}
}

// Guards against taking a KV cache, a stream or a plain answer for good whose head is damaged.
func TestAnswersWithADamagedHeadFail(t *testing.T) {
	for _, field := range []string{"Content Length: 5", "Content-Length : 5", " Content-Length: 5", "\nContent-Length: 5"} {
		address := serveOnce(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+field+"\r\n\r\ncache")
		client := New(Config{})
		defer client.Close()
		for call, err := range allCalls(t, client, address) {
			if err == nil || CauseOf(err) != CauseGarbled {
				t.Errorf("%q, %s: %v", field, call, err)
			}
		}
	}
}

// Guards against taking a KV cache, a stream or a plain answer for good whose status HTTP doesn't have, or is that of no final
// answer.
func TestAnswersWithoutAFinalStatusFail(t *testing.T) {
	for status, cause := range map[string]Cause{"000": CauseGarbled, "099": CauseGarbled, "600": CauseGarbled, "101": CauseSwitchedProtocols} {
		address := serveOnce(t, "HTTP/1.1 "+status+" OK\r\nContent-Type: text/event-stream\r\nContent-Length: 10\r\n\r\ndata: x\n\n\n")
		client := New(Config{})
		defer client.Close()
		for call, err := range allCalls(t, client, address) {
			if err == nil || CauseOf(err) != cause {
				t.Errorf("status %s, %s: %v", status, call, err)
			}
		}
	}
}

// allCalls makes each kind of call to a server and returns their errors.
func allCalls(t *testing.T, client *Client, address string) map[string]error {
	t.Helper()
	_, exported := client.ExportKV(t.Context(), address, "r1")
	_, called := client.Call(t.Context(), Request{Address: address, Method: http.MethodPost, Path: "/"})
	_, opened := client.Open(t.Context(), Request{Address: address, Method: http.MethodPost, Path: "/"})
	_, resumed := client.Resume(t.Context(), address, "r1", 0)
	_, canceled := client.Cancel(t.Context(), address, "r1")
	imported := client.ImportKV(t.Context(), address, "r1", []byte("cache"))
	return map[string]error{"export": exported, "call": called, "open": opened, "resume": resumed, "cancel": canceled, "import": imported}
}

// serveOnce starts a server that answers each request with text and closes the connection.
func serveOnce(t *testing.T, text string) (address string) {
	t.Helper()
	l := testutil.Listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, text)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}
