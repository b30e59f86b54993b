package admincli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// newSilentHost starts a server that does not answer requests until the test ends. It sends
// the operation id of each request to arrived.
func newSilentHost(t *testing.T) (s *httptest.Server, arrived chan string) {
	arrived = make(chan string, 100)
	end := make(chan struct{})
	s = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived <- r.Header.Get("Idempotency-Key")
		<-end
	}))
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(end) })
	return s, arrived
}

// Guards against a command that hangs although other hosts would answer, because the first
// address accepts the connection, never answers and uses up the whole timeout.
func TestSilentHostCostsOneAttemptOnly(t *testing.T) {
	silent, arrived := newSilentHost(t)
	var second string
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		second = r.Header.Get("Idempotency-Key")
		_, _ = w.Write([]byte(`{"op_id":"x"}`))
	}))
	defer good.Close()
	cl := &client{addresses: []string{silent.URL, good.URL}, http: newHTTPClient(&http.Transport{}), timeout: time.Minute,
		attemptTimeout: 50 * time.Millisecond, progress: &progress{out: new(bytes.Buffer)}}
	var out struct {
		OpID string `json:"op_id"`
	}
	testutil.NoError(t, cl.do(t.Context(), call{method: http.MethodPost, path: "/", opID: "op"}, &out))
	if first := <-arrived; out.OpID != "x" || first != "op" || second != "op" {
		t.Errorf("answer %+v, operation ids %q and %q", out, first, second)
	}
}

// Guards against the impression that nothing was changed when an operator interrupts a change
// that was sent but not answered. The error must state that the outcome is unknown and contain
// the operation id.
func TestInterruptedChangeIsAnUnknownOutcome(t *testing.T) {
	silent, arrived := newSilentHost(t)
	key := filepath.Join(t.TempDir(), "key")
	testutil.NoError(t, os.WriteFile(key, []byte("k"), keyFileMode))
	ctx, interrupt := context.WithCancel(t.Context())
	defer interrupt()
	go func() {
		<-arrived
		interrupt()
	}()
	command := func(args ...string) (code int, last string) {
		var stdout, stderr bytes.Buffer
		args = append([]string{"bluebellsail", "-a", silent.Listener.Addr().String(), "--key-file", key}, args...)
		code = Run(ctx, args, nil, &stdout, &stderr)
		lines := strings.Split(strings.TrimSpace(stderr.String()), "\n")
		return code, lines[len(lines)-1]
	}
	code, last := command("budget", "top-up", "b", "--tokens", "1", "--op-id", "mine")
	if code != exitUnreachable || !strings.Contains(last, "interrupted; the outcome is unknown") || !strings.Contains(last, "--op-id mine") {
		t.Errorf("exit code %d, %s", code, last)
	}
	code, last = command("budget", "top-up", "b", "--tokens", "1")
	if code != exitUnreachable || !strings.Contains(last, "interrupted; nothing was changed") {
		t.Errorf("before anything was sent: exit code %d, %s", code, last)
	}
}
