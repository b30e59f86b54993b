package httpserver

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

func post(t *testing.T, c net.Conn, path string, size int) {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", path, size)
	testutil.NoError(t, err)
	_, _ = c.Write(bytes.Repeat([]byte("x"), size)) // a refusal may come before all is sent
}

// Symptom: a host is ended by the system at its memory limit, with all its requests.
// Sequence: some tens of callers send bodies of some megabytes at once, each of which is allowed.
// Cause: nothing bounds what all of them together hold.
func TestBodiesInFlightAreBounded(t *testing.T) {
	const bound, large, small = 1 << 20, 700 << 10, 1 << 10
	reading, release := make(chan struct{}, 8), make(chan struct{})
	s := start(t, Config{MaxBodiesBytes: bound, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/held" {
			reading <- struct{}{}
			<-release
		}
		_, _ = fmt.Fprint(w, len(body))
	})})
	holder := dial(t, s)
	post(t, holder, "/held", large)
	<-reading

	refused := dial(t, s)
	post(t, refused, "/", large)
	res, err := http.ReadResponse(bufio.NewReader(refused), nil)
	testutil.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	var body ErrorAnswer
	testutil.NoError(t, json.NewDecoder(res.Body).Decode(&body))
	status, e := res.StatusCode, body.Error
	if res.Header.Get("Retry-After") == "" {
		t.Error("the refusal names no time to come back")
	}
	if status != http.StatusTooManyRequests || e.Kind != errkind.Overloaded || e.Ran != errkind.RanNo || e.RetryAfterMs == 0 {
		t.Errorf("a body without room is answered %d %+v", status, e)
	}
	if held := s.heldBytes.Load(); held >= 2*large {
		t.Errorf("%d bytes count as held, with those that were refused", held)
	}
	wantAnswer(t, dial(t, s), small) // small ones are not what fills the memory

	close(release)
	if got := answer(t, holder); got != fmt.Sprint(large) {
		t.Errorf("the first request got %s", got)
	}
	await(t, "the first body is given back", func() bool { return s.heldBytes.Load() == 0 })
	wantAnswer(t, dial(t, s), large)
	await(t, "the next body is given back", func() bool { return s.heldBytes.Load() == 0 })
	wantAnswer(t, holder, large)
}

// Sequence: callers leave in the middle of a body, and while it waits at a handler.
func TestBytesOfClosedConnectionsAreReleased(t *testing.T) {
	const size = 300 << 10
	reading, release := make(chan struct{}, 1), make(chan struct{})
	s := start(t, Config{MaxBodiesBytes: 1 << 20, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		reading <- struct{}{}
		<-release
		_, _ = io.ReadAll(r.Body)
	})})
	atHandler := dial(t, s)
	post(t, atHandler, "/", size)
	<-reading
	half := dial(t, s)
	_, err := fmt.Fprintf(half, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size/2))
	testutil.NoError(t, err)
	await(t, "both are held", func() bool { return s.heldBytes.Load() > 2*size })
	_, _ = half.Close(), atHandler.Close()
	await(t, "half a body is given back", func() bool { return s.heldBytes.Load() < 2*size })
	close(release)
	await(t, "the other is, once its handler has returned", func() bool { return s.heldBytes.Load() == 0 })
}

// Symptom: of forty large requests that come together none is served, and all are refused.
// Sequence: each sends a part of its body; together they fill what there is.
// Cause: what has come was counted, not what was going to come.
func TestBodiesAdmittedAtHeadAreServed(t *testing.T) {
	const size, fit, callers = 256 << 10, 4, 16
	s := start(t, Config{MaxBodiesBytes: fit*size + smallRequest, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprint(w, len(body))
	})})
	conns := make([]net.Conn, callers)
	for n := range conns {
		conns[n] = dial(t, s)
		_, err := fmt.Fprintf(conns[n], "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size/2))
		testutil.NoError(t, err)
		wanted := int64(min(n+1, fit)) * size
		await(t, "the head has arrived", func() bool { return s.heldBytes.Load() >= wanted })
	}
	for n, c := range conns[fit:] {
		if status, _ := readKind(t, bufio.NewReader(c)); status != http.StatusTooManyRequests {
			t.Errorf("caller %d beyond the bound got %d", fit+n, status)
		}
	}
	for n, c := range conns[:fit] {
		_, err := c.Write(bytes.Repeat([]byte("x"), size-size/2))
		testutil.NoError(t, err)
		if got := answer(t, c); got != fmt.Sprint(size) {
			t.Errorf("caller %d, for whom there was room, got %q", n, got)
		}
	}
}

func wantAnswer(t *testing.T, c net.Conn, size int) {
	t.Helper()
	post(t, c, "/", size)
	if got := answer(t, c); got != fmt.Sprint(size) {
		t.Errorf("a body of %d bytes is answered %q", size, got)
	}
}

func answer(t *testing.T, c net.Conn) string {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	testutil.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	testutil.NoError(t, err)
	return string(body)
}
