package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// statusBody is the body of the answers in the tests of statuses.
const statusBody = "two parts"

// framings are the ways in which a handler may send a body.
var framings = map[string]func(w http.ResponseWriter, status int){
	"no body": func(w http.ResponseWriter, status int) { w.WriteHeader(status) },
	"length": func(w http.ResponseWriter, status int) {
		w.Header().Set("Content-Length", strconv.Itoa(len(statusBody)))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, statusBody)
	},
	"one write": func(w http.ResponseWriter, status int) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, statusBody)
	},
	"stream": func(w http.ResponseWriter, status int) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(status)
		for _, part := range strings.SplitAfter(statusBody, " ") {
			_, _ = io.WriteString(w, part)
			w.(http.Flusher).Flush()
		}
	},
}

// Guards against a status that reaches the caller as another one, because net/http has no text for it.
func TestEveryStatusReachesTheCaller(t *testing.T) {
	s := start(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, err := strconv.Atoi(r.Header.Get("Status"))
		testutil.NoError(t, err)
		framings[r.Header.Get("Framing")](w, status)
	})})
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		c := dial(t, s)
		r := bufio.NewReader(c)
		for framing := range framings {
			for status := 200; status <= 599; status++ {
				bodiless := status == http.StatusNoContent || status == http.StatusNotModified
				if bodiless && framing != "no body" {
					continue
				}
				_, err := fmt.Fprintf(c, "GET / %s\r\nHost: h\r\nConnection: keep-alive\r\nStatus: %d\r\nFraming: %s\r\n\r\n", version, status, framing)
				testutil.NoError(t, err)
				res, err := http.ReadResponse(r, nil)
				testutil.NoError(t, err)
				body, err := io.ReadAll(res.Body)
				testutil.NoError(t, err)
				want := statusBody
				if framing == "no body" {
					want = ""
				}
				if res.StatusCode != status || string(body) != want || res.Proto != version {
					t.Fatalf("%s, %s: %s %d with body %q, want %d with %q", version, framing, res.Proto, res.StatusCode, body, status, want)
				}
			}
		}
	}
}

// Guards against a status that no final answer may have and that a caller can't read.
func TestInvalidStatusIsSentAs500(t *testing.T) {
	for _, status := range []int{0, 99, 199, 600, 999} {
		s := start(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })})
		res, err := http.Get("http://" + s.Address())
		testutil.NoError(t, err)
		_ = res.Body.Close()
		if res.StatusCode != http.StatusInternalServerError {
			t.Errorf("%d is sent as %d", status, res.StatusCode)
		}
	}
}

// Guards against a second status that replaces the first one's line.
func TestFirstStatusCounts(t *testing.T) {
	s := start(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for _, status := range []int{499, 520, http.StatusOK} {
			w.WriteHeader(status)
		}
		_, _ = io.WriteString(w, statusBody)
	})})
	res, err := http.Get("http://" + s.Address())
	testutil.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	if body, err := io.ReadAll(res.Body); err != nil || res.StatusCode != 499 || string(body) != statusBody {
		t.Errorf("got %d, %q, %v", res.StatusCode, body, err)
	}
}
