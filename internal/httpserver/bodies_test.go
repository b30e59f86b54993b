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
	_, _ = c.Write(bytes.Repeat([]byte("x"), size)) // a refusal may arrive before all is sent
}

// Guards against a host that the system kills at its memory limit, with all its requests. Some
// tens of callers send bodies of several megabytes at once, each of them allowed; all of them
// together must be bounded.
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
		t.Error("the refusal has no Retry-After header")
	}
	if status != http.StatusTooManyRequests || e.Kind != errkind.Overloaded || e.Ran != errkind.RanNo || e.RetryAfterMs == 0 {
		t.Errorf("a body without room got %d %+v", status, e)
	}
	if held := s.heldBytes.Load(); held >= 2*large {
		t.Errorf("%d bytes count as held, including those of rejected requests", held)
	}
	wantAnswer(t, dial(t, s), small) // small requests are admitted beyond the bound

	close(release)
	if got := answer(t, holder); got != fmt.Sprint(large) {
		t.Errorf("the first request got %s", got)
	}
	await(t, "the bytes of the first body are released", func() bool { return s.heldBytes.Load() == 0 })
	wantAnswer(t, dial(t, s), large)
	await(t, "the bytes of the next body are released", func() bool { return s.heldBytes.Load() == 0 })
	wantAnswer(t, holder, large)
}

// Guards against bytes that stay counted after callers have disconnected in the middle of a
// body, or while the request waits in a handler.
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
	await(t, "both bodies are counted", func() bool { return s.heldBytes.Load() > 2*size })
	_, _ = half.Close(), atHandler.Close()
	await(t, "the bytes of half a body are released", func() bool { return s.heldBytes.Load() < 2*size })
	close(release)
	await(t, "the bytes of the other are released after its handler has returned", func() bool { return s.heldBytes.Load() == 0 })
}

// Guards against rejecting all of forty large requests that arrive together although some of
// them fit. Each sends part of its body, and the parts together fill the room; a body must be
// counted by its announced length.
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
		t.Errorf("a body of %d bytes got answer %q", size, got)
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
