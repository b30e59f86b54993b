package engineclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
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
