package serverpaths

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/peertunnel"
)

// startHTTPServer starts a server that answers requests, after a delay unless they ask for its health.
func startHTTPServer(t *testing.T, delay time.Duration) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			time.Sleep(delay)
		}
		_, _ = io.WriteString(w, "served")
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// request sends a request to a server and returns the peer through which the answer came.
func (h *host) request(t *testing.T, address string, within time.Duration) (via string, err error) {
	c, err := h.paths.DialContext(t.Context(), "tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return "", err
	}
	if _, err = bufio.NewReader(c).ReadString('\n'); err != nil {
		return "", err
	}
	if tunnel, ok := c.(*peertunnel.Conn); ok {
		return tunnel.Peer(), nil
	}
	return "", nil
}

// requestAll sends a request to each server at once and returns a channel with how each ends.
func (h *host) requestAll(t *testing.T, servers []string) <-chan error {
	answers := make(chan error, len(servers))
	for _, server := range servers {
		go func() {
			_, err := h.request(t, server, time.Minute)
			answers <- err
		}()
	}
	return answers
}

// run runs the detection at a host until the test ends.
func (h *host) run(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.paths.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
}

// Guards against a host that serves nobody because the network accepts its connections to all servers and
// delivers nothing on them: requests must go through a peer, those that wait must end, and direct connections
// must be used again afterwards.
func TestConnectionsThatDeliverNothingAreBypassed(t *testing.T) {
	hosts := startHosts(t, 3)
	servers := []string{startHTTPServer(t, 0), startHTTPServer(t, 0), startHTTPServer(t, 0)}
	h := hosts[0]
	h.run(t)
	h.fault.Store(int32(swallows))
	waiting := make(chan error, 1)
	go func() {
		_, err := h.request(t, servers[2], time.Minute)
		waiting <- err
	}()
	deadline := time.Now().Add(10 * time.Second)
	for !h.paths.silenced() {
		for _, server := range servers[:2] {
			if _, err := h.request(t, server, 100*time.Millisecond); err == nil && !h.paths.silenced() {
				t.Fatal("answered directly")
			}
		}
		if time.Now().After(deadline) {
			t.Fatal("not detected")
		}
	}
	select {
	case err := <-waiting:
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Errorf("the request that waited ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("a request still waits on a connection that delivers nothing")
	}
	for _, server := range servers {
		if via, err := h.request(t, server, time.Second); err != nil || via == "" {
			t.Errorf("answered through %q, %v", via, err)
		}
	}
	h.fault.Store(int32(works))
	for deadline = time.Now().Add(10 * time.Second); h.paths.silenced(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the end was not detected")
		}
	}
	if via, err := h.request(t, servers[0], time.Second); err != nil || via != "" {
		t.Errorf("afterwards answered through %q, %v", via, err)
	}
}

// Guards against ending the requests of a host whose servers all take long to answer.
func TestSlowServersAreNoSilence(t *testing.T) {
	hosts := startHosts(t, 3)
	servers := []string{startHTTPServer(t, 3*time.Second), startHTTPServer(t, 3*time.Second)}
	h := hosts[0]
	h.run(t)
	answers := h.requestAll(t, servers)
	for range servers {
		if err := <-answers; err != nil {
			t.Errorf("no answer: %v", err)
		}
	}
	if n := h.paths.metrics.silenced.Value(); n > 0 {
		t.Errorf("the host counted as silenced %d times", n)
	}
}

// Guards against ending connections that may go on after a moment because the network delivers nothing on
// them, where new ones do not open either.
func TestConnectionsThatDoNotOpenAreNoSilence(t *testing.T) {
	hosts := startHosts(t, 3)
	servers := []string{startHTTPServer(t, 3*time.Second), startHTTPServer(t, 3*time.Second)}
	h := hosts[0]
	h.run(t)
	answers := h.requestAll(t, servers)
	time.Sleep(100 * time.Millisecond) // both are sent
	h.fault.Store(int32(hangs))
	for range servers {
		if err := <-answers; err != nil {
			t.Errorf("no answer: %v", err)
		}
	}
	if n := h.paths.metrics.silenced.Value(); n > 0 {
		t.Errorf("the host counted as silenced %d times", n)
	}
}
