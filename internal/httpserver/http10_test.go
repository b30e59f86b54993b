package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// readHTTP10 sends an HTTP/1.0 request on a connection and returns the body of the answer.
func readHTTP10(c net.Conn, r *bufio.Reader) (string, error) {
	if _, err := io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n"); err != nil {
		return "", err
	}
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// Guards against a stream whose first part an HTTP/1.0 caller takes for the whole answer.
func TestStreamToHTTP10CallerIsWhole(t *testing.T) {
	parts := []string{"data: a\n\n", "data: b\n\n", "data: " + strings.Repeat("c", 100<<10) + "\n\n"}
	s := start(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for _, part := range parts {
			_, _ = io.WriteString(w, part)
			w.(http.Flusher).Flush()
		}
	})})
	c := dial(t, s)
	r := bufio.NewReader(c)
	for range 2 {
		got, err := readHTTP10(c, r)
		testutil.NoError(t, err)
		if got != strings.Join(parts, "") {
			t.Errorf("%d bytes, %.40q", len(got), got)
		}
	}
}

// Guards against a part of an aborted stream that an HTTP/1.0 caller takes for the whole answer.
func TestAbortedStreamToHTTP10Caller(t *testing.T) {
	s := start(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "data: a\n\n")
		w.(http.Flusher).Flush()
		Abort(w)
	})})
	c := dial(t, s)
	if got, err := readHTTP10(c, bufio.NewReader(c)); err == nil {
		t.Errorf("got %q without an error", got)
	}
}
